package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
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

// A new owner loads the jobs before it has the tables. Their deadlines must be those
// of their queue all the same, or accepted jobs count as expired after a takeover.
func TestDeadlinesAreKeptAtTakeover(t *testing.T) {
	queues := []manifest.Queue{{Name: "q", Pools: []string{"pool"}, MaxFailures: 4, ObjectiveFactor: 3, ObjectiveAllowance: 2000}}
	tables := manifest.New(2, queues, []manifest.Pool{{Name: "pool"}}, manifest.Limits{})
	m := newManualOwner(t, 1, clock.Hour)
	m.owner.SetManifest(tables)
	m.startRun()
	m.acknowledge()
	next := newManualOwner(t, 2, m.now)
	next.owner.tables = manifest.Manifest{}
	next.load(m)
	next.owner.SetManifest(tables)
	if diff := cmp.Diff(m.owner.jobs[bestEffortJob].deadlines, next.owner.jobs[bestEffortJob].deadlines, cmp.AllowUnexported(objective{})); diff != "" {
		t.Errorf("deadlines (-first owner +next):\n%s", diff)
	}
}
