// Package member keeps an entry's opinion of which other entries are live.
//
// It is fed by direct heartbeats and by nothing else. Its answers set budgets
// and preferences; no promise of the system depends on them, so a wrong
// opinion costs time and never correctness.
//
// # Usage
//
//	table := member.New("a-e-1", "a")
//	table = table.WithSeeds(seeds)
//	table = table.WithHeard(beat, now)
//	live := table.Live(now)
//
// A Table is immutable.
package member

import (
	"maps"
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Pace of heartbeats and patience with silence. Entries of other failure
// domains are asked less often, so that the traffic of one entry grows slowly
// with the size of the deployment.
const (
	nearInterval  clock.Millis = 500
	farInterval   clock.Millis = 1000
	farPerEntry   clock.Millis = 40 // added to farInterval for each far entry
	suspectBeats               = 4  // heartbeats missed before an entry is suspected
	deadBeats                  = 8  // heartbeats missed before it counts as gone
	forgetSilence clock.Millis = 10 * clock.Minute
)

// State is the opinion of one entry.
type State string

// The states.
const (
	Unheard State = "unheard" // named by settings or the VM list, never heard
	Live    State = "live"
	Suspect State = "suspect" // silent for a while; still counted
	Dead    State = "dead"
	Leaving State = "leaving" // said itself that it shuts down
)

// Seed is an entry that settings or the VM list name.
type Seed struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"` // ip:port of its peer listener
}

// Beat is what entries tell each other.
type Beat struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Boot          string `json:"boot"`           // of this life of the process
	ConfigVersion int64  `json:"config_version"` // newest one in force there
	Leaving       bool   `json:"leaving,omitempty"`
	Queued        int    `json:"queued,omitempty"`    // tasks waiting in cells it owns
	InFlight      int    `json:"in_flight,omitempty"` // requests being answered
}

// Member is one row of the opinion.
type Member struct {
	Seed
	Last  Beat         `json:"last"`
	Heard clock.Millis `json:"heard_at_ms"` // 0: never
}

// Table is the opinion of one entry about the others. It is immutable.
type Table struct {
	self   string
	domain string
	rows   map[string]Member
	far    int // rows of other failure domains
}

// New returns the table of the entry of a name in a failure domain.
func New(self, domain string) Table {
	return Table{self: self, domain: domain}
}

// WithSeeds returns the table with further known entries; known ones take the
// newer address.
func (t Table) WithSeeds(seeds []Seed) Table {
	next := t.clone()
	for _, seed := range seeds {
		if seed.Name == t.self {
			continue
		}
		row := next.rows[seed.Name]
		row.Seed = seed
		next.rows[seed.Name] = row
	}
	return next.counted()
}

// WithHeard returns the table after a heartbeat or an answer to one.
func (t Table) WithHeard(beat Beat, now clock.Millis) Table {
	if beat.Name == t.self || beat.Name == "" {
		return t
	}
	next := t.clone()
	row := next.rows[beat.Name]
	row.Name = beat.Name
	row.FailureDomain = beat.FailureDomain
	row.Last = beat
	row.Heard = now
	next.rows[beat.Name] = row
	return next.counted()
}

// WithForgotten returns the table without entries that are no longer named
// and have been silent for long.
func (t Table) WithForgotten(named []Seed, now clock.Millis) Table {
	keep := lo.SliceToMap(named, func(seed Seed) (string, bool) { return seed.Name, true })
	next := t.clone()
	maps.DeleteFunc(next.rows, func(name string, row Member) bool {
		return !keep[name] && now-row.Heard > forgetSilence
	})
	return next.counted()
}

// counted returns the table with its far entries counted anew.
func (t Table) counted() Table {
	t.far = 0
	for _, row := range t.rows {
		if row.FailureDomain != t.domain {
			t.far++
		}
	}
	return t
}

func (t Table) clone() Table {
	t.rows = maps.Clone(t.rows)
	if t.rows == nil {
		t.rows = map[string]Member{}
	}
	return t
}

// Knows reports whether an entry is a member, in whatever state.
func (t Table) Knows(name string) bool {
	_, ok := t.rows[name]
	return ok
}

// Interval is the time between two heartbeats to an entry.
func (t Table) Interval(name string) clock.Millis {
	if t.rows[name].FailureDomain == t.domain {
		return nearInterval
	}
	return farInterval + farPerEntry*clock.Millis(t.far)
}

// State returns the opinion of one entry.
func (t Table) State(name string, now clock.Millis) State {
	row, ok := t.rows[name]
	if !ok || row.Heard == 0 {
		return Unheard
	}
	silence := now - row.Heard
	beat := t.Interval(name)
	switch {
	case silence > deadBeats*beat:
		return Dead
	case row.Last.Leaving:
		return Leaving
	case silence > suspectBeats*beat:
		return Suspect
	}
	return Live
}

// Rows returns all members in order of name.
func (t Table) Rows() []Member {
	rows := lo.Values(t.rows)
	slices.SortFunc(rows, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return rows
}

// Live returns the members that count as serving, in order of name. A
// suspected entry still counts: dropping it early would raise the budgets of
// the others while it may be sending.
func (t Table) Live(now clock.Millis) []Member {
	return lo.Filter(t.Rows(), func(row Member, _ int) bool {
		state := t.State(row.Name, now)
		return state == Live || state == Suspect
	})
}

// Serving returns how many members may be sending requests: the live ones and
// those that leave but still answer for the balancer's notice time.
func (t Table) Serving(now clock.Millis) int {
	return lo.CountBy(t.Rows(), func(row Member) bool {
		state := t.State(row.Name, now)
		return state == Live || state == Suspect || state == Leaving
	})
}

// Newest returns the highest configuration version that a live member has
// told of, and that member.
func (t Table) Newest(now clock.Millis) (int64, Member) {
	var best Member
	for _, row := range t.Live(now) {
		if row.Last.ConfigVersion > best.Last.ConfigVersion {
			best = row
		}
	}
	return best.Last.ConfigVersion, best
}
