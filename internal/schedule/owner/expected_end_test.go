package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/timeline"
)

// Expected durations must use what progress shows, but conclude nothing from a
// percentage beyond its resolution, nor from one that counts an earlier run.
func TestExpectedLength(t *testing.T) {
	for _, test := range []struct {
		name     string
		declared int64
		progress runProgress
		want     timeline.Ends
	}{
		{"not started", 1000, runProgress{}, timeline.Ends{Likely: 1000, Sure: 2000}},
		{"nothing declared", 0, runProgress{}, timeline.Ends{Likely: 1000, Sure: 10000}},
		{"no progress shown", 1000, runProgress{elapsed: 500, fromStart: true}, timeline.Ends{Likely: 1000, Sure: 2000}},
		{"as declared", 1000, runProgress{elapsed: 500, percent: 50, fromStart: true}, timeline.Ends{Likely: 1000, Sure: 1000}},
		{"slower than declared", 1000, runProgress{elapsed: 800, percent: 19, fromStart: true}, timeline.Ends{Likely: 4000, Sure: 4210}},
		{"faster than declared", 1000, runProgress{elapsed: 100, percent: 24, fromStart: true}, timeline.Ends{Likely: 416, Sure: 416}},
		{"first percent of a long run", 60000, runProgress{elapsed: 500, percent: 1, fromStart: true}, timeline.Ends{Likely: 50000, Sure: 50000}},
		{"resumed at half", 1000, runProgress{elapsed: 10, percent: 50}, timeline.Ends{Likely: 510, Sure: 1010}},
		{"overdue without progress", 1000, runProgress{elapsed: 3000, fromStart: true}, timeline.Ends{Likely: 4500, Sure: 6000}},
	} {
		got := expectedLength(declaredLengths(&job.Step{EstimateMS: test.declared}), test.progress)
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}
