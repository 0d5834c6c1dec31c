package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// A pass skips tasks that are at least as hard to place as one that found no
// worker, and no others.
func TestMissesCoverHarderTasksOnly(t *testing.T) {
	tried := job.Step{Count: 1, MilliCPU: 2000, MemoryMB: 100, Fills: true, Image: "f"}
	with := func(change func(*job.Step)) job.Step {
		step := tried
		change(&step)
		return step
	}
	cases := []struct {
		name  string
		pool  string
		step  job.Step
		later bool // the job has waited for less long
		want  bool
	}{
		{name: "the same", pool: "p", step: tried, want: true},
		{name: "larger", pool: "p", step: with(func(s *job.Step) { s.MilliCPU++ }), want: true},
		{name: "less patient", pool: "p", step: tried, later: true, want: true},
		{name: "smaller", pool: "p", step: with(func(s *job.Step) { s.MemoryMB-- })},
		{name: "another image", pool: "p", step: with(func(s *job.Step) { s.Image = "g" })},
		{name: "counted processors", pool: "p", step: with(func(s *job.Step) { s.Fills = false })},
		{name: "another pool", pool: "q", step: tried},
	}
	found := misses{}
	found.note("p", &jobState{movedAt: 10}, &stepState{spec: &tried})
	for _, c := range cases {
		j := &jobState{movedAt: 10}
		if c.later {
			j.movedAt = 11
		}
		if diff := cmp.Diff(c.want, found.cover(c.pool, j, &stepState{spec: &c.step})); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
	if found.cover("p", &jobState{movedAt: 9}, &stepState{spec: &tried}) {
		t.Error("a job that has waited longer, and is allowed more, was skipped")
	}
	limited := with(func(s *job.Step) { s.PerWorker = 1; s.Image = "h" })
	found.note("p", &jobState{}, &stepState{spec: &limited})
	plain := with(func(s *job.Step) { s.Image = "h" })
	if found.cover("p", &jobState{}, &stepState{spec: &plain}) {
		t.Error("a task was skipped for the limits of another step")
	}
}
