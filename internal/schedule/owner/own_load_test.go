package owner

import (
	"fmt"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// harm_ms of the platform's settings.
const harmLimit = 4 * clock.Second

// harmPlay runs a worker with a long-running task and best-effort tasks that cost
// it headroom while they work.
type harmPlay struct {
	alone func(after clock.Millis) float64 // headroom without best-effort tasks
	loss  float64                          // headroom that all best-effort tasks cost together
	span  clock.Millis
}

type harmResult struct {
	workShare   float64      // share of the time in which best-effort tasks worked, from the first second on
	pauses      int          // pauses of all best-effort tasks
	shortestGap clock.Millis // shortest time from the end of a pause to the next
	longestHarm clock.Millis // longest time over the target, only because of working best-effort tasks
	blamed      bool         // the pair counts as incompatible
	unwatched   int          // reports over the target after which the next is not requested sooner
}

const harmPlayTasks = 3 // best-effort

func (p harmPlay) run() (result harmResult) {
	b := newHarness(testEntry("w"))
	b.owner.options.Times.AppendGap = 5 // deliverPending takes 100 ms
	b.reportAndDeliver()
	b.owner.Submit(servingSpec(1), func(Verdict) {})
	b.deliverPending()
	b.owner.Submit(bestEffortSpec(harmPlayTasks), func(Verdict) {})
	begun, tail, harm, applied := b.now, 1/p.alone(0), clock.Millis(0), 0
	paces := map[job.Task]int{}
	working, steps, worked, rounds := 0, 0, 0, 0
	resumedAt := clock.Millis(0)
	result.shortestGap = p.span
	const reportEvery = 4 // rounds of 100 ms
	for b.now-begun < p.span {
		last := b.now
		b.owner.Tick()
		b.deliverPending()
		for ; applied < len(b.paces); applied++ {
			order := b.paces[applied]
			switch {
			case order.Percent == fullPace:
				resumedAt = b.now
			case resumedAt != 0:
				result.shortestGap = min(result.shortestGap, b.now-resumedAt)
				fallthrough
			default:
				result.pauses++
				resumedAt = 0
			}
			paces[order.Task] = order.Percent
			b.owner.Paced(order, fleet.Answer{Outcome: fleet.Accepted})
		}
		for _, stop := range b.stops {
			delete(paces, stop.Task)
		}
		b.stops = nil
		headroom := p.alone(b.now-begun) - p.loss*float64(working)/harmPlayTasks
		const window = 500.0 // ms that a tail latency covers
		tail += (1/max(headroom, 0.1) - tail) * (1 - math.Exp(-float64(b.now-last)/window))
		harmed := working > 0 && tail > 1 && p.alone(b.now-begun) >= 1
		if !harmed {
			harm = 0
		} else {
			harm += b.now - last
		}
		result.longestHarm = max(result.longestHarm, harm)
		if rounds++; rounds%reportEvery != 0 {
			continue
		}
		working = 0
		b.report("w", func(task job.Task) int64 {
			if task.Job == servingJob {
				return int64(math.Round(tail * targetMS))
			}
			if pace, paced := paces[task]; paced && pace == 0 {
				return 0
			}
			working++
			return 2000
		})
		if tail > 1 && b.now-begun > 2*clock.Second && !b.owner.workers["w"].usesLowHeadroomWait {
			result.unwatched++
		}
		if b.now-begun > clock.Second {
			steps++
			worked += working
		}
	}
	result.workShare = float64(worked) / float64(steps*harmPlayTasks)
	result.blamed = b.owner.interference.Pair("s", "f").Incompatible()
	return result
}

// Best-effort tasks must not wait beside a long-running task that is over its target
// by its own load: a pause that does not help ends, is not repeated at once, and
// the pair of images is not blamed.
func TestOwnLoadDoesNotPauseBestEffortTasks(t *testing.T) {
	for name, play := range map[string]harmPlay{
		"over from the start": {alone: func(clock.Millis) float64 { return 0.8 }},
		"far over":            {alone: func(clock.Millis) float64 { return 0.3 }},
		"load rises beside best-effort tasks": {alone: func(after clock.Millis) float64 {
			if after < 10*clock.Second {
				return 2
			}
			return 0.8
		}},
		"harmless, and a little over": {alone: func(clock.Millis) float64 { return 0.93 }, loss: 0.02},
	} {
		play.span = clock.Minute
		result := play.run()
		t.Logf("%s: %+v", name, result)
		const minWorkShare, minGap = 0.5, 2 * clock.Second
		if result.workShare < minWorkShare || result.shortestGap < minGap || result.blamed || result.unwatched > 0 {
			t.Errorf("%s: %+v", name, result)
		}
	}
}

// A long-running task that would be under its target without the best-effort tasks
// beside it must not be over it for harm_ms while these work on, also while its own
// load rises above the target and falls again.
func TestBestEffortTasksDoNoLastingHarm(t *testing.T) {
	for _, period := range []clock.Millis{9, 14, 20, 33, 60} {
		for _, loss := range []float64{0.05, 0.2, 0.5, 0.9, 1.5} {
			for _, mean := range []float64{0.9, 1.2, 1.6} {
				name := fmt.Sprintf("period %d s, loss %g, mean headroom %g", period, loss, mean)
				result := harmPlay{loss: loss, span: 2 * clock.Minute, alone: func(after clock.Millis) float64 {
					return mean + 0.5*math.Sin(2*math.Pi*float64(after)/float64(period*clock.Second))
				}}.run()
				if result.longestHarm >= harmLimit {
					t.Errorf("%s: %+v", name, result)
				}
			}
		}
	}
}

// A task whose own load falls at once must not be held over its target by the tasks
// beside it, which were not to blame before.
func TestHarmIsNoticedAfterOwnLoadFalls(t *testing.T) {
	for _, loss := range []float64{0.3, 0.6, 1.2} {
		for fall := clock.Millis(10000); fall < 16000; fall += 500 {
			result := harmPlay{loss: loss, span: 30 * clock.Second, alone: func(after clock.Millis) float64 {
				if after < fall {
					return 0.8
				}
				return 1.15
			}}.run()
			if result.longestHarm >= harmLimit {
				t.Errorf("loss %g, load falls at %d ms (-want +got):\n%s", loss, fall, cmp.Diff(harmResult{}, result, cmp.AllowUnexported(harmResult{})))
			}
		}
	}
}
