package owner

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// lastJob is the least urgent job of a test.
const lastJob = "ffffffffffffffff"

// submitNumbered submits a number of jobs of one step each.
func (b *ownerHarness) submitNumbered(count int, step func(number int) job.Step) {
	for number := range count {
		b.owner.Submit(jobSpec(fmt.Sprintf("%016x", 0x1000+number), step(number)), func(Verdict) {})
	}
}

// A pass ended after 200 steps without a worker, and began with the same steps each time:
// jobs behind them never started, on idle workers.
func TestJobBehindManyBlockedStepsStarts(t *testing.T) {
	cases := map[string]job.Step{
		"limit per worker": {Count: 2, MilliCPU: 10, PerWorker: 1, Lasting: true},
		"label":            {Count: 1, MilliCPU: 10, Label: "on no worker", EstimateMS: 60000},
	}
	for name, blocked := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(testEntry("w"))
			b.reportAndDeliver()
			b.submitNumbered(210, func(int) job.Step { return blocked })
			b.advance(2 * clock.Second)
			b.owner.Submit(jobSpec(lastJob, job.Step{Count: 1, MilliCPU: 1000, EstimateMS: 60000}), func(Verdict) {})
			b.advance(2 * clock.Second)
			if b.runs["w"][job.Task{Job: lastJob}] == 0 {
				t.Error("the job behind them has not started")
			}
		})
	}
}

// unlikeBestEffort is a best-effort step that no worker has memory for. Each has another
// image, so none is skipped because of another one.
func unlikeBestEffort(number int) job.Step {
	return job.Step{Count: 1, MilliCPU: 10, MemoryMB: 600, Fills: true, Image: fmt.Sprint("image-", number)}
}

// filledHarness returns an owner whose workers have 400 MB left each.
func filledHarness(workers int) *ownerHarness {
	var entries []fleet.Entry
	for i := range workers {
		entries = append(entries, testEntry(fmt.Sprintf("w%03d", i)))
	}
	b := newHarness(entries...)
	b.reportAndDeliver()
	b.owner.Submit(jobSpec(servingJob, job.Step{Count: workers, MilliCPU: 10, MemoryMB: 600, PerWorker: 1, Lasting: true}), func(Verdict) {})
	b.advance(clock.Second)
	return b
}

// The bound on a pass must hold for steps of which none is like another, and each of them
// must be considered in time.
func TestPassIsBoundedAndReachesEachJob(t *testing.T) {
	const jobs = 500
	b := filledHarness(120)
	b.submitNumbered(jobs, unlikeBestEffort)
	b.reportAll()
	begun := b.owner.sweep
	for pass := 0; b.owner.sweep == begun; pass++ {
		if limit := jobs / 25; pass > limit {
			t.Fatalf("not all jobs were considered in %d passes", limit)
		}
		b.owner.runPlacementPass()
		if limit := (frontRatings + sweepRatings + 2) * 120; b.owner.passCost > limit {
			t.Errorf("a pass has cost %d, want at most %d", b.owner.passCost, limit)
		}
	}
	for id, j := range b.owner.jobs {
		if j.startable() && j.sweep < begun {
			t.Errorf("job %s was not considered", id)
		}
	}
}

// A pass that does not reach all jobs is followed by another one, without any input.
func TestCutPassIsResumed(t *testing.T) {
	b := filledHarness(2)
	b.submitNumbered(1200, unlikeBestEffort)
	b.deliverPending()
	b.owner.Tick()
	before := b.owner.passes
	b.now += resumeInterval
	b.owner.Tick()
	if diff := cmp.Diff(before+1, b.owner.passes); diff != "" {
		t.Errorf("passes (-want +got):\n%s", diff)
	}
}

// Steps that are skipped must not lose their turn: room that becomes free goes to the most
// urgent of those that wait for it, however many there are.
func TestSkippedStepsKeepTheirSequence(t *testing.T) {
	b := newHarness(testEntry("w"))
	b.reportAndDeliver()
	whole := job.Step{Count: 1, MilliCPU: 20000, PerWorker: 1}
	b.owner.Submit(jobSpec(lastJob, whole), func(Verdict) {})
	b.deliverPending()
	b.submitNumbered(600, func(int) job.Step { return whole })
	b.deliverPending()
	for number := range 3 {
		for task, run := range b.runs["w"] {
			delete(b.runs["w"], task)
			b.reportEnd("w", task, run)
		}
		b.owner.Flush()
		b.deliverPending()
		want := map[job.Task]int{{Job: job.ID(fmt.Sprintf("%016x", 0x1000+number))}: 1}
		if diff := cmp.Diff(want, b.runs["w"]); diff != "" {
			t.Errorf("runs after end %d (-want +got):\n%s", number+1, diff)
		}
	}
}

