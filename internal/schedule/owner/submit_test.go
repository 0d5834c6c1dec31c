package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

func jobSpec(id string, steps ...job.Step) job.Spec {
	return job.Spec{ID: job.ID(id), Queue: "q", Steps: steps}
}

// submitAt submits a job after a delay and returns its verdict, which is filled
// in once it is given.
func submitAt(sim *simulation, s *simOwner, at clock.Millis, spec job.Spec) *Verdict {
	verdict := &Verdict{Reason: "no answer"}
	sim.at(at, func() {
		sim.specs[spec.ID] = spec
		sim.deliver(s, func() { s.owner.Submit(spec, func(given Verdict) { *verdict = given }) })
	})
	return verdict
}

func TestSubmitVerdicts(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	s := sim.simOwner()
	small := job.Step{Count: 1, MilliCPU: 1000, MemoryMB: 1000}
	valid := submitAt(sim, s, 500, jobSpec("0000000000000001", small))
	repeated := submitAt(sim, s, 900, jobSpec("0000000000000001", small))
	tooLarge := submitAt(sim, s, 500, jobSpec("0000000000000002", job.Step{Count: 1, MilliCPU: 9000}))
	foreign := jobSpec("0000000000000003", small)
	foreign.Queue = "no such queue"
	unknownQueue := submitAt(sim, s, 500, foreign)
	sim.run(2 * clock.Second)
	got := []Ruling{valid.Ruling, repeated.Ruling, tooLarge.Ruling, unknownQueue.Ruling}
	if diff := cmp.Diff([]Ruling{Recorded, Recorded, Invalid, Refused}, got); diff != "" {
		t.Errorf("rulings (-want +got):\n%s", diff)
	}
	if _, recorded := sim.stored[keySpec+"0000000000000002"]; recorded {
		t.Error("an invalid job is recorded")
	}
}

// TestSubmitWhileStoreIsDown checks that submissions which no append has
// carried are refused while the store does not answer, and are never recorded.
// The one in the append under way is accepted once the store is back.
func TestSubmitWhileStoreIsDown(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	s := sim.simOwner()
	small := job.Step{Count: 1, MilliCPU: 1000, MemoryMB: 1000}
	sim.at(1101, func() { sim.storeDown = true })
	sim.at(6000, func() { sim.storeDown = false })
	sent := submitAt(sim, s, 1200, jobSpec("0000000000000001", small))
	waiting := submitAt(sim, s, 1300, jobSpec("0000000000000002", small))
	late := submitAt(sim, s, 4000, jobSpec("0000000000000003", small))
	var whileDown []Ruling
	sim.at(4500, func() { whileDown = []Ruling{waiting.Ruling, late.Ruling} })
	sim.run(20 * clock.Second)
	if diff := cmp.Diff([]Ruling{Refused, Refused}, whileDown); diff != "" {
		t.Errorf("rulings while the store is down (-want +got):\n%s", diff)
	}
	if waiting.RetryAfter == 0 || late.RetryAfter == 0 {
		t.Error("a refusal has no RetryAfter")
	}
	if diff := cmp.Diff(Recorded, sent.Ruling); diff != "" {
		t.Errorf("ruling on the submission in flight (-want +got):\n%s", diff)
	}
	for _, id := range []string{"0000000000000002", "0000000000000003"} {
		if _, recorded := sim.stored[keySpec+id]; recorded {
			t.Errorf("refused job %s is recorded", id)
		}
	}
}

// TestLookupOfUnknownJobNeedsConfirmedOwnership checks that an owner which the
// store has not confirmed recently does not report a job as not found.
func TestLookupOfUnknownJobNeedsConfirmedOwnership(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	s := sim.simOwner()
	var confirmed, unconfirmed Ruling
	sim.at(1000, func() { confirmed = s.owner.Lookup(JobRef{ID: "0000000000000009"}).Verdict.Ruling })
	sim.at(1100, func() { sim.storeDown = true })
	sim.at(4000, func() { unconfirmed = s.owner.Lookup(JobRef{ID: "0000000000000009"}).Verdict.Ruling })
	sim.run(5 * clock.Second)
	if diff := cmp.Diff([]Ruling{NotFound, Refused}, []Ruling{confirmed, unconfirmed}); diff != "" {
		t.Errorf("rulings (-want +got):\n%s", diff)
	}
}

// TestUncertainStartIsStoppedInNextIncarnation checks that an unanswered start
// order which reaches the worker's next incarnation is rejected there, because
// the owner has stopped its run.
func TestUncertainStartIsStoppedInNextIncarnation(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	s := sim.simOwner()
	var m *simWorker
	for _, m = range sim.workers {
	}
	sim.at(500, func() {
		sim.deliver(s, func() {
			s.owner.workers[m.Entry.ID].uncertainStarts = []uncertainStart{{task: job.Task{Job: "x"}, run: 1, incarnation: m.Entry.Incarnation, at: sim.now}}
		})
	})
	sim.at(600, func() { m.Restart(sim.now) })
	var late, again fleet.Answer
	sim.at(4000, func() {
		start := fleet.Start{Task: job.Task{Job: "x"}, Run: 1, UntilMS: 1 << 40, Token: fleet.NewToken(s.epoch, 0)}
		late = m.Start(start, sim.now)
		start.Token = s.owner.workers[m.Entry.ID].token
		again = m.Start(start, sim.now)
	})
	sim.run(5 * clock.Second)
	want := []fleet.Outcome{fleet.Fenced, fleet.RunSuperseded}
	if diff := cmp.Diff(want, []fleet.Outcome{late.Outcome, again.Outcome}); diff != "" {
		t.Errorf("late start, and the same with the present token (-want +got):\n%s", diff)
	}
}

// TestQueueOrder checks that long-running jobs come first, then urgent queues
// and early objectives, and expired jobs last.
func TestQueueOrder(t *testing.T) {
	o := New(Options{Now: func() clock.Millis { return clock.Hour }})
	o.tables = manifest.New(1, []manifest.Queue{{Name: "urgent", Priority: 0}, {Name: "batch", Priority: 2}}, nil, manifest.Limits{})
	addJob := func(id, queue string, dueAt, expiresAt clock.Millis, longRunning bool) *jobState {
		j := newJob(job.Spec{ID: job.ID(id), Queue: queue, Steps: []job.Step{{Count: 1, Lasting: longRunning}}})
		j.deadlines = objective{dueAt: clock.Hour + dueAt, expiresAt: clock.Hour + expiresAt}
		o.jobs[j.spec.ID] = j
		return j
	}
	addJob("batch-soon", "batch", 100, 1000, false)
	addJob("batch-later", "batch", 900, 1000, false)
	addJob("urgent", "urgent", 500, 1000, false)
	addJob("urgent-useless", "urgent", -900, -100, false)
	addJob("long-running", "batch", 900, 1000, true)
	var got []string
	for _, j := range o.queue() {
		got = append(got, string(j.job.spec.ID))
	}
	want := []string{"long-running", "urgent", "batch-soon", "batch-later", "urgent-useless"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}
