package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// Limits of reservations.
const (
	reserveAfter     clock.Millis = 500              // wait after which a worker may be reserved for a task
	maxReservation   clock.Millis = 4 * clock.Second // longest reservation; batch tasks end sooner
	maxReservedShare              = 1.0 / 30         // share of a pool's workers that may be reserved at once, but at least one worker
)

// reservation reserves the room of a worker that runs may commit for the tasks of one step.
// Without it, smaller tasks that arrive later take all room before enough of it
// is free for a large task.
type reservation struct {
	job   *jobState
	step  *stepState
	until clock.Millis
}

// reservedForOther reports whether a worker is reserved for another step.
// Best-effort tasks, which commit no processors, and tasks that must run ignore
// reservations: a long-running task that lost its worker or has waited too long
// is placed wherever there is room, as its caller limits how long it may be
// without a run.
func (w *worker) reservedForOther(step *stepState, mustRun bool) bool {
	return w.reserved != nil && w.reserved.step != step && !step.spec.Fills && !mustRun
}

// mustRun reports whether a long-running task may not be held back any longer:
// it has run before, or has waited for longRunningMaxWait.
func (t *taskState) mustRun(now clock.Millis) bool {
	return t.spec().Lasting && (t.runNumber > 0 || now-t.waitingSince >= longRunningMaxWait)
}

// expireReservations ends the reservations that have expired or are not needed
// any more, and counts the others.
func (o *Owner) expireReservations() {
	o.reservedWorkers = 0
	for _, w := range o.sortedWorkers {
		if w.reserved == nil {
			continue
		}
		if o.now >= w.reserved.until || w.reserved.job.state.Final() || w.reserved.step.waiting == 0 {
			o.releaseReservation(w)
			continue
		}
		o.reservedWorkers++
	}
}

// releaseReservation ends a worker's reservation, if it has one.
func (o *Owner) releaseReservation(w *worker) {
	if w.reserved == nil {
		return
	}
	w.reserved.step.reserved--
	w.reserved = nil
}

// reserveWorker reserves a worker for a step whose next task no worker can run:
// the one with the most free processors of those that could run it without
// their batch tasks.
func (o *Owner) reserveWorker(j *jobState, step *stepState, workers []*worker) {
	if step.spec.Fills || step.spec.Lasting || o.now-j.lastPlacementChangeAt < reserveAfter || step.reserved >= step.waiting {
		return
	}
	if float64(o.reservedWorkers) >= max(1, maxReservedShare*float64(len(workers))) {
		return
	}
	required := committedRoom(step.spec)
	o.passCost += len(workers)
	var best *worker
	for _, w := range workers {
		if w.reserved != nil || !constraintsAllow(step, w) || !required.FitsIn(w.freeWithoutBatch()) {
			continue
		}
		if best == nil || w.freeRoom().MilliCPU > best.freeRoom().MilliCPU {
			best = w
		}
	}
	if best == nil {
		return
	}
	best.reserved = &reservation{job: j, step: step, until: o.now + maxReservation}
	step.reserved++
	o.reservedWorkers++
	o.options.Log.Info().Str("event", "worker_reserved").Str("job", string(j.spec.ID)).Str("worker", best.id).
		Int64("milli_cpu", required.MilliCPU).Int64("memory_mb", required.MemoryMB).Int64("free_milli_cpu", best.freeRoom().MilliCPU).
		Int64("waited_ms", int64(o.now-j.lastPlacementChangeAt)).Int("reserved", o.reservedWorkers).Send()
}

// freeWithoutBatch is the room of a worker once all but its long-running tasks
// have ended.
func (w *worker) freeWithoutBatch() fleet.Room {
	return w.entry.Room.Plus(w.longRunning, -1)
}
