package owner

import (
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
