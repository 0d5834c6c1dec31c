package limit_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/limit"
)

// TestBudgetSumStaysWithinConnections simulates a changing membership in which
// each entry learns of every other with a lag below growthDelay. Configured entries
// are replaced one for one or all at once, and at most as many entries start at once
// as the settings name. More starts than that can exceed the sum: 1 of 2 seeds
// and 3 new entries use 72 of 64 connections.
func TestBudgetSumStaysWithinConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const connections = 64
		seeds := rapid.IntRange(1, 9).Draw(t, "seeds")
		type entry struct {
			budget           limit.Budget
			startedAt, local int
		}
		var entries []*entry
		lag := rapid.IntRange(1, 9).Draw(t, "lag_seconds")
		for i := range seeds { // entries past growthDelay
			entries = append(entries, &entry{budget: limit.NewBudget(0), startedAt: -100, local: i % 3})
		}
		for second := 0; second < 90; second++ {
			now := clock.Hour + clock.Millis(second)*clock.Second
			if len(entries) < 2*seeds && rapid.IntRange(0, 3).Draw(t, "join") == 0 && second%12 == 0 {
				for range rapid.IntRange(1, min(seeds, 2*seeds-len(entries))).Draw(t, "joining") {
					entries = append(entries, &entry{budget: limit.NewBudget(now), startedAt: second, local: len(entries) % 3})
				}
			}
			if len(entries) > 1 && rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
				entries = entries[1:]
			}
			sum := 0
			for _, self := range entries {
				seen := 0
				for _, other := range entries {
					if self == other || second-other.startedAt >= lag {
						seen++
					}
				}
				self.budget = self.budget.Updated(now, seen, seeds)
				if self.local == 0 {
					sum += self.budget.Local(connections)
				} else {
					sum += self.budget.Remote(connections)
				}
			}
			if sum > connections {
				t.Fatalf("second %d: %d entries have budgets of %d connections in sum, want at most 64", second, len(entries), sum)
			}
		}
	})
}

// TestBudgetSumOfPartitionedEntries has entries that see no other entry while
// all reach the backend server: only the shares of entries of its own failure
// domain grow.
func TestBudgetSumOfPartitionedEntries(t *testing.T) {
	sum := 0
	for i := range 9 {
		budget := limit.NewBudget(0)
		for second := range clock.Millis(60) {
			budget = budget.Updated(clock.Hour+second*clock.Second, 1, 9)
		}
		if i%3 == 0 {
			sum += min(budget.Local(64), 8) // the slots bound connections of the own failure domain
		} else {
			sum += budget.Remote(64)
		}
	}
	if sum > 64 {
		t.Errorf("partitioned entries have budgets of %d connections in sum, want at most 64", sum)
	}
}

// TestConcurrencyLimitsConverge has three entries with unequal starting limits
// share the slots of one server: their mean limits come to be similar.
func TestConcurrencyLimitsConverge(t *testing.T) {
	limits := []limit.Concurrency{limit.NewConcurrency(1, 8), limit.NewConcurrency(8, 8), limit.NewConcurrency(3, 8)}
	totals := make([]float64, len(limits))
	for round := range 20000 {
		sum := 0.0
		for i := range limits {
			sum += limits[i].Limit
		}
		for i := range limits {
			now := clock.Hour + clock.Millis(round*20)
			if sum > 8 && round%len(limits) == i {
				limits[i] = limits[i].Refused(now, 20)
			} else {
				limits[i] = limits[i].Answered(int(limits[i].Limit), now, 20, 1)
			}
			totals[i] += limits[i].Limit / 20000
		}
	}
	for i, mean := range totals {
		if mean < 1.8 || mean > 3.5 {
			t.Errorf("entry %d has a mean limit of %.2f at 8 slots, want 1.8 to 3.5", i, mean)
		}
	}
}
