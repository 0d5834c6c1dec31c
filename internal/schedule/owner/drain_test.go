package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// setDraining replaces the list of workers, some of them draining.
func (b *ownerHarness) setDraining(entries []fleet.Entry, draining ...string) {
	for i := range entries {
		for _, id := range draining {
			entries[i].Draining = entries[i].Draining || entries[i].ID == id
		}
	}
	b.owner.SetWorkers(entries)
}

// advance lets time pass in which all workers report.
func (b *ownerHarness) advance(span clock.Millis) {
	for end := b.now + span; b.now < end; {
		b.owner.Tick()
		b.reportAndDeliver()
	}
}

// longRunningByWorker counts the long-running tasks of each worker.
func (b *ownerHarness) longRunningByWorker() map[string]int {
	counts := map[string]int{}
	for id, runs := range b.runs {
		for task := range runs {
			if task.Job == servingJob {
				counts[id]++
			}
		}
	}
	return counts
}

// Long-running tasks move off a draining worker while there is time and restart
// on another one, but not in a failure domain that is out of service.
func TestLongRunningTasksMoveOffDrainingWorker(t *testing.T) {
	entries := []fleet.Entry{testEntry("w1"), testEntry("w2"), testEntry("w3")}
	entries[2].Domain = "out"
	b := newHarness(entries...)
	b.owner.SetDomainsOut(map[string]bool{"out": true})
	b.owner.workers["w2"].backoffUntil = b.now + 200
	b.reportAndDeliver()
	b.owner.Submit(jobSpec(servingJob, job.Step{Count: 4, MilliCPU: 2000, Lasting: true}), func(Verdict) {})
	b.advance(clock.Second)
	before := b.longRunningByWorker()
	b.setDraining(entries, "w1")
	b.advance(2 * clock.Second)
	if diff := cmp.Diff(map[string]int{"w2": 4}, b.longRunningByWorker()); diff != "" || before["w1"] == 0 {
		t.Errorf("long-running tasks by worker, %v before (-want +got):\n%s", before, diff)
	}
}

// Without room elsewhere, long-running tasks stay on the draining worker.
func TestLongRunningTasksStayOnDrainingWorkerWithoutRoomElsewhere(t *testing.T) {
	entries := []fleet.Entry{testEntry("w1"), testEntry("w2")}
	entries[1].Room.MilliCPU = 5000
	b := newHarness(entries...)
	b.reportAndDeliver()
	b.owner.Submit(jobSpec(servingJob, job.Step{Count: 12, MilliCPU: 2000, Lasting: true}), func(Verdict) {})
	b.advance(5 * clock.Second)
	before := b.longRunningByWorker()
	b.setDraining(entries, "w1")
	b.advance(2 * clock.Second)
	if diff := cmp.Diff(before, b.longRunningByWorker()); diff != "" || len(b.stops) > 0 {
		t.Errorf("%d stops; long-running tasks by worker (-want +got):\n%s", len(b.stops), diff)
	}
}

// A long-running task whose worker was lost must not wait because of the share
// held back for batch tasks, because its capacity was already granted.
func TestLongRunningTaskOfLostWorkerIsPlacedAtOnce(t *testing.T) {
	b := newHarness(testEntry("w1"), testEntry("w2"))
	b.reportAndDeliver()
	b.owner.Submit(jobSpec(servingJob, job.Step{Count: 9, MilliCPU: 2000, Lasting: true}), func(Verdict) {})
	b.deliverPending()
	b.owner.batchDemands["pool"] = batchDemand{share: maxBatchShare / batchMargin, at: b.now}
	for _, r := range b.owner.workers["w1"].sortedRuns() {
		delete(b.runs["w1"], r.task.key())
		b.owner.endRun(r, endLeaseLapsed, proof{}, "")
	}
	for _, r := range b.owner.workers["w2"].sortedRuns() {
		delete(b.runs["w2"], r.task.key())
		b.owner.endRun(r, endLeaseLapsed, proof{}, "")
	}
	b.owner.workers["w2"].backoffUntil = b.now + clock.Minute
	b.deliverPending()
	if diff := cmp.Diff(map[string]int{"w1": 9}, b.longRunningByWorker()); diff != "" {
		t.Errorf("long-running tasks by worker after the loss (-want +got):\n%s", diff)
	}
}
