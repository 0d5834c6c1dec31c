package owner

import (
	"math"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// A worker can fail all that it starts while it answers every call. Failed runs
// end at once, so such a worker is idle again at once and attracts the next
// tasks, whose attempts are limited. It gets no new runs for a while, and then
// one at a time until one succeeds.

// Limits for failing workers.
const (
	maxChance           = 0.004 // probability, at the cell's failure rate, below which consecutive failures are not by chance
	initialFailureRate  = 0.05
	minFailureRate      = 0.01
	failureRateRuns     = 200.0            // runs over which the failure rate is averaged
	failingBackoff      = 2 * clock.Second // first backoff of a failing worker
	maxFailingDoublings = 1                // how often the backoff doubles, with each two further failures
)

// failureRate is the share of runs that fail on workers whose last run did not:
// failures that lie with the runs, as single workers that fail all count once.
type failureRate float64

// after returns the rate after another run.
func (f failureRate) after(failed bool) failureRate {
	outcome := failureRate(0)
	if failed {
		outcome = 1
	}
	return max(f+(outcome-f)/failureRateRuns, minFailureRate)
}

// tooMany reports whether so many consecutive failures must lie with the worker.
func (f failureRate) tooMany(failures int) bool {
	return failures > 1 && math.Pow(float64(f), float64(failures)) < maxChance
}

// noteOutcome counts a run that was done or has failed, and gives a failing
// worker no new runs for a while, the longer the more of them failed.
func (o *Owner) noteOutcome(w *worker, failed bool) {
	if w.failuresInARow == 0 || !failed {
		o.failureRate = o.failureRate.after(failed)
	}
	if !failed {
		w.failuresInARow = 0
		return
	}
	w.failuresInARow++
	w.failing = o.failureRate.tooMany(w.failuresInARow)
	if !w.failing {
		return
	}
	backoff := failingBackoff << min(w.failuresInARow/2-1, maxFailingDoublings)
	w.backoffUntil = max(w.backoffUntil, o.now+backoff)
	o.options.Log.Warn().Str("event", "worker_failing").Str("worker", w.id).Int("failures_in_a_row", w.failuresInARow).
		Float64("failure_rate", float64(o.failureRate)).Int64("backoff_ms", int64(backoff)).Int("runs", len(w.runs)).Send()
}

// isOnTrial reports whether a failing worker has a run that will show whether it
// still fails. Long-running tasks show nothing while they run.
func (w *worker) isOnTrial() bool {
	if w.failuresInARow == 0 || !w.failing {
		return false
	}
	for r := range w.runs {
		if !r.task.spec().Lasting {
			return true
		}
	}
	return false
}
