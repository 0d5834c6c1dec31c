package colocation

import "github.com/oriolepier/oriolepier/internal/base/clock"

const (
	// Slowdown of a service that counts as a breach, unless the options say.
	defaultTargetPercent = 130
	// Lag of the platform's usage reports.
	defaultLag clock.Millis = 10 * clock.Second
	// Reports older than this many lags decide nothing.
	staleLags = 3
	// Reports in a row that must show a breach, so that one outlier does nothing.
	confirmReports = 2
	// Tasks of a VM that are throttled in one breach before one is evicted.
	maxThrottles = 1
	// A throttled task may run freely if its VM is then expected to stay below
	// this part of the allowed slowdown; the gap to a breach is the hysteresis.
	loosenPart = 0.85
	// Lags between an action on a VM and the first Unthrottle.
	loosenLags = 1
	// Lags within which a breach after an Unthrottle doubles the wait for the next.
	relapseLags = 6
	// Bound of that wait, in lags.
	maxLoosenLags = 64
	// Growth of a task's use that is expected when it is let run freely and its
	// use before is not known.
	freedFactor = 4.0
	// Relief below this, as a fraction of running alone, is not worth an action.
	minRelief = 0.02
	// Lags for which a task stays throttled before it is moved.
	relocateLags = 3
	// Most work that such a move may lose.
	maxRelocateLoss clock.Millis = 5 * clock.Second
	// VMs that are looked at for a better place.
	relocateLooks = 8
	// Processors of the smallest task, which keeps quotients finite.
	minCores = 0.05
	// Work that an eviction costs besides what was lost: stop, wait and start.
	evictCost clock.Millis = 5 * clock.Second
	// Evictions of a cell in one lag, as a part of its VMs with reports.
	evictPart = 0.05
	// Part of a cell's VMs whose reports must be fresh before anything is evicted.
	freshPart = 0.5
	// Kinds of tasks that are learnt; callers name them, so that there may be
	// any number. Others are taken to be like a kind never seen.
	maxKinds = 1000
	// Pause between searches for kinds that no task has any more.
	sweepEvery clock.Millis = clock.Minute
	// Pause between counts of fresh reports, which look at every VM.
	countEvery clock.Millis = clock.Second
)

// Options are the limits of an estimator. Zero values give the defaults.
type Options struct {
	TargetPercent int                      // slowdown allowed to a service; 100 is none
	Target        func(service string) int // overrides TargetPercent by service, unless it returns 0
	Lag           clock.Millis             // of usage reports; actions on a VM are at least this far apart
}

func (o Options) withDefaults() Options {
	if o.TargetPercent == 0 {
		o.TargetPercent = defaultTargetPercent
	}
	if o.Lag == 0 {
		o.Lag = defaultLag
	}
	return o
}

// allowed returns the extra slowdown allowed to a service, as a fraction.
func (o Options) allowed(service string) float64 {
	percent := o.TargetPercent
	if o.Target != nil {
		if own := o.Target(service); own > 0 {
			percent = own
		}
	}
	return max(float64(percent-100)/100, 0.01)
}
