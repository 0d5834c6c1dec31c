package owner

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// How many consecutive failures lie with the worker depends on how many runs
// fail anyway.
func TestFailuresThatAreNotByChance(t *testing.T) {
	for _, row := range []struct {
		failEvery int // of the runs on sound workers, one in so many fails; 0: none
		want      int // consecutive failures
	}{{0, 2}, {20, 2}, {4, 4}, {2, 8}} {
		rate := failureRate(initialFailureRate)
		for i := range 2000 {
			rate = rate.after(row.failEvery > 0 && i%row.failEvery == 0)
		}
		got := 0
		for !rate.tooMany(got) {
			got++
		}
		if diff := cmp.Diff(row.want, got); diff != "" {
			t.Errorf("one in %d fails, rate %.3f (-want +got):\n%s", row.failEvery, rate, diff)
		}
	}
}

// failRuns reports that all runs of a worker have failed.
func (b *ownerHarness) failRuns(id string) {
	w := b.owner.workers[id]
	report := fleet.Report{ClockMS: int64(b.now), Incarnation: 1}
	for task, run := range b.runs[id] {
		report.Ended = append(report.Ended, fleet.End{Number: w.endsApplied + int64(len(report.Ended)) + 1, Task: task, Run: run, Cause: fleet.EndFailed})
		delete(b.runs[id], task)
	}
	w.holdSentAt = b.now - 1
	b.owner.Report(id, report)
}

// A worker that fails what it starts must not swallow the attempts of the next
// jobs: after two failures it gets one task at a time, until one is done.
func TestFailingWorkerGetsOneTaskAtATime(t *testing.T) {
	b := newHarness(testEntry("w"))
	b.reportAndDeliver()
	b.owner.Submit(jobSpec(bestEffortJob, job.Step{Count: 2, MilliCPU: 2000, EstimateMS: 60000}), func(Verdict) {})
	b.deliverPending()
	b.failRuns("w")
	b.deliverPending()
	if diff := cmp.Diff(0, len(b.runs["w"])); diff != "" {
		t.Fatalf("runs during the backoff (-want +got):\n%s", diff)
	}
	b.advance(failingBackoff << maxFailingDoublings)
	if diff := cmp.Diff(1, len(b.runs["w"])); diff != "" {
		t.Fatalf("runs after the backoff (-want +got):\n%s", diff)
	}
	w := b.owner.workers["w"]
	report := fleet.Report{ClockMS: int64(b.now), Incarnation: 1}
	for task, run := range b.runs["w"] {
		report.Ended = []fleet.End{{Number: w.endsApplied + 1, Task: task, Run: run, Cause: fleet.EndDone}}
		delete(b.runs["w"], task)
	}
	w.holdSentAt = b.now - 1
	b.owner.Report("w", report)
	b.owner.Submit(jobSpec(servingJob, job.Step{Count: 3, MilliCPU: 2000, EstimateMS: 60000}), func(Verdict) {})
	b.advance(clock.Second)
	if diff := cmp.Diff(4, len(b.runs["w"])); diff != "" {
		t.Errorf("runs after one was done (-want +got):\n%s", diff)
	}
}

// runsOf counts the runs of a job on all workers.
func (b *ownerHarness) runsOf(id job.ID) int {
	count := 0
	for _, runs := range b.runs {
		for task := range runs {
			if task.Job == id {
				count++
			}
		}
	}
	return count
}

// failingWorkers lists the workers marked as failing.
func (b *ownerHarness) failingWorkers() []string {
	var ids []string
	for _, w := range b.owner.sortedWorkers {
		if w.failing {
			ids = append(ids, w.id)
		}
	}
	return ids
}

// Two jobs whose runs fail on all workers must mark none of them: long tasks that
// follow would keep everything else off workers that are sound.
func TestJobsThatFailEverywhereMarkNoWorker(t *testing.T) {
	for _, image := range []string{"", "broken"} {
		b := newHarness(testEntry("w1"), testEntry("w2"), testEntry("w3"), testEntry("w4"))
		b.reportAndDeliver()
		for _, id := range []string{servingJob, bestEffortJob} {
			b.owner.Submit(jobSpec(id, job.Step{Count: 20, MilliCPU: 2000, EstimateMS: 200, Image: image}), func(Verdict) {})
		}
		for range 20 {
			for _, w := range b.owner.sortedWorkers {
				b.failRuns(w.id)
			}
			b.advance(400)
		}
		if diff := cmp.Diff(job.Failed, b.owner.jobs[bestEffortJob].state); diff != "" {
			t.Errorf("image %q: state of a job that cannot be done (-want +got):\n%s", image, diff)
		}
		if diff := cmp.Diff([]string(nil), b.failingWorkers()); diff != "" {
			t.Errorf("image %q: workers marked as failing (-want +got):\n%s", image, diff)
		}
	}
}

// Workers that fail what others run must get few tasks, also if no task is done for
// long, and each job fails on both of them.
func TestWorkersThatFailLongTasksStandOut(t *testing.T) {
	bad := []string{"w1", "w2"}
	b := newHarness(testEntry("w1"), testEntry("w2"), testEntry("w3"), testEntry("w4"), testEntry("w5"))
	b.reportAndDeliver()
	failedRuns := 0
	for i := range 16 {
		if i%4 == 0 {
			spec := jobSpec(fmt.Sprintf("%016x", i+1), job.Step{Count: 10, MilliCPU: 1000, EstimateMS: 600000, Image: "x", PerWorker: 4})
			b.owner.Submit(spec, func(Verdict) {})
		}
		b.deliverPending()
		for _, id := range bad {
			failedRuns += len(b.runs[id])
			b.failRuns(id)
		}
		b.advance(800)
	}
	for id, j := range b.owner.jobs {
		if j.state == job.Failed {
			t.Errorf("job %s has failed because of two workers of five", id)
		}
	}
	t.Logf("%d runs of 40 tasks have failed", failedRuns)
	const maxFailed = 20
	if failedRuns > maxFailed {
		t.Errorf("%d runs have failed on two workers, want at most %d", failedRuns, maxFailed)
	}
}

// A long task on a worker marked as failing must not keep other work waiting
// until it ends: it blocks others for maxTrial at most, and clears the mark once
// it has outlived the failed runs.
func TestLongTrialKeepsOtherWorkOffForAShortTime(t *testing.T) {
	b := newHarness(testEntry("w"))
	b.reportAndDeliver()
	b.owner.Submit(jobSpec(bestEffortJob, job.Step{Count: 2, MilliCPU: 2000, EstimateMS: 600000}), func(Verdict) {})
	b.deliverPending()
	b.failRuns("w")
	b.deliverPending()
	if diff := cmp.Diff([]string{"w"}, b.failingWorkers()); diff != "" {
		t.Fatalf("workers marked as failing (-want +got):\n%s", diff)
	}
	b.owner.Submit(jobSpec(servingJob, job.Step{Count: 6, MilliCPU: 2000, EstimateMS: 500}), func(Verdict) {})
	b.advance(failingBackoff + maxTrial + clock.Second)
	if diff := cmp.Diff(6, b.runsOf(servingJob)); diff != "" {
		t.Errorf("runs beside the long one (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string(nil), b.failingWorkers()); diff != "" {
		t.Errorf("workers marked after a run outlived the failed ones (-want +got):\n%s", diff)
	}
}
