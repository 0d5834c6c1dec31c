package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// drainCheckInterval is the time between checks for long-running tasks on
// draining workers.
const drainCheckInterval clock.Millis = 200

// moveOffDraining moves long-running tasks off draining workers while there is
// time, as far as other workers have room for them. Other tasks end there, or
// restart elsewhere once the worker is gone. A task must never run twice, so it
// is stopped first and restarts from its checkpoint.
func (o *Owner) moveOffDraining() {
	if o.now < o.nextDrainCheckAt {
		return
	}
	o.nextDrainCheckAt = o.now + drainCheckInterval
	var usablePools map[string]*poolCapacity
	var moves []plannedMove
	for _, w := range o.sortedWorkers {
		if !w.entry.Draining || w.missedHolds > 0 || w.longRunning == (fleet.Room{}) {
			continue
		}
		if usablePools == nil {
			usablePools = o.usablePools()
		}
		moves = append(moves, o.moveLongRunning(w, usablePools)...)
	}
	for _, move := range moves {
		move.destination.commitRoom(move.step, -1)
	}
}

// plannedMove is room committed on the destination of a move until the check
// ends, so that other tasks that move at the same time do not count on it, too.
type plannedMove struct {
	step        *job.Step
	destination *worker
}

// moveLongRunning stops the long-running runs of a worker for which there is
// room elsewhere, and commits that room for now.
func (o *Owner) moveLongRunning(w *worker, usablePools map[string]*poolCapacity) []plannedMove {
	var moves []plannedMove
	for _, r := range w.sortedRuns() {
		if !r.task.spec().Lasting || r.stage != stageConfirmed {
			continue
		}
		target := o.findWorker(r.task, usablePools)
		if target == nil {
			continue
		}
		target.commitRoom(r.task.spec(), 1)
		moves = append(moves, plannedMove{step: r.task.spec(), destination: target})
		o.stopRun(r, "worker is draining")
	}
	return moves
}

// findWorker returns a worker that has room for a task, or nil.
func (o *Owner) findWorker(task *taskState, usablePools map[string]*poolCapacity) *worker {
	queue, known := o.tables.Queue(task.job.spec.Queue)
	if !known {
		return nil
	}
	step := &task.job.steps[task.step]
	for _, name := range queue.Pools {
		if pool := usablePools[name]; pool != nil {
			if w := o.chooseWorker(&rating{}, task, step, pool.workers); w != nil {
				return w
			}
		}
	}
	return nil
}
