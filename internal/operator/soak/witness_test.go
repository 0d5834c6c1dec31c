package soak

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/standin/worker"
)

const testJob = "1000000000000001"

// started, ended, acked and leased return events of run 1 of the task of testJob.
func started(workerID string, run int, at clock.Millis) workerEvent {
	return workerEvent{At: at, Worker: workerID, Incarnation: 1, Kind: worker.RunStarted, Job: testJob, Run: run}
}

func ended(workerID string, run int, at clock.Millis, cause string) workerEvent {
	return workerEvent{At: at, Worker: workerID, Incarnation: 1, Kind: worker.RunEnded, Job: testJob, Run: run, Cause: cause}
}

func acked(workerID string, run int, at clock.Millis) workerEvent {
	return workerEvent{At: at, Worker: workerID, Incarnation: 1, Kind: worker.RunAcked, Job: testJob, Run: run}
}

func leased(workerID string, at, until clock.Millis) workerEvent {
	return workerEvent{At: at, Worker: workerID, Incarnation: 1, Kind: worker.LeaseExtended, Until: until}
}

// completed is a job that was accepted and is shown as completed.
func completed() submission {
	return submission{
		id: testJob, kind: shortRuns, accepted: true, state: job.Completed, spec: job.Spec{Steps: []job.Step{{Count: 1}}},
	}
}

func TestJudge(t *testing.T) {
	lost, refused, cancelled := completed(), completed(), completed()
	lost.state = job.Running
	refused.accepted, refused.refused, refused.state = false, true, job.Queued
	cancelled.state, cancelled.cancelTried, cancelled.cancelledAt = job.Cancelled, true, 1000
	run := []workerEvent{started("a", 1, 1000), ended("a", 1, 2000, "done")}
	cases := []struct {
		name    string
		events  []workerEvent
		deaths  []clock.Millis
		job     submission
		promise []string
	}{
		{name: "one run", events: run, job: completed()},
		{
			name: "the next run starts when the first one ends", job: completed(),
			events: []workerEvent{started("a", 1, 1000), ended("a", 1, 2000, "lapsed"), started("b", 2, 2000), ended("b", 2, 3000, "done")},
		},
		{
			name: "the next run starts before the first one ends", job: completed(), promise: []string{promiseOnePlace},
			events: []workerEvent{started("a", 1, 1000), ended("a", 1, 2000, "lapsed"), started("b", 2, 1999), ended("b", 2, 3000, "done")},
		},
		{
			name: "the next run starts while the first one goes on", job: completed(), promise: []string{promiseOnePlace},
			events: []workerEvent{started("a", 1, 1000), started("b", 2, 1999), ended("b", 2, 3000, "done")},
		},
		{
			name: "the process of the first run died", job: completed(), deaths: []clock.Millis{1500},
			events: []workerEvent{leased("a", 1000, 6000), started("a", 1, 1000), started("b", 2, 1500), ended("b", 2, 3000, "done")},
		},
		{
			name: "the lease of the first run lapsed before its process died", job: completed(), deaths: []clock.Millis{2500},
			events: []workerEvent{leased("a", 1000, 1900), started("a", 1, 1000), started("b", 2, 1900), ended("b", 2, 2000, "done")},
		},
		{
			name: "a start after a recorded end", job: completed(), promise: []string{promiseDoneOnce},
			events: append([]workerEvent{acked("a", 1, 2100), started("b", 2, 2200), ended("b", 2, 2300, "done")}, run...),
		},
		{
			name: "a start after an end that is not recorded", job: completed(),
			events: append([]workerEvent{started("b", 2, 2200), ended("b", 2, 2300, "done")}, run...),
		},
		{name: "never final", events: run, job: lost, promise: []string{promiseLost}},
		{name: "a refused job runs", events: run, job: refused, promise: []string{promiseRefused}},
		{name: "completed without a run", job: completed(), promise: []string{promiseTrue}},
		{name: "cancelled while it runs", events: run, job: cancelled},
		{
			name: "starts after its cancellation", job: cancelled, promise: []string{promiseCancelled},
			events: []workerEvent{started("a", 1, 1001+cancelledStartLimit), ended("a", 1, 9000, "stopped")},
		},
		{
			name: "runs on after its cancellation", job: cancelled, promise: []string{promiseCancelled},
			events: []workerEvent{started("a", 1, 900), ended("a", 1, 1001+cancelledRunLimit, "stopped")},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			events := orderedForTest(c.events)
			violations := judge(collectRuns([]processEvents{{events: events, deaths: c.deaths}}), []*submission{&c.job})
			var promises []string
			for _, v := range violations {
				promises = append(promises, v.Promise)
			}
			if diff := cmp.Diff(c.promise, promises); diff != "" {
				t.Errorf("broken promises (-want +got):\n%s\n%v", diff, violations)
			}
		})
	}
}

// orderedForTest puts the start of each run before its other events.
func orderedForTest(events []workerEvent) []workerEvent {
	var first, rest []workerEvent
	for _, event := range events {
		if event.Kind == worker.RunStarted {
			first = append(first, event)
		} else {
			rest = append(rest, event)
		}
	}
	return append(first, rest...)
}

// A worker with more runs than room is found once.
func TestJudgeRoom(t *testing.T) {
	var events []workerEvent
	for run := 1; run <= slotsPerWorker+2; run++ {
		event := started("a", 1, 1000)
		event.Index = run
		events = append(events, event)
	}
	violations := judge(collectRuns([]processEvents{{events: events}}), nil)
	if len(violations) != 1 || violations[0].Promise != promiseRoom {
		t.Errorf("found %v, want one violation of %q", violations, promiseRoom)
	}
}
