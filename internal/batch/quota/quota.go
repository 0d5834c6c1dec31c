// Package quota orders teams by how much of their guaranteed share they use.
//
// A team's share is the largest of its dimensions in use over its quota
// (dominant-resource fairness weighted by quota). Below 1 the team is within
// its guarantee; above 1 it uses idle capacity, which is allowed: a share only
// orders teams, it refuses nobody.
//
// [Shares] is a mutable engine of the control thread and not safe for
// concurrent use.
//
// # Usage
//
//	shares := quota.New(tables.Teams, whole)
//	shares.Charge("forecast", task.Size)
//	if shares.Share("forecast") < shares.Share("ration") { ... }
//	shares.Refund("forecast", task.Size)
package quota

import (
	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Shares counts what each team uses against its quota.
type Shares struct {
	whole  amount.Amount
	quotas map[string]amount.Amount
	used   map[string]amount.Amount
}

// New returns counts of zero. Whole is the capacity that a dimension without
// quota is measured against.
func New(teams []route.Team, whole amount.Amount) *Shares {
	shares := &Shares{used: map[string]amount.Amount{}}
	shares.SetTeams(teams, whole)
	return shares
}

// SetTeams replaces the quotas and the whole capacity; what is in use stays.
func (s *Shares) SetTeams(teams []route.Team, whole amount.Amount) {
	s.whole = whole
	s.quotas = make(map[string]amount.Amount, len(teams))
	for _, team := range teams {
		s.quotas[team.Name] = team.Quota
	}
}

// Charge counts an amount as used by a team, known or not.
func (s *Shares) Charge(team string, a amount.Amount) {
	s.used[team] = s.used[team].Add(a)
}

// Refund takes back an amount that was charged.
func (s *Shares) Refund(team string, a amount.Amount) {
	left := s.used[team].Sub(a)
	if left.IsZero() {
		delete(s.used, team)
		return
	}
	s.used[team] = left
}

// Used returns what a team uses now.
func (s *Shares) Used(team string) amount.Amount { return s.used[team] }

// Share returns the largest dimension in use over its quota. A dimension
// without quota counts as past the guarantee once used: 1 plus its part of the
// whole. A team without any quota is past it from the start.
func (s *Shares) Share(team string) float64 {
	used := s.used[team]
	quota := s.quotas[team]
	if quota.IsZero() {
		return 1 + used.DominantShare(s.whole)
	}
	return max(
		part(used.MilliCores, quota.MilliCores, s.whole.MilliCores),
		part(used.MemoryMB, quota.MemoryMB, s.whole.MemoryMB),
		part(used.Accelerators, quota.Accelerators, s.whole.Accelerators),
	)
}

func part(used, quota, whole int64) float64 {
	if used <= 0 {
		return 0
	}
	if quota > 0 {
		return float64(used) / float64(quota)
	}
	return 1 + float64(used)/float64(max(whole, 1))
}