// A step that is skipped must be tried as soon as a worker changes in its favor.
func TestBlockedStepIsTriedAfterChange(t *testing.T) {
	limited := job.Step{Count: 3, MilliCPU: 1000, PerWorker: 1}
	labelled := testEntry("v")
	labelled.Labels = []string{"l"}
	cases := []struct {
		name   string
		step   job.Step
		change func(b *ownerHarness)
	}{
		{name: "a run ends", step: limited, change: func(b *ownerHarness) {
			task := job.Task{Job: lastJob, Index: 0}
			run := b.runs["v"][task]
			delete(b.runs["v"], task)
			b.reportEnd("v", task, run)
		}},
		{name: "a run ends after another one took as much room", step: limited, change: func(b *ownerHarness) {
			b.owner.Submit(jobSpec(servingJob, job.Step{Count: 1, MilliCPU: 1000}), func(Verdict) {})
			b.owner.runPlacementPass()
			w := b.owner.jobs[servingJob].steps[0].tasks[0].run.worker.id
			for task, run := range b.runs[w] {
				delete(b.runs[w], task)
				b.reportEnd(w, task, run)
			}
		}},
		{name: "a worker joins", step: limited, change: func(b *ownerHarness) {
			b.runs["x"] = map[job.Task]int{}
			b.owner.SetWorkers([]fleet.Entry{testEntry("v"), testEntry("w"), testEntry("x")})
			b.reportAll()
		}},
		{name: "a label", step: job.Step{Count: 1, MilliCPU: 1000, Label: "l"}, change: func(b *ownerHarness) {
			b.owner.SetWorkers([]fleet.Entry{labelled, testEntry("w")})
		}},
		{name: "a worker is larger", step: job.Step{Count: 3, MilliCPU: 15000, PerWorker: 2}, change: func(b *ownerHarness) {
			larger := testEntry("w")
			larger.Room.MilliCPU = 40000
			b.owner.SetWorkers([]fleet.Entry{testEntry("v"), larger})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(testEntry("v"), testEntry("w"))
			b.reportAndDeliver()
			b.owner.Submit(jobSpec(lastJob, c.step), func(Verdict) {})
			b.deliverPending()
			b.owner.runPlacementPass()
			step := &b.owner.jobs[lastJob].steps[0]
			waiting := step.waiting
			if search := step.blocked[0]; search.pass != b.owner.passes || search.since == b.now {
				t.Fatalf("the step was not skipped: %+v in pass %d", search, b.owner.passes)
			}
			c.change(b)
			b.owner.runPlacementPass()
			if diff := cmp.Diff(waiting-1, step.waiting); diff != "" {
				t.Errorf("waiting tasks (-want +got):\n%s", diff)
			}
		})
	}
}

// A worker that is back has not been rated for steps that came while it was out.
func TestBlockedStepIsTriedOnWorkerThatIsBack(t *testing.T) {
	back := testEntry("v")
	back.Domain, back.Labels = "e", []string{"l"}
	b := newHarness(back, testEntry("w"))
	b.reportAndDeliver()
	b.submitNumbered(1, func(int) job.Step { return job.Step{Count: 3, MilliCPU: 1000, PerWorker: 1} })
	b.deliverPending()
	b.owner.runPlacementPass()
	b.owner.SetDomainsOut(map[string]bool{"e": true})
	b.owner.Submit(jobSpec(lastJob, job.Step{Count: 1, MilliCPU: 1000, Label: "l"}), func(Verdict) {})
	b.owner.runPlacementPass()
	b.owner.runPlacementPass()
	b.owner.SetDomainsOut(nil)
	b.owner.runPlacementPass()
	if diff := cmp.Diff(0, b.owner.jobs[lastJob].steps[0].waiting); diff != "" {
		t.Errorf("waiting tasks (-want +got):\n%s", diff)
	}
}

// Passes over many steps that are skipped must cost less than rating their workers.
func TestSkippedStepsCostLittle(t *testing.T) {
	const steps = 400
	b := filledHarness(120)
	b.submitNumbered(steps, func(int) job.Step {
		return job.Step{Count: 1, MilliCPU: 10, Label: "on no worker", PerWorker: 1, Image: "i", MemoryMB: 100}
	})
	b.reportAll()
	for range 4 {
		b.owner.runPlacementPass()
	}
	if limit := 2 * steps * stepCost; b.owner.passCost > limit {
		t.Errorf("a pass has cost %d, want at most %d", b.owner.passCost, limit)
	}
}
