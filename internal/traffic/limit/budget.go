package limit

import "github.com/oriolepier/oriolepier/internal/base/clock"

const (
	// growHold covers the time in which a newcomer may be unknown to others:
	// a few heartbeats and the longest request on a connection to be closed.
	growHold = 10 * clock.Second
	// newcomerShare of the connections is kept for entries that others do not
	// know yet: one part in four.
	newcomerShare = 4
)

// Budget is an entry's share of the connections that a backend server takes
// from all entries together. It is an immutable value.
//
// Entries do not agree on how many they are, so the share shrinks at once and
// grows only when a smaller number of entries was seen for growHold, and an
// entry that has just started takes its share of the newcomers' part. The sum
// over all entries stays within the connections as long as each hears of a new
// one within growHold and no more start at once than settings name.
//
// Towards other failure domains, entries that are not seen still count: they
// may be cut off from this entry but not from the backend server.
type Budget struct {
	started clock.Millis
	seeds   int
	seen    int // entries assumed now
	held    int // the most that were assumed within growHold
	heldAt  clock.Millis
	peak    int // the most that were assumed since heldAt
	young   bool
}

// NewBudget returns the budget of an entry that starts now.
func NewBudget(now clock.Millis) Budget { return Budget{started: now, young: true} }

// With returns the budget after a look at the membership: entries believed
// live and entries that settings name.
func (b Budget) With(now clock.Millis, entries, seeds int) Budget {
	b.seeds = max(seeds, 1)
	b.young = now-b.started < growHold
	if b.seen == b.held {
		b.heldAt = now
	}
	b.seen = max(entries, (b.seeds+1)/2, 1)
	b.peak = max(b.peak, b.seen)
	switch {
	case b.seen >= b.held:
		b.held, b.heldAt, b.peak = b.seen, now, b.seen
	case now-b.heldAt >= growHold:
		b.held, b.heldAt, b.peak = b.peak, now, b.seen
	}
	return b
}

// Local returns the connections to a backend server of the own failure domain,
// at least 1.
func (b Budget) Local(connections int) int { return b.share(connections, b.held) }

// Remote returns the connections to a backend server of another failure
// domain, at least 1.
func (b Budget) Remote(connections int) int { return b.share(connections, max(b.held, b.seeds)) }

func (b Budget) share(connections, entries int) int {
	reserve := connections / newcomerShare
	if b.young {
		return max(reserve/max(b.seeds, entries), 1)
	}
	return max((connections-reserve)/max(entries, 1), 1)
}
