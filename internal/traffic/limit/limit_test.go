package limit_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/limit"
)

// TestBudgetsStayWithinTheConnections runs a changing membership in which each
// entry sees every other with a lag of its own, within the hold. Seeds are
// replaced one for one or all at once, and as many start at once as settings
// name. A start of more than that can exceed the sum: 1 of 2 seeds and 3 new
// ones hold 72.
func TestBudgetsStayWithinTheConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const connections = 64
		seeds := rapid.IntRange(1, 9).Draw(t, "seeds")
		type entry struct {
			budget      limit.Budget
			born, local int
		}
		var entries []*entry
		lag := rapid.IntRange(1, 9).Draw(t, "lag_seconds")
		for i := range seeds { // an old population
			entries = append(entries, &entry{budget: limit.NewBudget(0), born: -100, local: i % 3})
		}
		for second := 0; second < 90; second++ {
			now := clock.Hour + clock.Millis(second)*clock.Second
			if len(entries) < 2*seeds && rapid.IntRange(0, 3).Draw(t, "join") == 0 && second%12 == 0 {
				for range rapid.IntRange(1, min(seeds, 2*seeds-len(entries))).Draw(t, "joining") {
					entries = append(entries, &entry{budget: limit.NewBudget(now), born: second, local: len(entries) % 3})
				}
			}
			if len(entries) > 1 && rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
				entries = entries[1:]
			}
			sum := 0
			for _, self := range entries {
				seen := 0
				for _, other := range entries {
					if self == other || second-other.born >= lag {
						seen++
					}
				}
				self.budget = self.budget.With(now, seen, seeds)
				if self.local == 0 {
					sum += self.budget.Local(connections)
				} else {
					sum += self.budget.Remote(connections)
				}
			}
			if sum > connections {
				t.Fatalf("second %d: %d entries hold %d connections", second, len(entries), sum)
			}
		}
	})
}

// TestBudgetsOfBlindEntries has no entry see any other while all reach the
// backend server: only its own failure domain's entries grow.
func TestBudgetsOfBlindEntries(t *testing.T) {
	sum := 0
	for i := range 9 {
		budget := limit.NewBudget(0)
		for second := range clock.Millis(60) {
			budget = budget.With(clock.Hour+second*clock.Second, 1, 9)
		}
		if i%3 == 0 {
			sum += min(budget.Local(64), 8) // slots bound it too
		} else {
			sum += budget.Remote(64)
		}
	}
	if sum > 64 {
		t.Errorf("blind entries hold %d connections", sum)
	}
}

// TestLimitsShareTheSlots has entries with unlike starts come to like limits.
func TestLimitsShareTheSlots(t *testing.T) {
	places := []limit.Concurrency{limit.NewConcurrency(1, 8), limit.NewConcurrency(8, 8), limit.NewConcurrency(3, 8)}
	totals := make([]float64, len(places))
	for round := range 20000 {
		sum := 0.0
		for i := range places {
			sum += places[i].Limit
		}
		for i := range places {
			now := clock.Hour + clock.Millis(round*20)
			if sum > 8 && round%len(places) == i {
				places[i] = places[i].Refused(now, 20)
			} else {
				places[i] = places[i].Answered(int(places[i].Limit), now, 20, 1)
			}
			totals[i] += places[i].Limit / 20000
		}
	}
	for i, mean := range totals {
		if mean < 1.8 || mean > 3.5 {
			t.Errorf("entry %d holds %.2f of 8 slots on average", i, mean)
		}
	}
}
