package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// drains lists the workers anew, some of them as draining.
func (b *bench) drains(entries []fleet.Entry, draining ...string) {
	for i := range entries {
		for _, id := range draining {
			entries[i].Draining = entries[i].Draining || entries[i].ID == id
		}
	}
	b.own.SetWorkers(entries)
}

// pass lets some time go by in which all workers report.
func (b *bench) pass(span clock.Millis) {
	for end := b.now + span; b.now < end; {
		b.own.Tick()
		b.idle()
	}
}

// lastingOn counts the lasting tasks of each worker.
func (b *bench) lastingOn() map[string]int {
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

// Lasting tasks leave a worker that drains while there is time, and run on
// elsewhere; those in a failure domain that is out are no place for them.
func TestLastingTasksLeaveADrainingWorker(t *testing.T) {
	entries := []fleet.Entry{entryOf("w1"), entryOf("w2"), entryOf("w3")}
	entries[2].Domain = "out"
	b := newBench(entries...)
	b.own.SetOut(map[string]bool{"out": true})
	b.own.workers["w2"].restUntil = b.now + 200
	b.idle()
	b.own.Submit(stepJob(servingJob, job.Step{Count: 4, MilliCPU: 2000, Lasting: true}), func(Verdict) {})
	b.pass(clock.Second)
	before := b.lastingOn()
	b.drains(entries, "w1")
	b.pass(2 * clock.Second)
	if diff := cmp.Diff(map[string]int{"w2": 4}, b.lastingOn()); diff != "" || before["w1"] == 0 {
		t.Errorf("lasting tasks, %v before (-want +got):\n%s", before, diff)
	}
}

// Without room elsewhere they stay for as long as they may.
func TestLastingTasksStayWhereNoOtherWorkerHasRoom(t *testing.T) {
	entries := []fleet.Entry{entryOf("w1"), entryOf("w2")}
	entries[1].Room.MilliCPU = 5000
	b := newBench(entries...)
	b.idle()
	b.own.Submit(stepJob(servingJob, job.Step{Count: 12, MilliCPU: 2000, Lasting: true}), func(Verdict) {})
	b.pass(5 * clock.Second)
	before := b.lastingOn()
	b.drains(entries, "w1")
	b.pass(2 * clock.Second)
	if diff := cmp.Diff(before, b.lastingOn()); diff != "" || len(b.stops) > 0 {
		t.Errorf("%d stops; lasting tasks (-want +got):\n%s", len(b.stops), diff)
	}
}

// A lasting task whose worker was lost does not wait behind the room that is
// kept for short ones: it had its place.
func TestLastingTaskThatLostItsWorkerIsPlacedAtOnce(t *testing.T) {
	b := newBench(entryOf("w1"), entryOf("w2"))
	b.idle()
	b.own.Submit(stepJob(servingJob, job.Step{Count: 9, MilliCPU: 2000, Lasting: true}), func(Verdict) {})
	b.settle()
	b.own.demands["pool"] = shortDemand{share: mostShort / shortMargin, at: b.now}
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
	if diff := cmp.Diff(map[string]int{"w1": 9}, b.lastingOn()); diff != "" {
		t.Errorf("lasting tasks after the loss (-want +got):\n%s", diff)
	}
}
