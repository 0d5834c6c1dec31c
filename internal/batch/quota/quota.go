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
	whole    amount.Amount
	accounts map[string]*account
}

// account is one team's.
type account struct {
	quota amount.Amount
	used  amount.Amount
	share float64
}

// New returns counts of zero. Whole is the capacity that a dimension without
// quota is measured against.
func New(teams []route.Team, whole amount.Amount) *Shares {
	shares := &Shares{accounts: map[string]*account{}}
	shares.SetTeams(teams, whole)
	return shares
}

// SetTeams replaces the quotas and the whole capacity; what is in use stays.
func (s *Shares) SetTeams(teams []route.Team, whole amount.Amount) {
	s.whole = whole
	for name, held := range s.accounts {
		held.quota = amount.Amount{}
		if held.used.IsZero() {
			delete(s.accounts, name)
		}
	}
	for _, team := range teams {
		s.account(team.Name).quota = team.Quota
	}
	for _, held := range s.accounts {
		held.refresh(whole)
	}
}

// Charge counts an amount as used by a team, known or not.
func (s *Shares) Charge(team string, a amount.Amount) {
	held := s.account(team)
	held.used = held.used.Add(a)
	held.refresh(s.whole)
}

// Refund takes back an amount that was charged.
func (s *Shares) Refund(team string, a amount.Amount) { s.Charge(team, amount.Amount{}.Sub(a)) }

// Used returns what a team uses now.
func (s *Shares) Used(team string) amount.Amount { return s.account(team).used }

// Share returns the largest dimension in use over its quota. A dimension
// without quota counts as past the guarantee once used: 1 plus its part of the
// whole. A team without any quota is past it from the start.
func (s *Shares) Share(team string) float64 { return s.account(team).share }

func (s *Shares) account(team string) *account {
	held, known := s.accounts[team]
	if !known {
		held = &account{}
		held.refresh(s.whole)
		s.accounts[team] = held
	}
	return held
}

func (a *account) refresh(whole amount.Amount) {
	if a.quota.IsZero() {
		a.share = 1 + a.used.DominantShare(whole)
		return
	}
	a.share = max(
		part(a.used.MilliCores, a.quota.MilliCores, whole.MilliCores),
		part(a.used.MemoryMB, a.quota.MemoryMB, whole.MemoryMB),
		part(a.used.Accelerators, a.quota.Accelerators, whole.Accelerators),
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
