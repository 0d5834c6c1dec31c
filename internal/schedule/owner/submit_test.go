package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

func stepJob(id string, steps ...job.Step) job.Spec {
	return job.Spec{ID: job.ID(id), Queue: "q", Steps: steps}
}

// submitAt plays a submission at a moment and returns its verdict.
func submitAt(w *world, s *seat, at clock.Millis, spec job.Spec) *Verdict {
	verdict := &Verdict{Reason: "no answer"}
	w.at(at, func() {
		w.specs[spec.ID] = spec
		w.input(s, func() { s.own.Submit(spec, func(given Verdict) { *verdict = given }) })
	})
	return verdict
}

func TestVerdicts(t *testing.T) {
	w := newWorld(t, 1, 3)
	s := w.seat()
	small := job.Step{Count: 1, MilliCPU: 1000, MemoryMB: 1000}
	good := submitAt(w, s, 500, stepJob("0000000000000001", small))
	again := submitAt(w, s, 900, stepJob("0000000000000001", small))
	tooLarge := submitAt(w, s, 500, stepJob("0000000000000002", job.Step{Count: 1, MilliCPU: 9000}))
	foreign := stepJob("0000000000000003", small)
	foreign.Queue = "no such queue"
	unknownQueue := submitAt(w, s, 500, foreign)
	w.run(2 * clock.Second)
	got := []Ruling{good.Ruling, again.Ruling, tooLarge.Ruling, unknownQueue.Ruling}
	if diff := cmp.Diff([]Ruling{Taken, Taken, Invalid, Refused}, got); diff != "" {
		t.Errorf("rulings (-want +got):\n%s", diff)
	}
	if _, kept := w.newest[keySpec+"0000000000000002"]; kept {
		t.Error("a job that was not taken is recorded")
	}
}

// While the store is away, what it has not been sent is refused at once, and
// that is true: nothing of it is recorded or started later.
func TestStoreAway(t *testing.T) {
	w := newWorld(t, 1, 3)
	s := w.seat()
	small := job.Step{Count: 1, MilliCPU: 1000, MemoryMB: 1000}
	w.at(1101, func() { w.storeDown = true })
	w.at(6000, func() { w.storeDown = false })
	sent := submitAt(w, s, 1200, stepJob("0000000000000001", small))
	waiting := submitAt(w, s, 1300, stepJob("0000000000000002", small))
	late := submitAt(w, s, 4000, stepJob("0000000000000003", small))
	var early []Ruling
	w.at(4500, func() { early = []Ruling{waiting.Ruling, late.Ruling} })
	w.run(20 * clock.Second)
	if diff := cmp.Diff([]Ruling{Refused, Refused}, early); diff != "" {
		t.Errorf("rulings while the store is away (-want +got):\n%s", diff)
	}
	if waiting.RetryAfter == 0 || late.RetryAfter == 0 {
		t.Error("a refusal does not say when to come back")
	}
	if diff := cmp.Diff(Taken, sent.Ruling); diff != "" {
		t.Errorf("the submission that was on its way (-want +got):\n%s", diff)
	}
	for _, id := range []string{"0000000000000002", "0000000000000003"} {
		if _, kept := w.newest[keySpec+id]; kept {
			t.Errorf("job %s was refused and is recorded", id)
		}
	}
}

// An owner that the store has not confirmed lately does not say that a job is
// missing.
func TestMissingNeedsAFreshOwner(t *testing.T) {
	w := newWorld(t, 1, 3)
	s := w.seat()
	var fresh, stale Ruling
	w.at(1000, func() { fresh = s.own.Lookup("0000000000000009").Verdict.Ruling })
	w.at(1100, func() { w.storeDown = true })
	w.at(4000, func() { stale = s.own.Lookup("0000000000000009").Verdict.Ruling })
	w.run(5 * clock.Second)
	if diff := cmp.Diff([]Ruling{Missing, Refused}, []Ruling{fresh, stale}); diff != "" {
		t.Errorf("rulings (-want +got):\n%s", diff)
	}
}

// A late start that reaches a worker's next incarnation finds its run closed.
func TestDoubtIsSettledInTheNextIncarnation(t *testing.T) {
	w := newWorld(t, 1, 1)
	s := w.seat()
	var m *machine
	for _, m = range w.workers {
	}
	w.at(500, func() {
		w.input(s, func() {
			s.own.workers[m.Entry.ID].doubts = []doubt{{task: job.Task{Job: "x"}, run: 1, born: m.Entry.Born, at: w.now}}
		})
	})
	w.at(600, func() { m.Boot(w.now) })
	var late fleet.Answer
	w.at(4000, func() {
		late = m.Start(fleet.Start{Task: job.Task{Job: "x"}, Run: 1, UntilMS: 1 << 40, Token: s.epoch}, w.now)
	})
	w.run(5 * clock.Second)
	if diff := cmp.Diff(fleet.Answer{Outcome: fleet.Old}, late, cmpopts.IgnoreFields(fleet.Answer{}, "ClockMS")); diff != "" {
		t.Errorf("late start (-want +got):\n%s", diff)
	}
}

// Urgent queues come first, jobs that are of no use any more come last.
func TestOrder(t *testing.T) {
	o := New(Options{Now: func() clock.Millis { return clock.Hour }})
	o.tables = manifest.New(1, []manifest.Queue{{Name: "urgent", Priority: 0}, {Name: "batch", Priority: 2}}, nil, manifest.Limits{})
	made := func(id, queue string, onTime, late clock.Millis, lasting bool) *jobState {
		j := newJob(job.Spec{ID: job.ID(id), Queue: queue, Steps: []job.Step{{Count: 1, Lasting: lasting}}})
		j.objects = objective{onTime: clock.Hour + onTime, late: clock.Hour + late}
		o.jobs[j.spec.ID] = j
		return j
	}
	made("batch-soon", "batch", 100, 1000, false)
	made("batch-later", "batch", 900, 1000, false)
	made("urgent", "urgent", 500, 1000, false)
	made("urgent-useless", "urgent", -900, -100, false)
	made("lasting", "batch", 900, 1000, true)
	var got []string
	for _, j := range o.queue() {
		got = append(got, string(j.job.spec.ID))
	}
	want := []string{"lasting", "urgent", "batch-soon", "batch-later", "urgent-useless"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}
