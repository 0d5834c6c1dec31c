package timeline_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/timeline"
)

// reference is a run as the test keeps it.
type reference struct {
	run  *timeline.Run
	room fleet.Room
	ends timeline.Ends
}

// drawEnds returns random ends; some runs never end, and many end together.
func drawEnds(rng *rand.Rand) timeline.Ends {
	if rng.IntN(8) == 0 {
		return timeline.Ends{Likely: timeline.Never, Sure: timeline.Never}
	}
	likely := clock.Millis(rng.IntN(20) * 50)
	return timeline.Ends{Likely: likely, Sure: likely + clock.Millis(rng.IntN(4)*100)}
}

// startByTrial is the first time at which an amount is free, by trying each.
func startByTrial(runs []reference, free, amount fleet.Room, now clock.Millis, end func(timeline.Ends) clock.Millis) clock.Millis {
	times := []clock.Millis{now}
	for _, r := range runs {
		times = append(times, max(end(r.ends), now))
	}
	slices.Sort(times)
	for _, at := range times {
		sum := free
		for _, r := range runs {
			if end(r.ends) <= at {
				sum = sum.Plus(r.room, 1)
			}
		}
		if at != timeline.Never && amount.FitsIn(sum) {
			return at
		}
	}
	return timeline.Never
}

// A timeline that is changed by events must answer as one that is computed anew
// from the runs, whatever was added, ended and estimated before.
func TestAnswersMatchRecomputation(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		var w timeline.Worker
		var runs []reference
		for range 60 {
			switch i := rng.IntN(max(len(runs), 1)); {
			case len(runs) > 0 && rng.IntN(3) == 0:
				w.Remove(runs[i].run)
				runs = slices.Delete(runs, i, i+1)
			case len(runs) > 0 && rng.IntN(2) == 0:
				runs[i].ends = drawEnds(rng)
				w.Estimate(runs[i].run, runs[i].ends)
			default:
				r := reference{room: fleet.Room{MilliCPU: rng.Int64N(8000), MemoryMB: rng.Int64N(100)}, ends: drawEnds(rng)}
				r.run = w.Add(r.room, r.ends)
				runs = append(runs, r)
			}
			free := fleet.Room{MilliCPU: rng.Int64N(4000), MemoryMB: rng.Int64N(50)}
			amount := fleet.Room{MilliCPU: rng.Int64N(20000), MemoryMB: rng.Int64N(200)}
			now := clock.Millis(rng.IntN(500))
			want := timeline.Ends{
				Likely: startByTrial(runs, free, amount, now, func(e timeline.Ends) clock.Millis { return e.Likely }),
				Sure:   startByTrial(runs, free, amount, now, func(e timeline.Ends) clock.Millis { return e.Sure }),
			}
			got, ok := w.Start(free, amount, now)
			if ok != (want.Sure != timeline.Never) {
				t.Fatalf("ok is %v, want a start at %v", ok, want)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatal(diff)
			}
			if ok && !amount.FitsIn(w.FreeAt(free, got.Sure)) {
				t.Fatalf("the amount is not free at its sure start %d", got.Sure)
			}
		}
	}
}

// BenchmarkStart measures the search for the earliest start over 1,190 workers
// with 5,000 runs, and one change beside each.
func BenchmarkStart(b *testing.B) {
	rng := rand.New(rand.NewPCG(3, 4))
	workers := make([]timeline.Worker, 1190)
	var runs []*timeline.Run
	for i := range 5000 {
		runs = append(runs, workers[i%len(workers)].Add(fleet.Room{MilliCPU: 4000}, drawEnds(rng)))
	}
	b.ResetTimer()
	for b.Loop() {
		changed := rng.IntN(len(runs))
		workers[changed%len(workers)].Estimate(runs[changed], drawEnds(rng))
		for k := range workers {
			workers[k].Start(fleet.Room{MilliCPU: 1000}, fleet.Room{MilliCPU: 12000}, 0)
		}
	}
}
