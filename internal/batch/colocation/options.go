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
	maxThrottles = 3
	// A VM is calm below this part of its allowed slowdown; the gap to a breach
	// is the hysteresis.
	calmPart = 0.6
	// Time that a VM must be calm before a throttled task runs freely again, in lags.
	calmLags = 3
	// Relief below this, as a fraction of running alone, is not worth an action.
	minRelief = 0.02
	// Work that an eviction costs besides what was lost: stop, wait and start.
	evictCost clock.Millis = 5 * clock.Second
	// Evictions of a cell in one lag, as a part of its VMs with reports.
	evictPart = 0.05
	// Part of a cell's VMs whose reports must be fresh before anything is evicted.
	freshPart = 0.5
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
