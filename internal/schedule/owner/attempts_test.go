package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// setAttempts takes tables that allow the tasks of the queue a number of failed
// runs, or do not have the queue if that is 0.
func (m *manualOwner) setAttempts(version int64, attempts int) {
	var queues []manifest.Queue
	if attempts > 0 {
		queues = append(queues, manifest.Queue{Name: "q", Pools: []string{"pool"}, MaxFailures: attempts})
	}
	m.owner.SetManifest(manifest.New(version, queues, []manifest.Pool{{Name: "pool"}}, manifest.Limits{}))
}

// serve lets time pass while the store and the worker carry out what they are asked.
func (m *manualOwner) serve(span clock.Millis) {
	for end := m.now + span; m.now < end; {
		m.advance(25)
		m.acknowledge()
		var running []fleet.Run
		if r := m.owner.task(manualTask).run; r != nil && len(m.starts) > 0 {
			m.owner.Started(m.starts[len(m.starts)-1], fleet.Answer{Outcome: fleet.Accepted, ClockMS: int64(m.now)})
			running = append(running, fleet.Run{Task: manualTask, Run: r.runNumber})
		}
		m.report(1, running...)
	}
}

// failRun reports that the newest run of manualTask has failed.
func (m *manualOwner) failRun() {
	m.owner.Report("w", fleet.Report{ClockMS: int64(m.now), Incarnation: 1, Ended: []fleet.End{{
		Number: m.owner.workers["w"].endsApplied + 1, Task: manualTask, Run: m.owner.task(manualTask).runNumber, Cause: fleet.EndFailed,
	}}})
	m.serve(500)
}

// A task must not start again once it has used up its attempts, whatever the
// tables said when its last run failed. Without the queue in the tables, the
// attempts that it was last known to have count, also for the next owner. Tables
// that lower the attempts apply to the next start; tables that raise them apply to
// jobs that have not failed, as a final state does not change.
func TestTaskNeverStartsAfterItsAttempts(t *testing.T) {
	const settle = 10 * clock.Second // backoffs of the worker and the task end
	for name, test := range map[string]struct {
		steps      func(m *manualOwner) *manualOwner // after the first of two attempts has failed
		wantStarts int                               // by the last owner
		wantState  job.State
	}{
		"route is removed and comes back": {func(m *manualOwner) *manualOwner {
			m.setAttempts(3, 0)
			m.failRun()
			m.setAttempts(4, 2)
			return m
		}, 2, job.Failed},
		"route comes back with more attempts": {func(m *manualOwner) *manualOwner {
			m.setAttempts(3, 0)
			m.failRun()
			m.setAttempts(4, 4)
			return m
		}, 2, job.Failed},
		"attempts are lowered while the route is away": {func(m *manualOwner) *manualOwner {
			m.setAttempts(3, 4)
			m.setAttempts(4, 0)
			m.failRun()
			m.setAttempts(5, 2)
			return m
		}, 2, job.Failed},
		"attempts are raised before the failure": {func(m *manualOwner) *manualOwner {
			m.setAttempts(3, 4)
			m.failRun()
			return m
		}, 3, job.Running},
		"next owner without the route": {func(m *manualOwner) *manualOwner {
			next := newManualOwner(t, 2, m.now)
			next.setAttempts(3, 0)
			next.load(m)
			next.list(1, "w:1")
			next.serve(clock.Second)
			next.failRun()
			if diff := cmp.Diff(job.Failed, next.owner.jobs[bestEffortJob].state); diff != "" {
				t.Errorf("next owner without the route (-want +got):\n%s", diff)
			}
			next.setAttempts(4, 2)
			return next
		}, 0, job.Failed},
	} {
		m := newManualOwner(t, 1, clock.Hour)
		m.setAttempts(2, 2)
		m.startRun()
		m.failRun()
		m.serve(settle)
		m = test.steps(m)
		m.serve(settle)
		if diff := cmp.Diff(test.wantStarts, len(m.starts)); diff != "" {
			t.Errorf("%s: starts (-want +got):\n%s", name, diff)
		}
		if diff := cmp.Diff(test.wantState, m.owner.jobs[bestEffortJob].state); diff != "" {
			t.Errorf("%s: state of the job (-want +got):\n%s", name, diff)
		}
	}
}

// A run that fails on a worker out of contact is an attempt, too: its owner has
// ended it as lapsed when the worker reports the failure. Repeated reports of it
// count once.
func TestFailureReportedAfterTheLapseCounts(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.setAttempts(2, 2)
	m.startRun()
	m.timeToEnd(m.now)
	m.acknowledge()
	failed := fleet.Report{ClockMS: int64(m.now), Incarnation: 1, Ended: []fleet.End{{Number: 1, Task: manualTask, Run: 1, Cause: fleet.EndFailed}}}
	m.owner.Report("w", failed)
	m.owner.Report("w", failed)
	if diff := cmp.Diff(1, m.owner.task(manualTask).failures); diff != "" {
		t.Errorf("failures (-want +got):\n%s", diff)
	}
	m.serve(5 * clock.Second)
	m.failRun()
	m.serve(10 * clock.Second)
	if diff := cmp.Diff(2, len(m.starts)); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(job.Failed, m.owner.jobs[bestEffortJob].state); diff != "" {
		t.Errorf("state of the job (-want +got):\n%s", diff)
	}
}

// A late failure of a task beyond the first record of a divided job is recorded, too.
func TestLateFailureInDividedJobIsRecorded(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.setLimits(twoTasksPerRecord)
	m.owner.Submit(jobSpec(bestEffortJob, job.Step{Count: 6, MilliCPU: 1000}), func(Verdict) {})
	m.settle()
	last := job.Task{Job: bestEffortJob, Index: 5}
	task := m.owner.task(last)
	task.lapsedRuns = []int{1}
	m.owner.countLateFailure(m.owner.newWorker("w"), fleet.End{Number: 1, Task: last, Run: 1, Cause: fleet.EndFailed})
	m.settle()
	if diff := cmp.Diff(1, m.successor(100).owner.task(last).failures); diff != "" {
		t.Errorf("failures after a takeover (-want +got):\n%s", diff)
	}
}
