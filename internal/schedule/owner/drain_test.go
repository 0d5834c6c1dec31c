package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// setDraining replaces the list of workers, some of them draining.
func (b *bench) setDraining(entries []fleet.Entry, draining ...string) {
	for i := range entries {
		for _, id := range draining {
			entries[i].Draining = entries[i].Draining || entries[i].ID == id
		}
	}
	b.own.SetWorkers(entries)
}

// pass lets time go by in which all workers report.
func (b *bench) pass(span clock.Millis) {
	for end := b.now + span; b.now < end; {
		b.own.Tick()
		b.idle()
	}
}

// longRunningByWorker counts the long-running tasks of each worker.
func (b *bench) longRunningByWorker() map[string]int {
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
	entries := []fleet.Entry{entryOf("w1"), entryOf("w2"), entryOf("w3")}
	entries[2].Domain = "out"
	b := newBench(entries...)
	b.own.SetOut(map[string]bool{"out": true})
	b.own.workers["w2"].restUntil = b.now + 200
	b.idle()
	b.own.Submit(stepJob(servingJob, job.Step{Count: 4, MilliCPU: 2000, Lasting: true}), func(Verdict) {})
	b.pass(clock.Second)
	before := b.longRunningByWorker()
	b.setDraining(entries, "w1")
	b.pass(2 * clock.Second)
	if diff := cmp.Diff(map[string]int{"w2": 4}, b.longRunningByWorker()); diff != "" || before["w1"] == 0 {
		t.Errorf("long-running tasks by worker, %v before (-want +got):\n%s", before, diff)
	}
}

// Without room elsewhere, long-running tasks stay on the draining worker.
func TestLongRunningTasksStayOnDrainingWorkerWithoutRoomElsewhere(t *testing.T) {
	entries := []fleet.Entry{entryOf("w1"), entryOf("w2")}
	entries[1].Room.MilliCPU = 5000
	b := newBench(entries...)
	b.idle()
	b.own.Submit(stepJob(servingJob, job.Step{Count: 12, MilliCPU: 2000, Lasting: true}), func(Verdict) {})
	b.pass(5 * clock.Second)
	before := b.longRunningByWorker()
	b.setDraining(entries, "w1")
	b.pass(2 * clock.Second)
	if diff := cmp.Diff(before, b.longRunningByWorker()); diff != "" || len(b.stops) > 0 {
		t.Errorf("%d stops; long-running tasks by worker (-want +got):\n%s", len(b.stops), diff)
	}
}

// A long-running task whose worker was lost must not wait because of the share
// held back for batch tasks.
func TestLongRunningTaskOfLostWorkerIsPlacedAtOnce(t *testing.T) {
	b := newBench(entryOf("w1"), entryOf("w2"))
	b.idle()
	b.own.Submit(stepJob(servingJob, job.Step{Count: 9, MilliCPU: 2000, Lasting: true}), func(Verdict) {})
	b.settle()
	b.own.demands["pool"] = shortDemand{share: maxBatchShare / batchMargin, at: b.now}
	for _, r := range b.own.workers["w1"].sorted() {
		delete(b.runs["w1"], r.task.name())
		b.own.over(r, endLapsed, "")
	}
	for _, r := range b.own.workers["w2"].sorted() {
		delete(b.runs["w2"], r.task.name())
		b.own.over(r, endLapsed, "")
	}
	b.own.workers["w2"].restUntil = b.now + clock.Minute
	b.settle()
	if diff := cmp.Diff(map[string]int{"w1": 9}, b.longRunningByWorker()); diff != "" {
		t.Errorf("long-running tasks by worker after the loss (-want +got):\n%s", diff)
	}
}
