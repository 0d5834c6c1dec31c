package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// Limits of reservations.
const (
	reserveAfter     clock.Millis = 500              // wait after which a worker may be reserved for a task
	maxReservation   clock.Millis = 4 * clock.Second // longest reservation; batch tasks end sooner
	maxReservedShare              = 1.0 / 30         // share of a pool's workers that may be reserved at once; one worker always may
)

// reservation reserves a worker's committable room for the tasks of one step.
// Without it, smaller tasks that arrive later take all room before enough of it
// is free for a large task.
type reservation struct {
	job   *jobState
	step  *stepState
	until clock.Millis
}

// reservedForOther reports whether a worker is reserved for another step.
// Best-effort tasks, which commit no processors, and tasks that must run ignore
// reservations.
func (w *worker) reservedForOther(step *stepState, mustRun bool) bool {
	return w.kept != nil && w.kept.step != step && !step.spec.Fills && !mustRun
}

// mustRun reports whether a long-running task may not be held back any longer:
// it has run before, or has waited for longRunningMaxWait.
func (t *taskState) mustRun(now clock.Millis) bool {
	return t.spec().Lasting && (t.number > 0 || now-t.freeAt >= longRunningMaxWait)
}

// expireReservations ends the reservations that have expired or are not needed
// any more, and counts the others.
func (o *Owner) expireReservations() {
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

// release ends a worker's reservation, if it has one.
func (o *Owner) release(w *worker) {
	if w.kept == nil {
		return
	}
	w.kept.step.kept--
	w.kept = nil
}

// reserveWorker reserves a worker for a step whose next task no worker can run:
// the one with the most free processors of those that could run it without
// their batch tasks.
func (o *Owner) reserveWorker(j *jobState, step *stepState, workers []*worker) {
	if step.spec.Fills || step.spec.Lasting || o.now-j.movedAt < reserveAfter || step.kept >= step.waiting {
		return
	}
	if float64(o.reserved) >= max(1, maxReservedShare*float64(len(workers))) {
		return
	}
	required := need(step.spec)
	var best *worker
	for _, w := range workers {
		if w.kept != nil || !constraintsAllow(step, w) || !within(required, w.freeWithoutBatch()) {
			continue
		}
		if best == nil || w.free().MilliCPU > best.free().MilliCPU {
			best = w
		}
	}
	if best == nil {
		return
	}
	best.kept = &reservation{job: j, step: step, until: o.now + maxReservation}
	step.kept++
	o.reserved++
	o.options.Log.Info().Str("event", "worker_reserved").Str("job", string(j.spec.ID)).Str("worker", best.id).
		Int64("milli_cpu", required.MilliCPU).Int64("memory_mb", required.MemoryMB).Int64("free_milli_cpu", best.free().MilliCPU).
		Int64("waited_ms", int64(o.now-j.movedAt)).Int("reserved", o.reserved).Send()
}

// freeWithoutBatch is the room of a worker once all but its long-running tasks
// have ended.
func (w *worker) freeWithoutBatch() fleet.Room {
	return less(w.entry.Room, w.lasting)
}
