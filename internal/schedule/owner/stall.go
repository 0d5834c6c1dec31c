package owner

import (
	"math"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// A stalled worker may answer every call while its runs make little or no progress.
// Only its report shows it: the completed percentage of runs that are not long-running
// hardly grows although they use their processors, and long-running tasks stop serving
// their users.
//
// The percentage is a whole number, so a long run is reported without change for some
// time. The time for a percent is known from the changes that were reported, else it is
// taken from the declared duration, which may be far too small. A run with neither is no
// evidence of a stall while it uses its processors.

// Limits for detecting stalled workers.
const (
	stallTimeout        clock.Millis = 700              // time without progress after which a run counts as stalled
	stallTimeoutShare                = 0.15             // share of the estimated duration of a task that is not long-running, which replaces stallTimeout where it is longer
	unshownTimeoutShare              = 0.5              // the same for a busy run that has not shown its pace; covers the first percent of a task that takes up to 50 times its estimate
	stalledIntervals    clock.Millis = 3                // a factor, no time: times percentInterval without progress, after stallTimeout, from which a run counts as stalled
	idleTimeout         clock.Millis = 5 * clock.Second // time without progress and processor use from which a run without an estimate and a shown pace counts as stalled
	maxLimitDoublings                = 5                // how often the limit of a task doubles, with each of its runs that was stopped as stalled
	minRelativeSpeed                 = 0.35             // done over expected work of a worker's runs that are not long-running, below which the worker is slow
	minExpectedWork                  = 400.0            // milliseconds of expected work below which no worker counts as slow
	speedDecay                       = 1000.0           // time constant of the exponential decay of done and expected work, in ms
	startupGrace        clock.Millis = 900              // age at which a run must begin to show progress; restoring a checkpoint takes about so long
	stalledTailRatio                 = 20.0             // tail latency over target from which a long-running task counts as not serving; such a tail comes from a stall, not from interference
	minProgressUsage                 = 0.25             // share of its requested processors from which a best-effort run is expected to progress, and any run counts as busy
	stallBackoff        clock.Millis = 4 * clock.Second // first backoff of a stalled worker, without new runs
	maxBackoffDoublings              = 2                // how often the backoff doubles while the worker keeps stalling
)

// updateProgress updates a run's progress from a report. Runs that are slowed,
// and best-effort runs without enough processors, are not expected to progress.
// It must be called before the report's usage is recorded.
func (o *Owner) updateProgress(r *run, row fleet.Run) {
	spec := r.task.spec()
	o.addSpeedSample(r, row)
	progressed := row.Percent != r.percentDone
	if progressed && r.reportedAt != 0 {
		r.notePercent(row.Percent, o.now)
	}
	r.progressKnown = r.pace == fullPace && (!spec.Fills || usesProcessors(spec, row.Usage))
	if spec.Lasting {
		r.progressKnown = spec.TargetMS > 0
		progressed = float64(row.Usage) < stalledTailRatio*float64(spec.TargetMS)
	}
	progressed = progressed || !r.progressKnown
	r.percentDone = row.Percent
	if progressed || r.progressedAt == 0 {
		r.progressedAt = max(o.now, r.startedAt+startupGrace)
	}
}

// notePercent notes a change of a run's percentage.
func (r *run) notePercent(percent int, now clock.Millis) {
	if r.firstChangeAt == 0 {
		r.firstChangeAt, r.firstChangePercent = now, percent
	}
	r.lastChangeAt = now
}

// percentInterval returns the time that a run has taken for a whole percent, or 0
// before its second change: it may have been anywhere within the first percent when
// it was first reported.
func (r *run) percentInterval() clock.Millis {
	percents := r.percentDone - r.firstChangePercent
	if r.firstChangeAt == 0 || percents <= 0 {
		return 0
	}
	return (r.lastChangeAt - r.firstChangeAt) / clock.Millis(percents)
}

// usesProcessors reports whether a processor use is large enough for progress.
func usesProcessors(step *job.Step, usage int64) bool {
	return float64(usage) >= minProgressUsage*float64(step.MilliCPU)
}

// processorShare returns a processor use as a share of the requested processors, at most 1.
func processorShare(step *job.Step, usage int64) float64 {
	return min(float64(usage)/float64(max(step.MilliCPU, 1)), 1)
}

// isIdle reports whether a run that has used its processors no longer does. Not
// all workers report the use.
func (r *run) isIdle() bool { return r.hasUsed && !usesProcessors(r.task.spec(), r.usage) }

// worksUnseen reports whether a run may work although its percentage stays the same: it
// has no declared duration, and uses its processors or was reported with neither a use of
// processors nor a time for a percent.
func (r *run) worksUnseen() bool {
	spec := r.task.spec()
	if spec.Lasting || spec.EstimateMS > 0 {
		return false
	}
	return usesProcessors(spec, r.usage) || !r.hasUsed && r.percentInterval() == 0
}

// addSpeedSample adds the work that a run did since its last report, and the work
// expected for the processors that it got, to the sums of its worker. Left out are
// long-running runs, runs without a declared duration, of which no work can be expected,
// and runs that take longer for a percent than the sums reach back.
func (o *Owner) addSpeedSample(r *run, row fleet.Run) {
	spec := r.task.spec()
	if spec.Lasting || spec.EstimateMS == 0 || r.reportedAt == 0 || !r.progressKnown || o.now < r.startedAt+startupGrace {
		return
	}
	const wholePercent = 100.0
	interval := max(float64(spec.EstimateMS)/wholePercent, float64(r.percentInterval()))
	if interval > speedDecay {
		return
	}
	share := 1.0
	if spec.Fills {
		share = processorShare(spec, row.Usage)
	}
	r.worker.workDone += float64(row.Percent-r.percentDone) * interval
	r.worker.workExpected += float64(o.now-r.reportedAt) * share
}

// decaySpeed decays a worker's done and expected work; it is called with each
// report.
func (o *Owner) decaySpeed(w *worker) {
	decay := math.Exp(-float64(o.now-w.workDecayedAt) / speedDecay)
	w.workDone *= decay
	w.workExpected *= decay
	w.workDecayedAt = o.now
}

// isSlow reports whether the runs of a worker that are not long-running progress
// far more slowly than estimated.
func (w *worker) isSlow() bool {
	return w.workExpected >= minExpectedWork && w.workDone < minRelativeSpeed*w.workExpected
}

// stallLimit returns the time without progress after which a run counts as
// stalled, or false if the report cannot show it. It doubles with each run of the
// task that was stopped as stalled elsewhere.
func (o *Owner) stallLimit(r *run) (limit clock.Millis, known bool) {
	spec := r.task.spec()
	if spec.Lasting {
		return stallTimeout, true
	}
	interval := r.percentInterval()
	share := stallTimeoutShare
	switch {
	case interval > 0 || r.isIdle() && spec.EstimateMS > 0: // its pace is known, or it does not work
	case spec.EstimateMS > 0:
		share = unshownTimeoutShare
	case r.isIdle():
		limit = idleTimeout
	default:
		return 0, false
	}
	limit = max(limit, stallTimeout, clock.Millis(share*float64(spec.EstimateMS)))
	if interval > 0 {
		limit = max(limit, stallTimeout+stalledIntervals*interval)
	}
	return limit << min(r.task.stalls, maxLimitDoublings), true
}

// stallCounts counts the runs of a worker by progress.
type stallCounts struct {
	notLongRunning     int // runs that are not long-running
	progressKnown      int // of these, runs whose progress the report shows
	stalledBatch       int // of the runs with known progress, those that make none
	unseenBatch        int // runs that are not long-running and may work, but have shown no progress for idleTimeout
	stalledLongRunning int // long-running runs that do not serve their users
}

// stallCounts counts the runs of a worker that has just reported.
func (o *Owner) stallCounts(w *worker) stallCounts {
	var sum stallCounts
	for _, r := range w.sortedRuns() {
		if !r.task.spec().Lasting {
			sum.notLongRunning++
		}
		if r.stage == stageConfirmed && r.reportedAt == o.now && r.progressKnown && o.now >= r.startedAt+startupGrace {
			o.addStallCount(&sum, r)
		}
	}
	return sum
}

// addStallCount counts a run that is expected to progress.
func (o *Owner) addStallCount(sum *stallCounts, r *run) {
	limit, known := o.stallLimit(r)
	unchanged := o.now - r.progressedAt
	stalled := known && unchanged >= limit
	switch {
	case r.task.spec().Lasting:
		if stalled {
			sum.stalledLongRunning++
		}
	case r.worksUnseen() && (stalled || !known):
		if unchanged >= idleTimeout {
			sum.unseenBatch++
		}
	default:
		sum.progressKnown++
		if stalled {
			sum.stalledBatch++
		}
	}
}

// isStalled reports whether a worker is stalled: none of its runs that are not
// long-running progresses, or long-running runs do not serve their users and the other
// runs are slow, absent or cannot show whether they work. Long-running runs that do not
// serve their users beside progressing runs may suffer from interference instead. Only
// runs with known progress count, and a run done within stallTimeout rules out a stall.
func (o *Owner) isStalled(w *worker, sum stallCounts) bool {
	switch {
	case w.lastDoneAt != 0 && o.now-w.lastDoneAt < stallTimeout:
		return false
	case sum.notLongRunning > 0:
		unseenOnly := sum.progressKnown == 0 && sum.unseenBatch > 0
		return sum.progressKnown > 0 && sum.stalledBatch == sum.progressKnown || sum.stalledLongRunning > 0 && (w.isSlow() || unseenOnly)
	}
	return sum.stalledLongRunning > 0
}

// moveOffStalled moves the runs off a stalled worker, except those that may work unseen,
// and gives it no new ones until its backoff ends. The logged limit_ms is the lower
// bound of the runs' limits.
func (o *Owner) moveOffStalled(w *worker, sum stallCounts) {
	backoff := stallBackoff << min(w.stallsInARow, maxBackoffDoublings)
	w.stallsInARow++
	w.backoffUntil = o.now + backoff
	o.options.Metrics.Stalls.Inc()
	o.options.Log.Warn().Str("event", "worker_stalled").Str("worker", w.id).Int("runs", len(w.runs)).
		Int("batch_runs", sum.notLongRunning).Int("stalled_batch_runs", sum.stalledBatch).Int("known_batch_runs", sum.progressKnown).
		Int("unseen_batch_runs", sum.unseenBatch).Int("stalled_long_running_runs", sum.stalledLongRunning).
		Float64("work_done_ms", w.workDone).Float64("work_expected_ms", w.workExpected).
		Int64("done_age_ms", int64(o.now-w.lastDoneAt)).Int("stalls_in_a_row", w.stallsInARow).Int64("backoff_ms", int64(backoff)).Int64("limit_ms", int64(stallTimeout)).Send()
	for _, r := range w.sortedRuns() {
		if r.stage == stageConfirmed && mayStopOnSuspicion(r.task.spec()) && !r.worksUnseen() {
			r.task.stalls++
			o.stopRun(r, "its worker stands still")
		}
	}
	o.placementDue = true
}

// mayStopOnSuspicion reports whether a step's tasks may be stopped because
// their worker seems stalled. Long-running tasks whose caller limits how many
// may be missing at a time are not stopped.
func mayStopOnSuspicion(step *job.Step) bool { return !step.Lasting || step.MayMiss == 0 }

// inStallBackoff reports whether a worker is in the backoff that follows a
// stall.
func (o *Owner) inStallBackoff(w *worker) bool { return w.stallsInARow > 0 && o.now < w.backoffUntil }
