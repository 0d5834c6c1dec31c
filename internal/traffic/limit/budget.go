package limit

import "github.com/oriolepier/oriolepier/internal/base/clock"

const (
	// growthDelay bounds the time in which a new entry may be unknown to
	// others: a few heartbeats, and requests of usual length on connections that
	// are to be closed. Requests longer than 10 s are not covered.
	growthDelay = 10 * clock.Second
	// newEntryDivisor reserves one part in four of the connections for entries
	// that others do not know yet.
	newEntryDivisor = 4
)

// Budget is an entry's share of the connections that a backend server takes
// from all entries together. It is an immutable value.
//
// Entries may disagree on how many they are, so the share shrinks at once and
// grows only after a smaller number of entries was seen for growthDelay. An
// entry that has just started takes its share from the reserve for new
// entries. The sum over all entries stays within the connections as long as
// each entry learns of a new one within growthDelay and no more entries start
// at once than the settings name.
//
// For backend servers of other failure domains, entries that the settings name
// count even if they are not seen: they may be partitioned from this entry but
// not from the backend server.
type Budget struct {
	started      clock.Millis
	seeds        int          // entries that the settings name
	seen         int          // entries assumed at the last update
	divisor      int          // entries that the share is computed for; maximum of seen within growthDelay
	divisorSince clock.Millis // last update at which seen was equal to divisor
	peak         int          // maximum of seen since divisorSince
	isNew        bool         // started less than growthDelay ago
}

// NewBudget returns the budget of an entry that starts now.
func NewBudget(now clock.Millis) Budget { return Budget{started: now, isNew: true} }

// Updated returns the budget updated with the membership: the number of entries
// believed live and of those that the settings name.
func (b Budget) Updated(now clock.Millis, entries, seeds int) Budget {
	b.seeds = max(seeds, 1)
	b.isNew = now-b.started < growthDelay
	if b.seen == b.divisor {
		b.divisorSince = now
	}
	b.seen = max(entries, (b.seeds+1)/2, 1)
	b.peak = max(b.peak, b.seen)
	switch {
	case b.seen >= b.divisor:
		b.divisor, b.divisorSince, b.peak = b.seen, now, b.seen
	case now-b.divisorSince >= growthDelay:
		b.divisor, b.divisorSince, b.peak = b.peak, now, b.seen
	}
	return b
}

// Local returns the number of connections to a backend server of the own
// failure domain, at least 1.
func (b Budget) Local(connections int) int { return b.share(connections, b.divisor) }

// Remote returns the number of connections to a backend server of another
// failure domain, at least 1.
func (b Budget) Remote(connections int) int {
	return b.share(connections, max(b.divisor, b.seeds))
}

func (b Budget) share(connections, entries int) int {
	reserve := connections / newEntryDivisor
	if b.isNew {
		return max(reserve/max(b.seeds, entries), 1)
	}
	return max((connections-reserve)/max(entries, 1), 1)
}
