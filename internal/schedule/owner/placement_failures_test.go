package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// A placement pass skips exactly the tasks that are at least as hard to place
// as one that found no worker.
func TestPlacementFailuresCoverOnlyHarderTasks(t *testing.T) {
	failedStep := job.Step{Count: 1, MilliCPU: 2000, MemoryMB: 100, Fills: true, Image: "f"}
	with := func(change func(*job.Step)) job.Step {
		step := failedStep
		change(&step)
		return step
	}
	cases := []struct {
		name  string
		pool  string
		step  job.Step
		later bool // the job has waited for a shorter time
		want  bool
	}{
		{name: "the same", pool: "p", step: failedStep, want: true},
		{name: "larger", pool: "p", step: with(func(s *job.Step) { s.MilliCPU++ }), want: true},
		{name: "shorter wait", pool: "p", step: failedStep, later: true, want: true},
		{name: "smaller", pool: "p", step: with(func(s *job.Step) { s.MemoryMB-- })},
		{name: "another image", pool: "p", step: with(func(s *job.Step) { s.Image = "g" })},
		{name: "counted processors", pool: "p", step: with(func(s *job.Step) { s.Fills = false })},
		{name: "another pool", pool: "q", step: failedStep},
	}
	failures := placementFailures{}
	failures.record("p", &jobState{lastPlacementChangeAt: 10}, &stepState{spec: &failedStep}, 0.5)
	for _, c := range cases {
		j := &jobState{lastPlacementChangeAt: 10}
		if c.later {
			j.lastPlacementChangeAt = 11
		}
		if diff := cmp.Diff(c.want, failures.covers(c.pool, j, &stepState{spec: &c.step}, 0.5)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
	if failures.covers("p", &jobState{lastPlacementChangeAt: 10}, &stepState{spec: &failedStep}, 0.6) {
		t.Error("a more urgent request counts as at least as hard to place")
	}
	if failures.covers("p", &jobState{lastPlacementChangeAt: 9}, &stepState{spec: &failedStep}, 0.5) {
		t.Error("a job with a longer wait, and so relaxed constraints, was skipped")
	}
	limited := with(func(s *job.Step) { s.PerWorker = 1; s.Image = "h" })
	failures.record("p", &jobState{}, &stepState{spec: &limited}, 0)
	plain := with(func(s *job.Step) { s.Image = "h" })
	if failures.covers("p", &jobState{}, &stepState{spec: &plain}, 0) {
		t.Error("a task was skipped because of the per-worker limit of another step")
	}
}
