package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

const (
	// renewalsPerLease is how often a lease is renewed in its life, so that one
	// lost renewal is no loss.
	renewalsPerLease = 3
	// RetryAfter is the wait after a failed renewal.
	RetryAfter clock.Millis = 500
)

// Interval returns the time between two renewals of a lease.
func Interval(lease clock.Millis) clock.Millis { return lease / renewalsPerLease }

// Share splits a failure domain's workers among its live entries, evenly and so
// that few workers change hands when an entry comes or goes.
type Share struct {
	live  []string
	split *rendezvous.Rendezvous
}

// NewShare returns the split among live entries.
func NewShare(live []string) Share {
	names := slices.Clone(live)
	slices.Sort(names)
	return Share{live: names, split: rendezvous.New(names, xxhash.Sum64String)}
}

// Live returns the entries among which workers are split, in order of name.
func (share Share) Live() []string { return share.live }

// Of returns the entry that renews a worker; "" when none lives.
func (share Share) Of(vm string) string {
	if len(share.live) == 0 {
		return ""
	}
	return share.split.Lookup(vm)
}
