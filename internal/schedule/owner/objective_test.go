package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// A job of two steps of 2 s each is the more urgent, the closer its objective is
// to the time that its remaining steps take; a late one is not.
func TestUrgency(t *testing.T) {
	const now = clock.Hour
	for name, row := range map[string]struct {
		dueIn     clock.Millis
		firstDone bool
		want      float64
	}{
		"ample slack":            {dueIn: 4*clock.Second + ampleSlack, want: 0},
		"half of the slack":      {dueIn: 4*clock.Second + ampleSlack/2, want: 0.5},
		"no slack":               {dueIn: 4 * clock.Second, want: 1},
		"too little time":        {dueIn: clock.Second, want: 1},
		"the first step is done": {dueIn: 2*clock.Second + ampleSlack, firstDone: true, want: 0},
		"late":                   {dueIn: -1, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			j := newJob(job.Spec{Steps: []job.Step{{Count: 1, EstimateMS: 2000}, {Count: 1, EstimateMS: 2000, After: []int{0}}}})
			j.deadlines.dueAt = now + row.dueIn
			if row.firstDone {
				j.steps[0].unfinished = 0
			}
			if diff := cmp.Diff(row.want, (&Owner{now: now}).urgency(j)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
