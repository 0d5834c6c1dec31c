package owner

import "github.com/oriolepier/oriolepier/internal/base/clock"

// Each start order takes a connection to its worker until it is answered. Starts are
// therefore bounded where tasks are placed: a task whose start would exceed a bound stays
// waiting, and no order waits in a queue.
//
//   - A worker that does not answer only holds back its own starts, by maxStartsPerWorker
//     and half of Options.StartsAtOnce.
//   - Options.StartsAtOnce bounds the starts of the cell. Starts that wait for a retry have
//     no connection and do not count against it.
//   - Open starts on silent workers take at most half of it, so that an unreachable failure
//     domain leaves the rest to the others: from half of it, these workers get no further
//     starts, and theirs are retried when others of them have ended.

// Bounds of starts under way.
const (
	maxStartsPerWorker              = 128 // a worker of 64 cores can be filled with tasks of half a core at once
	silentAfter        clock.Millis = 150 // without an answer to any start; workers answer within a few ms
)

// startCounts are starts under way.
type startCounts struct {
	recording int // placed, and not sent yet
	open      int // orders sent and not answered
	retrying  int // orders that failed and are sent again
}

func (c startCounts) total() int { return c.recording + c.open + c.retrying }

// startsAtBound reports whether the cell may have no further start under way.
func (o *Owner) startsAtBound() bool {
	limit := o.options.StartsAtOnce
	return limit > 0 && o.startsUnderWay()-max(o.silentOpen-limit/2, 0) >= limit
}

// startsUnderWay returns the starts of the cell that count against its bound.
func (o *Owner) startsUnderWay() int { return o.starts.recording + o.starts.open }

// takesStart reports whether a worker may get a further start.
func (o *Owner) takesStart(w *worker) bool {
	if w.starts.total() == 0 {
		return true
	}
	limit := o.options.StartsAtOnce
	if limit == 0 {
		return w.starts.total() < maxStartsPerWorker
	}
	if w.starts.total() >= min(maxStartsPerWorker, max(limit/2, 1)) {
		return false
	}
	return o.startsUnderWay() < limit/2 || !o.isSilent(w)
}

// isSilent reports whether a worker has not answered any of its starts for silentAfter.
func (o *Owner) isSilent(w *worker) bool {
	return w.starts.open+w.starts.retrying > 0 && o.now-w.silentSince >= silentAfter
}

// delaysRetry reports whether a start on a silent worker waits until others of such
// workers have ended.
func (o *Owner) delaysRetry(w *worker) bool {
	limit := o.options.StartsAtOnce
	return limit > 0 && o.isSilent(w) && o.silentOpen >= max(limit/2, 1)
}

// countSilent counts the open starts on silent workers, which may leave room to others.
func (o *Owner) countSilent() {
	before := o.silentOpen
	o.silentOpen = 0
	if o.starts.open == 0 {
		return
	}
	for _, w := range o.sortedWorkers {
		if o.isSilent(w) {
			o.silentOpen += w.starts.open
		}
	}
	if o.silentOpen > before {
		o.noteStartRoom()
	}
}

// noteStartPlaced counts a start whose run is to be recorded.
func (o *Owner) noteStartPlaced(w *worker) {
	w.starts.recording++
	o.starts.recording++
}

// noteStartRecorded stops counting a start as one that is to be recorded.
func (o *Owner) noteStartRecorded(w *worker) {
	w.starts.recording--
	o.starts.recording--
	o.noteStartRoom()
}

// noteStartSent counts an order.
func (o *Owner) noteStartSent(w *worker) {
	switch {
	case w.starts.open+w.starts.retrying == 0:
		w.silentSince = o.now
	case o.isSilent(w):
		o.silentOpen++
	}
	w.starts.open++
	o.starts.open++
}

// noteStartEnded stops counting an order that was answered, or failed. The worker may
// have left the list and come back since, as one without orders.
func (o *Owner) noteStartEnded(id string, reached bool) {
	o.starts.open = max(o.starts.open-1, 0)
	if w := o.workers[id]; w != nil {
		w.starts.open = max(w.starts.open-1, 0)
		if reached {
			w.silentSince = o.now
		}
	}
	o.noteStartRoom()
}

// noteStartRetried stops counting a start as one that waits for its retry.
func (o *Owner) noteStartRetried(w *worker) {
	w.starts.retrying--
	o.noteStartRoom()
}

// noteStartRoom requests a placement pass if the last one was held back by a bound of
// starts.
func (o *Owner) noteStartRoom() {
	if o.startsHeldBack {
		o.placementDue = true
	}
}

// heldByStarts reports whether the last placement pass that left the step waiting did so
// mostly for a bound of starts under way.
func (step *stepState) heldByStarts() bool {
	reason, _ := step.rejections.leading()
	return reason == rejectedStarts
}
