package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// stoppedJobs runs a worker with a best-effort task beside a long-running one.
// Every 300 ms the worker reports the values of reportRun, until tasks are
// stopped or 4 s have passed. It returns the jobs of the stopped tasks.
func stoppedJobs(t *testing.T, reportRun func(task job.Task, after clock.Millis) fleet.Run) map[job.ID]bool {
	t.Helper()
	b := newHarness(testEntry("w"))
	b.reportAndDeliver()
	b.owner.Submit(servingSpec(1), func(Verdict) {})
	b.owner.Submit(bestEffortSpec(1), func(Verdict) {})
	b.deliverPending()
	start := b.now
	for len(b.stops) == 0 && b.now-start < 4*clock.Second {
		b.now += 300
		report := fleet.Report{ClockMS: int64(b.now), Incarnation: 1}
		for task, run := range b.runs["w"] {
			present := reportRun(task, b.now-start)
			present.Task, present.Run = task, run
			report.Running = append(report.Running, present)
		}
		b.owner.workers["w"].holdSentAt = b.now - 1
		b.owner.Report("w", report)
	}
	stopped := map[job.ID]bool{}
	for _, stop := range b.stops {
		stopped[stop.Task.Job] = true
	}
	return stopped
}

// A stalled worker reports a best-effort task that uses its processors without
// progress, and a tail latency far over the target.
func TestStalledWorkerRunsAreStopped(t *testing.T) {
	got := stoppedJobs(t, func(task job.Task, after clock.Millis) fleet.Run {
		switch {
		case after < 1500 && task.Job == bestEffortJob:
			return fleet.Run{Percent: int(after / 600), Usage: 2000}
		case after < 1500:
			return fleet.Run{Percent: 100, Usage: targetMS / 2}
		case task.Job == bestEffortJob:
			return fleet.Run{Percent: 2, Usage: 2000}
		}
		return fleet.Run{Percent: 100, Usage: 600 * targetMS}
	})
	want := map[job.ID]bool{servingJob: true, bestEffortJob: true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("stopped jobs (-want +got):\n%s", diff)
	}
}

// A best-effort task progresses slowly or not at all where other tasks use the
// processors; the worker must not count as stalled for it.
func TestBestEffortTaskWithoutProcessorsIsNotAStall(t *testing.T) {
	got := stoppedJobs(t, func(task job.Task, after clock.Millis) fleet.Run {
		if task.Job == bestEffortJob {
			return fleet.Run{Percent: 15, Usage: 100}
		}
		return fleet.Run{Percent: 100, Usage: targetMS / 2}
	})
	if diff := cmp.Diff(map[job.ID]bool{}, got); diff != "" {
		t.Errorf("stopped jobs (-want +got):\n%s", diff)
	}
}

// Tasks that share too few processors raise the tail latency of a long-running
// task; that is interference, and the worker must not count as stalled.
func TestInterferenceIsNotAStall(t *testing.T) {
	got := stoppedJobs(t, func(task job.Task, after clock.Millis) fleet.Run {
		if task.Job == bestEffortJob {
			return fleet.Run{Percent: 15, Usage: 100}
		}
		return fleet.Run{Percent: 100, Usage: 60 * targetMS}
	})
	if got[servingJob] {
		t.Error("a long-running task was stopped because of interference")
	}
}

// A worker at a fifth of its speed does little work, and the tail latency of
// its long-running tasks is far over their target.
func TestSlowWorkerRunsAreStopped(t *testing.T) {
	got := stoppedJobs(t, func(task job.Task, after clock.Millis) fleet.Run {
		const length = 60000 // of the best-effort task, in ms
		if task.Job == bestEffortJob {
			return fleet.Run{Percent: int(after * 100 / 5 / length), Usage: 2000}
		}
		return fleet.Run{Percent: 100, Usage: 50 * targetMS}
	})
	want := map[job.ID]bool{servingJob: true, bestEffortJob: true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("stopped jobs (-want +got):\n%s", diff)
	}
}

// Without an estimate the expected work of a run is not known.
func TestRunWithoutEstimateDoesNotCountForWorkerSpeed(t *testing.T) {
	o := newHarness(testEntry("w")).owner
	w := o.workers["w"]
	spec := jobSpec(bestEffortJob, job.Step{Count: 1, MilliCPU: 2000})
	r := &run{task: &newJob(spec).steps[0].tasks[0], worker: w, progressKnown: true, reportedAt: o.now, pace: fullPace}
	o.now += 10 * clock.Second
	o.updateProgress(r, fleet.Run{Percent: 1, Usage: 2000})
	if w.isSlow() || w.workExpected != 0 {
		t.Errorf("%g ms of work are expected of the worker, want 0", w.workExpected)
	}
}

func TestSlowProgressIsNotAStall(t *testing.T) {
	got := stoppedJobs(t, func(task job.Task, after clock.Millis) fleet.Run {
		if task.Job == bestEffortJob {
			return fleet.Run{Percent: int(after / 600), Usage: 2000}
		}
		return fleet.Run{Percent: 100, Usage: targetMS / 2}
	})
	if diff := cmp.Diff(map[job.ID]bool{}, got); diff != "" {
		t.Errorf("stopped jobs (-want +got):\n%s", diff)
	}
}
