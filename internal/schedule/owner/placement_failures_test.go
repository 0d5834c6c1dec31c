package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
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
	request := func(step job.Step, lastPlacementChangeAt clock.Millis, urgency float64) failedRequest {
		return failedRequest{resources: requestedRoom(&step), lastPlacementChangeAt: lastPlacementChangeAt, urgency: urgency}
	}
	failures := placementFailures{}
	covers := func(pool string, step job.Step, request failedRequest) bool {
		_, covered := failures.covering(pool, &stepState{spec: &step}, request)
		return covered
	}
	failures.record("p", &stepState{spec: &failedStep}, request(failedStep, 10, 0.5))
	for _, c := range cases {
		changedAt := clock.Millis(10)
		if c.later {
			changedAt = 11
		}
		if diff := cmp.Diff(c.want, covers(c.pool, c.step, request(c.step, changedAt, 0.5))); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
	if covers("p", failedStep, request(failedStep, 10, 0.6)) {
		t.Error("a more urgent request counts as at least as hard to place")
	}
	if covers("p", failedStep, request(failedStep, 9, 0.5)) {
		t.Error("a job with a longer wait, and so relaxed constraints, was skipped")
	}
	for name, change := range map[string]func(*failedRequest){
		"of a queue that is served first": func(r *failedRequest) { r.priority-- },
		"that may take reserved workers":  func(r *failedRequest) { r.mustPlace = true },
	} {
		changed := request(failedStep, 10, 0.5)
		change(&changed)
		if covers("p", failedStep, changed) {
			t.Errorf("a request %s counts as at least as hard to place", name)
		}
	}
	limited := with(func(s *job.Step) { s.PerWorker = 1; s.Image = "h" })
	failures.record("p", &stepState{spec: &limited}, request(limited, 0, 0))
	plain := with(func(s *job.Step) { s.Image = "h" })
	if covers("p", plain, request(plain, 0, 0)) {
		t.Error("a task was skipped because of the per-worker limit of another step")
	}
}
