// Package retry decides whether a failed attempt may be retried: by whether its
// work may have run, and by a budget of extra attempts.
//
// # Usage
//
//	budget.Deposit() // once per request
//	outcome := fault.OutcomeOf(err)
//	if retry.Allowed(outcome, repeatable) && (retry.ExemptFromBudget(outcome) || budget.TryWithdraw()) { ... }
package retry

import "github.com/oriolepier/oriolepier/internal/base/fault"

// Allowed reports whether an attempt with this outcome may be retried without
// the risk of running non-repeatable work twice.
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

// ExemptFromBudget reports whether a retry is not charged to the budget. A request that a
// backend server's guard refused took no slot, and the rate of requests to a
// server at capacity is bounded by package limit.
func ExemptFromBudget(outcome fault.Outcome) bool { return outcome == fault.NotRun }

const (
	attemptCost    = 100 // tokens
	bucketCapacity = 20  // attempts; bounds the burst of retries after a time without failures
)

// Budget is a token bucket of extra attempts. Each request adds a fixed
// percentage of one attempt. It is not safe for concurrent use.
type Budget struct {
	percent int // tokens added per request
	tokens  int // in hundredths of an attempt
}

// NewBudget returns a budget of percent extra attempts per 100 requests. It
// starts with the tokens that bucketCapacity requests add.
func NewBudget(percent int) *Budget {
	return &Budget{percent: percent, tokens: bucketCapacity * min(percent, attemptCost)}
}

// SetPercent changes the extra attempts per 100 requests; 0 empties the bucket.
func (budget *Budget) SetPercent(percent int) {
	budget.percent = percent
	if percent == 0 {
		budget.tokens = 0
	}
}

// Deposit adds the tokens of one request.
func (budget *Budget) Deposit() {
	budget.tokens = min(budget.tokens+budget.percent, bucketCapacity*attemptCost)
}

// TryWithdraw takes the tokens of one attempt and reports whether there were enough.
func (budget *Budget) TryWithdraw() bool {
	if budget.tokens < attemptCost {
		return false
	}
	budget.tokens -= attemptCost
	return true
}

// Available returns the number of attempts that TryWithdraw would grant now.
func (budget *Budget) Available() int { return budget.tokens / attemptCost }
