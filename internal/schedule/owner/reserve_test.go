package owner

import (
	"fmt"
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

const largeJob = "00000000000000aa"

// largeTaskStartTime runs a worker of 20 cores on which a task of 8 cores ends
// every 300 ms while jobs of such tasks keep coming, and a task of 16 cores
// waits. It returns after how long the large task started, or 0 if it did not.
func largeTaskStartTime(t *testing.T) clock.Millis {
	t.Helper()
	b := newHarness(testEntry("w"))
	b.report("w", func(job.Task) int64 { return 0 })
	submitSmall := func(i int) {
		spec := jobSpec(fmt.Sprintf("%016x", 1000+i), job.Step{Count: 1, MilliCPU: 8000, EstimateMS: 600})
		b.owner.Submit(spec, func(Verdict) {})
	}
	submitSmall(0)
	submitSmall(1)
	b.deliverPending()
	b.owner.Submit(jobSpec(largeJob, job.Step{Count: 1, MilliCPU: 16000, EstimateMS: 600}), func(Verdict) {})
	start := b.now
	endNumber := int64(0)
	for i := 2; b.now-start < 6*clock.Second; i++ {
		submitSmall(i)
		b.now += 300
		endNumber++
		b.endOldest("w", endNumber)
		b.deliverPending()
		if b.runs["w"][job.Task{Job: largeJob}] > 0 {
			return b.now - start
		}
	}
	return 0
}

// endOldest reports that the worker's task with the lowest job id is done.
func (b *ownerHarness) endOldest(id string, number int64) {
	var oldest job.Task
	for task := range b.runs[id] {
		if oldest.Job == "" || task.Job < oldest.Job {
			oldest = task
		}
	}
	if oldest.Job == "" {
		return
	}
	report := fleet.Report{ClockMS: int64(b.now), Incarnation: 1}
	report.Ended = []fleet.End{{Number: number, Task: oldest, Run: b.runs[id][oldest]}}
	delete(b.runs[id], oldest)
	for task, run := range b.runs[id] {
		report.Running = append(report.Running, fleet.Run{Task: task, Run: run})
	}
	b.owner.workers[id].holdSentAt = b.now - 1
	b.owner.Report(id, report)
}

// A steady stream of small tasks must not keep a large one from starting.
func TestLargeTaskIsNotStarvedBySmallTasks(t *testing.T) {
	const reservedStart = reserveAfter + 2*clock.Second // the tasks on the worker have ended by then
	if elapsed := largeTaskStartTime(t); elapsed == 0 || elapsed > reservedStart+clock.Second {
		t.Errorf("the large task started after %d ms (0: never), want within %d ms", elapsed, reservedStart+clock.Second)
	}
}

// A worker whose long-running tasks leave too little room for a large task must
// not be reserved for it.
func TestNoReservationWhereLongRunningTasksLeaveTooLittleRoom(t *testing.T) {
	b := newHarness(testEntry("w"))
	b.report("w", func(job.Task) int64 { return 0 })
	b.owner.Submit(jobSpec(servingJob, job.Step{Count: 1, MilliCPU: 10000, Lasting: true}), func(Verdict) {})
	b.deliverPending()
	b.owner.Submit(jobSpec(largeJob, job.Step{Count: 1, MilliCPU: 16000}), func(Verdict) {})
	for range 5 {
		b.now += 300
		b.report("w", func(job.Task) int64 { return 0 })
		b.deliverPending()
	}
	if b.owner.workers["w"].reserved != nil {
		t.Error("a worker that will never have room is reserved")
	}
}

// A long-running task that has run before or has waited for longRunningMaxWait
// must start on a worker although it is reserved for a large task: it may not be
// without a run while any worker has room for it. A new one must not.
func TestReservedWorkerAcceptsLongRunningTaskThatMustRun(t *testing.T) {
	for _, test := range []struct {
		name      string
		runNumber int
		waited    clock.Millis
		want      int
	}{{"has run before", 1, 0, 1}, {"has waited", 0, longRunningMaxWait, 1}, {"new", 0, 0, 0}} {
		b := newHarness(testEntry("w"))
		b.reportAndDeliver()
		large := newJob(jobSpec(largeJob, job.Step{Count: 1, MilliCPU: 20000}))
		b.owner.workers["w"].reserved = &reservation{
			job: large, step: &large.steps[0], room: committedRoom(large.steps[0].spec), promised: b.now + clock.Minute,
		}
		large.steps[0].reservedOn = []*worker{b.owner.workers["w"]}
		b.owner.Submit(jobSpec(servingJob, job.Step{Count: 1, MilliCPU: 2000, Lasting: true}), func(Verdict) {})
		task := &b.owner.jobs[servingJob].steps[0].tasks[0]
		task.runNumber = test.runNumber
		task.waitingSince = b.now - test.waited
		b.deliverPending()
		if got := b.longRunningByWorker()["w"]; got != test.want {
			t.Errorf("%s: %d long-running tasks on the reserved worker, want %d", test.name, got, test.want)
		}
	}
}
