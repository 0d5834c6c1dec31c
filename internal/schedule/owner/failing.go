package owner

import (
	"math"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// All runs on a faulty worker can fail while it answers every call. Failed runs end at
// once, so such a worker is soon idle again and gets the next tasks, whose attempts are
// limited. A worker that is found to be failing gets no new runs for a while, and then
// one at a time until one succeeds or outlives the failed ones.
//
// A job can also fail wherever it runs. Failed runs of a job or an image that
// fails on other workers too are no evidence against a worker.

// Limits for failing workers.
const (
	maxChance           = 0.004             // probability, at the cell's failure rate, below which consecutive failures are not by chance
	initialFailureRate  = 0.05              // of a cell before any run has ended
	minFailureRate      = 0.01              // lower bound of the averaged rate
	failureRateRuns     = 200.0             // runs over which the failure rate is averaged
	failingBackoff      = 2 * clock.Second  // first backoff of a failing worker
	maxFailingDoublings = 1                 // how often the backoff doubles, with each two further failures
	maxTrial            = 3 * clock.Second  // longest time for which a run keeps others off a failing worker
	survivalFactor      = clock.Millis(2)   // a run outlives failed ones at this multiple of the longest of their times
	trialMargin         = 2 * clock.Second  // and this much more, to end the failing state of its worker
	siblingMargin       = clock.Millis(500) // and this much more, to show that its job does not fail everywhere
	outcomesKept        = clock.Minute      // how long the ends of runs of a job or image count after its last failure
	outcomesCheckPeriod = 5 * clock.Second  // least time between removals of older ones
	maxFailedRuns       = 16                // consecutive failed runs of a worker that are kept
	maxSiblings         = 256               // tasks of a job that are searched for runs that outlive failed ones
)

// failureRate is the share of runs that fail on workers whose last run did not fail. It
// measures failures that are caused by the runs: a worker on which all runs fail adds
// only one.
type failureRate float64

// after returns the rate after another run.
func (f failureRate) after(failed bool) failureRate {
	outcome := failureRate(0)
	if failed {
		outcome = 1
	}
	return max(f+(outcome-f)/failureRateRuns, minFailureRate)
}

// tooMany reports whether so many consecutive failures on a worker are too unlikely to
// have happened by chance.
func (f failureRate) tooMany(failures int) bool {
	return failures > 1 && math.Pow(float64(f), float64(failures)) < maxChance
}

// failedRun is what a worker keeps of a failed run.
type failedRun struct {
	job   job.ID
	image string
}

// runSource is a job or an image whose runs have failed.
type runSource struct {
	job   job.ID
	image string // empty for a job
}

func failedRunOf(r *run) failedRun {
	return failedRun{job: r.task.job.spec.ID, image: r.task.spec().Image}
}

// sources lists the possible causes of a failed run apart from its worker.
func (f failedRun) sources() []runSource {
	sources := []runSource{{job: f.job}}
	if f.image != "" {
		sources = append(sources, runSource{image: f.image})
	}
	return sources
}

// outcomes counts the ends of the runs of a job or an image since its first
// failure.
type outcomes struct {
	total         outcomeCount
	byWorker      map[string]outcomeCount
	lastFailureAt clock.Millis
}

type outcomeCount struct{ done, failed int }

func (c outcomeCount) plus(failed bool) outcomeCount {
	if failed {
		c.failed++
	} else {
		c.done++
	}
	return c
}

// elsewhere counts the ends on all workers but one.
func (s *outcomes) elsewhere(w *worker) outcomeCount {
	here := s.byWorker[w.id]
	return outcomeCount{done: s.total.done - here.done, failed: s.total.failed - here.failed}
}

// countOutcome counts the end of a run for its job and its image, from their first
// failure on. A job's failures count once for its image: one job whose runs always fail
// says little about an image.
func (o *Owner) countOutcome(r *run, failed bool) {
	ended := failedRunOf(r)
	repeated := o.outcomes[runSource{job: ended.job}] != nil
	for _, source := range ended.sources() {
		if failed && repeated && source.image != "" {
			continue
		}
		o.countOutcomeOf(source, r.worker, failed)
	}
}

func (o *Owner) countOutcomeOf(source runSource, w *worker, failed bool) {
	counted := o.outcomes[source]
	if counted == nil {
		if !failed {
			return
		}
		o.forgetOutcomes()
		counted = &outcomes{byWorker: map[string]outcomeCount{}}
		o.outcomes[source] = counted
	}
	if failed {
		counted.lastFailureAt = o.now
	}
	counted.total = counted.total.plus(failed)
	counted.byWorker[w.id] = counted.byWorker[w.id].plus(failed)
}

// forgetOutcomes drops the counts of jobs and images that have not failed lately.
func (o *Owner) forgetOutcomes() {
	if o.now < o.nextOutcomesCheckAt {
		return
	}
	o.nextOutcomesCheckAt = o.now + outcomesCheckPeriod
	for source, counted := range o.outcomes {
		if o.now-counted.lastFailureAt > outcomesKept {
			delete(o.outcomes, source)
		}
	}
}

// failsElsewhere reports whether the job or the image of a worker's failed run
// fails on other workers at least as often as it does not, so that the worker does
// not stand out by its failure.
func (o *Owner) failsElsewhere(failed failedRun, w *worker) bool {
	return slices.ContainsFunc(failed.sources(), func(source runSource) bool {
		counted := o.outcomes[source]
		if counted == nil {
			return false
		}
		others := counted.elsewhere(w)
		return others.failed > 0 && others.failed >= others.done && others.failed >= others.done+o.survivors(failed.job, w)
	})
}

// survivors counts the runs of a job on other workers that have outlived the failed runs
// of a worker. Long tasks take long to be done, so runs that survive count before they
// are done.
func (o *Owner) survivors(id job.ID, w *worker) int {
	j := o.jobs[id]
	if j == nil {
		return 0
	}
	count, left := 0, maxSiblings
	for i := range j.steps {
		tasks := j.steps[i].tasks
		tasks = tasks[:min(left, len(tasks))]
		left -= len(tasks)
		for k := range tasks {
			if r := tasks[k].run; r != nil && r.worker != w && w.outlived(r, siblingMargin) {
				count++
			}
		}
	}
	return count
}

// outlived reports whether a run was last reported at an age that is above that
// of the failed runs of a worker by a factor and a margin.
func (w *worker) outlived(r *run, margin clock.Millis) bool {
	return r.stage == stageConfirmed && r.reportedAt-r.startedAt >= survivalFactor*w.longestFailure+margin
}

// isFailing reports whether a worker's consecutive failures are caused by it.
func (o *Owner) isFailing(w *worker) bool {
	return o.failureRate.tooMany(o.evidenceAgainst(w))
}

// evidenceAgainst counts the consecutive failed runs of a worker whose jobs and
// images do not fail elsewhere, too.
func (o *Owner) evidenceAgainst(w *worker) int {
	known := map[failedRun]bool{}
	count := 0
	for _, failed := range w.failedRuns {
		counts, seen := known[failed]
		if !seen {
			counts = !o.failsElsewhere(failed, w)
			known[failed] = counts
		}
		if counts {
			count++
		}
	}
	return count
}

// noteOutcome counts a run that was done or has failed. A worker that is failing by then
// gets no new runs for a backoff, which grows with its consecutive failures.
func (o *Owner) noteOutcome(r *run, failed bool) {
	w := r.worker
	if w.failuresInARow == 0 || !failed {
		o.failureRate = o.failureRate.after(failed)
	}
	o.countOutcome(r, failed)
	if !failed {
		w.clearFailures()
		return
	}
	w.noteFailure(r, o.now)
	o.clearUnfoundedFailing(failedRunOf(r))
	w.failing = o.isFailing(w)
	if !w.failing {
		return
	}
	backoff := failingBackoff << min(w.failuresInARow/2-1, maxFailingDoublings)
	w.backoffUntil = max(w.backoffUntil, o.now+backoff)
	o.options.Log.Warn().Str("event", "worker_failing").Str("worker", w.id).Int("failures_in_a_row", w.failuresInARow).
		Int("evidence", o.evidenceAgainst(w)).Int64("longest_failure_ms", int64(w.longestFailure)).
		Float64("failure_rate", float64(o.failureRate)).Int64("backoff_ms", int64(backoff)).Int("runs", len(w.runs)).Send()
}

// noteFailure adds a failed run to the consecutive ones of its worker.
func (w *worker) noteFailure(r *run, now clock.Millis) {
	w.failuresInARow++
	w.lastFailureAt = now
	w.longestFailure = max(w.longestFailure, age(r.startedAt, now))
	w.failedRuns = append(w.failedRuns, failedRunOf(r))
	w.failedRuns = w.failedRuns[max(len(w.failedRuns)-maxFailedRuns, 0):]
}

// clearFailures resets a worker's consecutive failures.
func (w *worker) clearFailures() {
	w.failuresInARow, w.failedRuns, w.longestFailure, w.failing = 0, nil, 0, false
}

// clearUnfoundedFailing ends the failing state of workers whose failures are no longer evidence
// against them, because their job or image has now failed elsewhere, too. Their backoffs
// run out by themselves.
func (o *Owner) clearUnfoundedFailing(newest failedRun) {
	sharesSource := func(failed failedRun) bool {
		return failed.job == newest.job || failed.image != "" && failed.image == newest.image
	}
	for _, w := range o.sortedWorkers {
		if w.failing && slices.ContainsFunc(w.failedRuns, sharesSource) && !o.isFailing(w) {
			w.failing = false
			o.logCleared(w, "its jobs fail elsewhere")
		}
	}
}

// endTrial ends the failing state of a worker that has just reported a run which was
// started after the last failure and has outlived the failed ones.
func (o *Owner) endTrial(w *worker) {
	if !w.failing {
		return
	}
	for r := range w.runs {
		if !r.task.spec().Lasting && r.reportedAt == o.now && r.startedAt >= w.lastFailureAt && w.outlived(r, trialMargin) {
			o.logCleared(w, "a run outlived the failed ones")
			w.clearFailures()
			return
		}
	}
}

func (o *Owner) logCleared(w *worker, reason string) {
	o.placementDue = true
	o.options.Log.Info().Str("event", "worker_not_failing").Str("worker", w.id).Str("reason", reason).
		Int("failures_in_a_row", w.failuresInARow).Int64("longest_failure_ms", int64(w.longestFailure)).Int("runs", len(w.runs)).Send()
}

// isOnTrial reports whether a failing worker has a recent run that will show
// whether it still fails. Long-running tasks show nothing while they run.
func (o *Owner) isOnTrial(w *worker) bool {
	if !w.failing {
		return false
	}
	for r := range w.runs {
		if !r.task.spec().Lasting && (r.startedAt == 0 || o.now-r.startedAt < maxTrial) {
			return true
		}
	}
	return false
}
