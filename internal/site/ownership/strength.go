package ownership

import (
	"context"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/site/peer"
)

// An owner's processor decides how many workers and starts a cell can have, so
// the strongest entries claim first, and a weak one hands over to them.
const (
	strongerFactor              = 1.5              // an entry with so many times the processor is stronger
	weakWait       clock.Millis = 400              // that weak entries leave to stronger ones; a claim takes some 20 ms
	tenureBegin    clock.Millis = clock.Second     // of an owner until it looks for stronger entries
	tenureUnwanted              = 20 * tenureBegin // ... when they left the cell to it
	tenurePeriod   clock.Millis = 500              // between looks
)

// outclassed reports whether one of some entries is much stronger than this one.
func (e *Elector) outclassed(others []peer.Entry) bool {
	return lo.SomeBy(others, func(other peer.Entry) bool { return other.Cores > strongerFactor*e.options.Cores })
}

// tenure is how long an ownership that was claimed for a reason is kept whoever
// else is there. Stronger entries that did not claim a cell that was given up
// cannot, and are not waited for again soon.
func (e *Elector) tenure(why reason) clock.Millis {
	if why == released && e.outclassed(*e.peers.Load()) {
		return tenureUnwanted
	}
	return tenureBegin
}

// awaitLeaving returns when an ownership should be given up: when this entry
// leaves, or when a stronger one could take over after the tenure.
func (e *Elector) awaitLeaving(ctx context.Context, tenure clock.Millis) {
	wait := tenure
	for {
		if e.options.Clock.Pause(ctx, wait, e.retired) != nil || e.isRetired() {
			return
		}
		others := e.options.Callers()
		if e.outclassed(others) {
			e.peers.Store(&others)
			e.known = 0
			e.options.Logger.Info().Str("event", "ownership_left").Str("cell", e.options.Cell).
				Float64("cores", e.options.Cores).Int("entries_heard", len(others)).
				Str("reason", "a stronger entry is there").Send()
			return
		}
		wait = tenurePeriod
	}
}
