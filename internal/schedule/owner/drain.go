package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// drainPeriod is the time between looks for lasting tasks that must move.
const drainPeriod clock.Millis = 200

// leaveDraining moves lasting tasks off workers that are leaving, while there is
// time and for as many as find room. What else runs there ends by itself, or
// starts again elsewhere when the worker has left. A task never runs twice, so
// it is stopped first; its checkpoint goes along.
func (o *Owner) leaveDraining() {
	if o.now < o.drainAt {
		return
	}
	o.drainAt = o.now + drainPeriod
	var usable map[string]*poolRoom
	var promised []promise
	for _, w := range o.ordered {
		if !w.entry.Draining || w.misses > 0 || w.lasting == (fleet.Room{}) {
			continue
		}
		if usable == nil {
			usable = o.usable()
		}
		promised = append(promised, o.moveLasting(w, usable)...)
	}
	for _, p := range promised {
		p.room.commit(p.step, -1)
	}
}

// promise is room that was found for a task that is yet to end elsewhere. It
// keeps others that move at the same time from counting on it, too.
type promise struct {
	step *job.Step
	room *worker
}

// moveLasting stops the lasting runs of a worker for which there is room
// elsewhere, and commits that room for now.
func (o *Owner) moveLasting(w *worker, usable map[string]*poolRoom) []promise {
	var promised []promise
	for _, r := range w.sorted() {
		if !r.task.spec().Lasting || r.stage != stageConfirmed {
			continue
		}
		target := o.roomFor(r.task, usable)
		if target == nil {
			continue
		}
		target.commit(r.task.spec(), 1)
		promised = append(promised, promise{step: r.task.spec(), room: target})
		o.stop(r, "its worker drains")
	}
	return promised
}

// roomFor returns a worker that has room for a task, or nil.
func (o *Owner) roomFor(task *taskState, usable map[string]*poolRoom) *worker {
	queue, known := o.tables.Queue(task.job.spec.Queue)
	if !known {
		return nil
	}
	step := &task.job.steps[task.step]
	for _, name := range queue.Pools {
		if pool := usable[name]; pool != nil {
			if w := o.choose(&rating{}, task, step, pool.workers); w != nil {
				return w
			}
		}
	}
	return nil
}
