package ownership

import (
	"context"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/site/peer"
)

// The owner's processor limits how many workers and task starts a cell can
// have. So entries with the most cores claim first, and an owner with few cores
// hands over to a stronger entry.
const (
	strongerCoresFactor              = 1.5            // a stronger entry has over this many times the cores
	weakClaimDelay      clock.Millis = 400            // added before a claim of a weaker entry; a claim takes about 20 ms
	minTenure           clock.Millis = clock.Second   // before an owner checks for stronger entries
	minTenureUnclaimed               = 20 * minTenure // the same, if the stronger entries did not claim a released cell
	strongerCheckPeriod clock.Millis = 500            // between checks after the minimum tenure
)

// hasStrongerPeer reports whether one of the given entries has over
// strongerCoresFactor times the cores of this one.
func (e *Elector) hasStrongerPeer(others []peer.Entry) bool {
	return lo.SomeBy(others, func(other peer.Entry) bool { return other.Cores > strongerCoresFactor*e.options.Cores })
}

// tenureFor returns how long an ownership lasts before it may be handed over to
// a stronger entry. Stronger entries that did not claim a released cell are
// taken to be unable to, so the check for them is put off longer.
func (e *Elector) tenureFor(reason claimReason) clock.Millis {
	if reason == released && e.hasStrongerPeer(*e.peers.Load()) {
		return minTenureUnclaimed
	}
	return minTenure
}

// awaitHandover returns when an ownership should be released: when this entry is
// retired, or after the tenure when a stronger entry has pinged it recently.
func (e *Elector) awaitHandover(ctx context.Context, tenure clock.Millis) {
	wait := tenure
	for {
		if e.options.Clock.Pause(ctx, wait, e.retired) != nil || e.isRetired() {
			return
		}
		others := e.options.RecentPeers()
		if e.hasStrongerPeer(others) {
			e.peers.Store(&others)
			e.peersHash = 0
			e.options.Logger.Info().Str("event", "ownership_left").Str("cell", e.options.Cell).
				Float64("cores", e.options.Cores).Int("entries_heard", len(others)).
				Str("reason", "an entry with more cores is available").Send()
			return
		}
		wait = strongerCheckPeriod
	}
}
