package mix_test

import (
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/mix"
)

// What counts as large must follow the recent requests: nothing before any is
// known, sizes well above the median after that, and none once all are large.
func TestLargeFollowsRecentRequests(t *testing.T) {
	m := mix.New()
	now := clock.Hour
	if m.IsLarge(40000) {
		t.Error("a size is large before any request is known")
	}
	for range 9 {
		m.Add(now, 2000, 1)
	}
	m.Add(now, 16000, 1)
	for size, want := range map[int64]bool{1000: false, 3000: false, 4000: true, 16000: true} {
		if got := m.IsLarge(size); got != want {
			t.Errorf("size %d among small ones: large is %v, want %v", size, got, want)
		}
	}
	m.Add(now, 32000, 1)
	for amount, want := range map[int64]float64{3000: 0, 16000: 0.5, 20000: 0.5, 64000: 1} {
		if got := m.Fitting(amount); got != want {
			t.Errorf("%v of the large sizes fit in %d, want %v", got, amount, want)
		}
	}
	now += 5 * clock.Minute
	m.Add(now, 16000, 1)
	if m.IsLarge(16000) {
		t.Error("the only recent size is large")
	}
}
