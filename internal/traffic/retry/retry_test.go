package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/traffic/retry"
)

// TestAllowedExcludesWorkThatMayHaveRun covers all outcomes and an undefined
// one: an attempt is retried only if its work did not run or is repeatable.
func TestAllowedExcludesWorkThatMayHaveRun(t *testing.T) {
	for _, outcome := range []fault.Outcome{fault.NotSent, fault.NotRun, fault.Unknown, fault.Answered, "new"} {
		for _, repeatable := range []bool{true, false} {
			mayHaveRun := outcome != fault.NotSent && outcome != fault.NotRun
			want := outcome != fault.Answered && (repeatable || !mayHaveRun)
			if got := retry.Allowed(outcome, repeatable); got != want {
				t.Errorf("Allowed of outcome %s, repeatable %t: got %t", outcome, repeatable, got)
			}
			if retry.ExemptFromBudget(outcome) && mayHaveRun {
				t.Errorf("a retry after outcome %s is free, but the work may have run", outcome)
			}
		}
	}
}

// TestBudgetBoundsExtraAttempts covers random sequences of successful and failed
// requests.
func TestBudgetBoundsExtraAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		budget := retry.NewBudget(percent)
		start := budget.Available()
		requests, spent := 0, 0
		for _, failed := range rapid.SliceOfN(rapid.Bool(), 0, 400).Draw(t, "failed") {
			budget.Deposit()
			requests++
			if failed && budget.TryWithdraw() {
				spent++
			}
		}
		if spent*100 > requests*percent+start*100+99 {
			t.Fatalf("budget allowed %d extra attempts for %d requests at %d%%", spent, requests, percent)
		}
	})
}
