// Package retry decides whether a failed attempt may be followed by another
// one, by what is known of the work behind it and by a budget.
//
// # Usage
//
//	budget.Earn() // at each request
//	outcome := fault.OutcomeOf(err)
//	if retry.Allowed(outcome, repeatable) && (retry.Free(outcome) || budget.Spend()) { ... }
package retry

import "github.com/oriolepier/oriolepier/internal/base/fault"

// Allowed reports whether an attempt with this outcome may be repeated without
// running work twice that must run at most once.
func Allowed(outcome fault.Outcome, repeatable bool) bool {
	switch outcome {
	case fault.NotSent, fault.NotRun:
		return true
	case fault.Answered:
		return false
	default:
		return repeatable
	}
}

// Free reports whether a further attempt costs nothing of the budget. A
// guard's refusal took no slot, and how often a full server is asked again is
// bounded by the limits of package limit.
func Free(outcome fault.Outcome) bool { return outcome == fault.NotRun }

const (
	fullPercent = 100 // of one request
	maxSaved    = 20  // attempts that a quiet time saves up; a burst after it stays small
)

// Budget is a token bucket that each request fills by a fixed percentage of an
// attempt. It is not safe for concurrent use.
type Budget struct {
	percent int
	saved   int // hundredths of an attempt
}

// NewBudget returns a budget of extra attempts per 100 requests, with a full
// bucket.
func NewBudget(percent int) *Budget {
	return &Budget{percent: percent, saved: maxSaved * min(percent, fullPercent)}
}

// SetPercent changes the rate at which the budget fills.
func (budget *Budget) SetPercent(percent int) {
	budget.percent = percent
	if percent == 0 {
		budget.saved = 0
	}
}

// Earn adds the share of one request.
func (budget *Budget) Earn() {
	budget.saved = min(budget.saved+budget.percent, maxSaved*fullPercent)
}

// Spend takes one attempt if the budget holds it.
func (budget *Budget) Spend() bool {
	if budget.saved < fullPercent {
		return false
	}
	budget.saved -= fullPercent
	return true
}

// Saved returns the whole attempts that the budget holds.
func (budget *Budget) Saved() int { return budget.saved / fullPercent }
