package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/traffic/retry"
)

// TestAllowedIsSafe compares with the twin that asks what may have run.
func TestAllowedIsSafe(t *testing.T) {
	for _, outcome := range []fault.Outcome{fault.NotSent, fault.NotRun, fault.Unknown, fault.Answered, "new"} {
		for _, repeatable := range []bool{true, false} {
			mayHaveRun := outcome != fault.NotSent && outcome != fault.NotRun
			want := outcome != fault.Answered && (repeatable || !mayHaveRun)
			if got := retry.Allowed(outcome, repeatable); got != want {
				t.Errorf("%s, repeatable %t: %t", outcome, repeatable, got)
			}
			if retry.Free(outcome) && mayHaveRun {
				t.Errorf("%s is free of the budget, but may have run", outcome)
			}
		}
	}
}

// TestBudgetBoundsExtraAttempts holds for every order of requests and failures.
func TestBudgetBoundsExtraAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		budget := retry.NewBudget(percent)
		start := budget.Saved()
		requests, spent := 0, 0
		for _, failed := range rapid.SliceOfN(rapid.Bool(), 0, 400).Draw(t, "failed") {
			budget.Earn()
			requests++
			if failed && budget.Spend() {
				spent++
			}
		}
		if spent*100 > requests*percent+start*100+99 {
			t.Fatalf("%d extra attempts for %d requests at %d%%", spent, requests, percent)
		}
	})
}
