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

// Whole percents that are further apart than the sums of a worker's speed reach back
// must not count for it: a run at full speed would count as slow between them.
func TestCoarseProgressDoesNotCountForWorkerSpeed(t *testing.T) {
	o := newHarness(testEntry("w")).owner
	w := o.workers["w"]
	spec := jobSpec(bestEffortJob, job.Step{Count: 1, MilliCPU: 2000, EstimateMS: 600000})
	r := &run{task: &newJob(spec).steps[0].tasks[0], worker: w, progressKnown: true, reportedAt: o.now, pace: fullPace}
	o.now += 5 * clock.Second
	o.updateProgress(r, fleet.Run{Percent: 0, Usage: 2000})
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

// longTask is a task that is longer than a whole percent of its progress shows.
type longTask struct {
	estimateMS int64
	length     clock.Millis
	frozenAt   clock.Millis // age from which its worker stands still; 0: never
	usage      func(after clock.Millis) int64
}

// busy is the processor use of a task at work.
func busy(clock.Millis) int64 { return 2000 }

// stopsOf runs a task on one of two workers and returns the ages at which it was
// stopped because its worker seemed stalled.
func (l longTask) stopsOf(span clock.Millis) []clock.Millis {
	b := newHarness(testEntry("w1"), testEntry("w2"))
	b.reportAndDeliver()
	b.owner.Submit(jobSpec(bestEffortJob, job.Step{Count: 1, MilliCPU: 2000, EstimateMS: l.estimateMS}), func(Verdict) {})
	b.deliverPending()
	var ages []clock.Millis
	startedAt, number := b.now, 1
	for end := b.now + span; b.now < end; {
		b.owner.Tick()
		for id, runs := range b.runs {
			report := fleet.Report{ClockMS: int64(b.now), Incarnation: 1}
			for task, run := range runs {
				if run != number {
					startedAt, number = b.now, run
				}
				worked := b.now - startedAt
				if l.frozenAt != 0 {
					worked = min(worked, l.frozenAt)
				}
				report.Running = append(report.Running, fleet.Run{Task: task, Run: run, Percent: int(worked * 100 / l.length), Usage: l.usage(b.now - startedAt)})
			}
			b.owner.workers[id].holdSentAt = b.now - 1
			b.owner.Report(id, report)
		}
		if len(b.stops) > len(ages) {
			ages = append(ages, b.now-startedAt)
		}
		b.deliverPending()
	}
	return ages
}

// A task whose whole percents are seconds apart must not be taken for a stall,
// without an estimate or with one that is far too small: it would start from the
// beginning elsewhere, again and again, and sound workers would stay unused.
func TestLongTaskIsNotAStall(t *testing.T) {
	unreported := func(clock.Millis) int64 { return 0 }
	for name, task := range map[string]longTask{
		"no estimate":                           {length: 10 * clock.Minute, usage: busy},
		"no estimate, no use reported":          {length: 10 * clock.Minute, usage: unreported},
		"no estimate, an hour":                  {length: clock.Hour, usage: busy},
		"no estimate, no use reported, an hour": {length: clock.Hour, usage: unreported},
		"a tenth of the length":                 {estimateMS: 60000, length: 10 * clock.Minute, usage: busy},
		"a twentieth of the length":             {estimateMS: 30000, length: 10 * clock.Minute, usage: busy},
		"a twentieth, no use reported":          {estimateMS: 30000, length: 10 * clock.Minute, usage: unreported},
	} {
		if diff := cmp.Diff([]clock.Millis(nil), task.stopsOf(2*clock.Minute)); diff != "" {
			t.Errorf("%s: ages at which its runs were stopped (-want +got):\n%s", name, diff)
		}
	}
}

// Wrong beliefs about one task must not repeat for ever: each stop doubles the time
// that its next run gets to show a percent.
func TestTaskFarAboveItsEstimateIsStoppedFewTimes(t *testing.T) {
	const maxStops = 4
	stops := longTask{estimateMS: 2000, length: 10 * clock.Minute, usage: busy}.stopsOf(5 * clock.Minute)
	if len(stops) > maxStops {
		t.Errorf("stopped at ages %d, want at most %d stops", stops, maxStops)
	}
}

// A run that really stands still must be found soon: by the pace that it has shown,
// or because it no longer uses its processors.
func TestRunThatStandsStillIsFound(t *testing.T) {
	idleAfter := func(at clock.Millis) func(clock.Millis) int64 {
		return func(after clock.Millis) int64 {
			if after < at {
				return 2000
			}
			return 0
		}
	}
	for name, test := range map[string]struct {
		task longTask
		want clock.Millis // longest time until it is found
	}{
		"no estimate, idle":                           {longTask{length: clock.Minute, frozenAt: 3000, usage: idleAfter(3000)}, 4 * clock.Second},
		"no estimate, idle before its second percent": {longTask{length: 10 * clock.Minute, frozenAt: 5000, usage: idleAfter(5000)}, idleTimeout + clock.Second},
		"estimate, shown pace":                        {longTask{estimateMS: 5000, length: 5000, frozenAt: 2000, usage: busy}, 2 * clock.Second},
		"estimate, no percent shown":                  {longTask{estimateMS: 2000, length: 2000, frozenAt: 10, usage: busy}, startupGrace + 2*clock.Second},
	} {
		stops := test.task.stopsOf(30 * clock.Second)
		if len(stops) == 0 || stops[0] > test.task.frozenAt+test.want {
			t.Errorf("%s: stopped at ages %d, want a stop at most %d ms after %d ms", name, stops, test.want, test.task.frozenAt)
		}
	}
}

// A run without an estimate that uses its processors stays where it is, also if its
// worker counts as stalled because of other runs.
func TestBusyRunWithoutEstimateIsNotStopped(t *testing.T) {
	b := newHarness(testEntry("w"))
	b.reportAndDeliver()
	b.owner.Submit(jobSpec(bestEffortJob, job.Step{Count: 1, MilliCPU: 2000, EstimateMS: 1000}), func(Verdict) {})
	b.owner.Submit(jobSpec(servingJob, job.Step{Count: 1, MilliCPU: 2000}), func(Verdict) {})
	b.deliverPending()
	for range 20 {
		report := fleet.Report{ClockMS: int64(b.now), Incarnation: 1}
		for task, run := range b.runs["w"] {
			report.Running = append(report.Running, fleet.Run{Task: task, Run: run, Percent: 10, Usage: 2000})
		}
		b.owner.workers["w"].holdSentAt = b.now - 1
		b.owner.Report("w", report)
		b.now += 300
	}
	stopped := map[job.ID]bool{}
	for _, stop := range b.stops {
		stopped[stop.Task.Job] = true
	}
	if diff := cmp.Diff(map[job.ID]bool{bestEffortJob: true}, stopped); diff != "" {
		t.Errorf("stopped jobs (-want +got):\n%s", diff)
	}
}
