// Package timeline computes what room becomes free on a worker at what time, from the
// expected ends of its runs.
//
// Each run has two expected ends, a likely and a sure one. A run that has no end keeps
// its room. Runs are added, removed and estimated again one at a time, and sorted only
// when the worker is next queried, so that a report costs little. Expected ends come
// from the caller and may be wrong: a run that is still there after its end counts as
// ending now.
//
// # Usage
//
//	run := worker.Add(room, timeline.Ends{Likely: now + 800, Sure: now + 1600})
//	worker.Estimate(run, timeline.Ends{Likely: now + 900, Sure: now + 1000})
//	start, ok := worker.Start(free, required, now)
//	worker.Remove(run)
package timeline

import (
	"math"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// Never is the end of a run that does not end by itself.
const Never clock.Millis = math.MaxInt64

// Ends are the times between which a run is expected to end.
type Ends struct {
	Likely clock.Millis
	Sure   clock.Millis // not before Likely
}

// Run is a run on a worker.
type Run struct {
	room fleet.Room
	ends Ends
}

// Ends returns the expected ends of a run.
func (r *Run) Ends() Ends { return r.ends }

// Worker holds the runs of one worker. The zero value has none.
type Worker struct {
	byLikely []*Run // by Ends.Likely, once sorted
	bySure   []*Run // by Ends.Sure, once sorted
	unsorted bool
}

// Add adds a run that uses room until it ends.
func (w *Worker) Add(room fleet.Room, ends Ends) *Run {
	r := &Run{room: room, ends: ends}
	w.byLikely, w.bySure = append(w.byLikely, r), append(w.bySure, r)
	w.unsorted = true
	return r
}

// Remove removes a run that has ended.
func (w *Worker) Remove(r *Run) {
	w.byLikely, w.bySure = remove(w.byLikely, r), remove(w.bySure, r)
}

// Estimate changes the expected ends of a run.
func (w *Worker) Estimate(r *Run, ends Ends) {
	r.ends = ends
	w.unsorted = true
}

// sort restores the order of the lists. After a few changes they are nearly sorted,
// for which insertion sort takes close to linear time.
func (w *Worker) sort() {
	if !w.unsorted {
		return
	}
	w.unsorted = false
	sortBy(w.byLikely, likely)
	sortBy(w.bySure, sure)
}

// Start returns the likely and the sure time from which an amount is free, if nothing
// else starts; ok is false if it is not surely free at any time. free is the room that
// is free now.
func (w *Worker) Start(free, amount fleet.Room, now clock.Millis) (start Ends, ok bool) {
	w.sort()
	start.Sure = earliest(w.bySure, free, amount, now, sure)
	if start.Sure == Never {
		return Ends{Likely: Never, Sure: Never}, false
	}
	start.Likely = earliest(w.byLikely, free, amount, now, likely)
	return start, true
}

// FreeAt returns what is surely free at a time, if nothing else starts.
func (w *Worker) FreeAt(free fleet.Room, at clock.Millis) fleet.Room {
	w.sort()
	for _, r := range w.bySure {
		if r.ends.Sure > at {
			break
		}
		free = free.Plus(r.room, 1)
	}
	return free
}

// earliest returns the time from which an amount is free by one of the
// estimates, or Never.
func earliest(runs []*Run, free, amount fleet.Room, now clock.Millis, end func(*Run) clock.Millis) clock.Millis {
	if amount.FitsIn(free) {
		return now
	}
	for _, r := range runs {
		at := end(r)
		if at == Never {
			break
		}
		free = free.Plus(r.room, 1)
		if amount.FitsIn(free) {
			return max(at, now)
		}
	}
	return Never
}

func likely(r *Run) clock.Millis { return r.ends.Likely }

func sure(r *Run) clock.Millis { return r.ends.Sure }

// sortBy sorts runs by an end.
func sortBy(runs []*Run, end func(*Run) clock.Millis) {
	for i := 1; i < len(runs); i++ {
		r, at := runs[i], end(runs[i])
		k := i
		for ; k > 0 && end(runs[k-1]) > at; k-- {
			runs[k] = runs[k-1]
		}
		runs[k] = r
	}
}

// remove removes a run from a list and keeps the order of the others.
func remove(runs []*Run, r *Run) []*Run {
	if i := slices.Index(runs, r); i >= 0 {
		return slices.Delete(runs, i, i+1)
	}
	return runs
}
