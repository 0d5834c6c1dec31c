package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// Terms of keeping workers free for large tasks.
const (
	reserveAfter clock.Millis = 500              // a task that has waited so long may have a worker kept for it
	reserveFor   clock.Millis = 4 * clock.Second // that a worker is kept at the most; short tasks end sooner
	reserveShare              = 1.0 / 30         // of the workers of a pool may be kept at once, but one at least
)

// reservation keeps a worker's counted room for the tasks of one step. Without
// it, the smaller tasks that come later take all room before enough of it is
// free for a large one.
type reservation struct {
	job   *jobState
	step  *stepState
	until clock.Millis
}

// keptFrom reports whether a worker is kept for another step's tasks. Tasks that
// fill take no counted processors and are let in, and so are tasks that must run
// while there is any room.
func (w *worker) keptFrom(step *stepState, must bool) bool {
	return w.kept != nil && w.kept.step != step && !step.spec.Fills && !must
}

// mustRun reports whether a lasting task may be held back no longer: it had its
// place, or has waited for long.
func (t *taskState) mustRun(now clock.Millis) bool {
	return t.spec().Lasting && (t.number > 0 || now-t.freeAt >= lastingWait)
}

// dropReservations ends those that are of no use any more, and counts the rest.
func (o *Owner) dropReservations() {
	o.reserved = 0
	for _, w := range o.ordered {
		if w.kept == nil {
			continue
		}
		if o.now >= w.kept.until || w.kept.job.state.Final() || w.kept.step.waiting == 0 {
			o.release(w)
			continue
		}
		o.reserved++
	}
}

// release keeps a worker for nobody.
func (o *Owner) release(w *worker) {
	if w.kept == nil {
		return
	}
	w.kept.step.kept--
	w.kept = nil
}

// reserve keeps a worker for a step whose next task fits nowhere: the one with
// the most free room, of those that would hold the task without their short
// tasks.
func (o *Owner) reserve(j *jobState, step *stepState, workers []*worker) {
	if step.spec.Fills || step.spec.Lasting || o.now-j.movedAt < reserveAfter || step.kept >= step.waiting {
		return
	}
	if float64(o.reserved) >= max(1, reserveShare*float64(len(workers))) {
		return
	}
	amount := need(step.spec)
	var best *worker
	for _, w := range workers {
		if w.kept != nil || !allowed(step, w) || !within(amount, w.freeOfShort()) {
			continue
		}
		if best == nil || w.free().MilliCPU > best.free().MilliCPU {
			best = w
		}
	}
	if best == nil {
		return
	}
	best.kept = &reservation{job: j, step: step, until: o.now + reserveFor}
	step.kept++
	o.reserved++
	o.options.Log.Info().Str("event", "worker_reserved").Str("job", string(j.spec.ID)).Str("worker", best.id).
		Int64("milli_cpu", amount.MilliCPU).Int64("memory_mb", amount.MemoryMB).Int64("free_milli_cpu", best.free().MilliCPU).
		Int64("waited_ms", int64(o.now-j.movedAt)).Int("reserved", o.reserved).Send()
}

// freeOfShort is the room that a worker has when all but its lasting tasks have
// ended.
func (w *worker) freeOfShort() fleet.Room {
	return less(w.entry.Room, w.lasting)
}
