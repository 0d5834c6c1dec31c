package owner

import (
	"fmt"
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

const largeJob = "00000000000000aa"

// crowd plays a worker of 20 cores on which a task of 8 cores ends every 300 ms
// while jobs of such tasks keep coming, and a task of 16 cores that waits. It
// returns when the large one started, or 0.
func crowd(t *testing.T) clock.Millis {
	t.Helper()
	b := newBench(entryOf("w"))
	b.report("w", func(job.Task) int64 { return 0 })
	small := func(i int) {
		spec := stepJob(fmt.Sprintf("%016x", 1000+i), job.Step{Count: 1, MilliCPU: 8000, EstimateMS: 600})
		b.own.Submit(spec, func(Verdict) {})
	}
	small(0)
	small(1)
	b.settle()
	b.own.Submit(stepJob(largeJob, job.Step{Count: 1, MilliCPU: 16000, EstimateMS: 600}), func(Verdict) {})
	began := b.now
	ended := int64(0)
	for i := 2; b.now-began < 6*clock.Second; i++ {
		small(i)
		b.now += 300
		ended++
		b.endOldest("w", ended)
		b.settle()
		if b.runs["w"][job.Task{Job: largeJob}] > 0 {
			return b.now - began
		}
	}
	return 0
}

// endOldest reports that the worker's task of the lowest job is done.
func (b *bench) endOldest(id string, number int64) {
	var oldest job.Task
	for task := range b.runs[id] {
		if oldest.Job == "" || task.Job < oldest.Job {
			oldest = task
		}
	}
	if oldest.Job == "" {
		return
	}
	report := fleet.Report{ClockMS: int64(b.now), Born: 1}
	report.Ended = []fleet.End{{Number: number, Task: oldest, Run: b.runs[id][oldest]}}
	delete(b.runs[id], oldest)
	for task, run := range b.runs[id] {
		report.Running = append(report.Running, fleet.Run{Task: task, Run: run})
	}
	b.own.workers[id].holdSent = b.now - 1
	b.own.Report(id, report)
}

// Small tasks that keep coming must not starve a large one.
func TestLargeTaskGetsAWorker(t *testing.T) {
	const soon = reserveAfter + 2*clock.Second // the tasks on the worker have ended by then
	if took := crowd(t); took == 0 || took > soon+clock.Second {
		t.Errorf("the large task started after %d ms (0: never), want within %d ms", took, soon+clock.Second)
	}
}

// A worker whose lasting tasks leave too little is of no use to a large task.
func TestNoWorkerIsKeptInVain(t *testing.T) {
	b := newBench(entryOf("w"))
	b.report("w", func(job.Task) int64 { return 0 })
	b.own.Submit(stepJob(servingJob, job.Step{Count: 1, MilliCPU: 10000, Lasting: true}), func(Verdict) {})
	b.settle()
	b.own.Submit(stepJob(largeJob, job.Step{Count: 1, MilliCPU: 16000}), func(Verdict) {})
	for range 5 {
		b.now += 300
		b.report("w", func(job.Task) int64 { return 0 })
		b.settle()
	}
	if b.own.workers["w"].kept != nil {
		t.Error("a worker is kept that will never have room")
	}
}

// A worker that is kept for a large task is let to a lasting task that had its
// place, or has waited for long: such a task may not be without a run while there
// is room for it.
func TestLastingTaskThatLostItsPlaceTakesAKeptWorker(t *testing.T) {
	for _, test := range []struct {
		name   string
		number int
		waited clock.Millis
		want   int
	}{{"had its place", 1, 0, 1}, {"has waited", 0, lastingWait, 1}, {"has just come", 0, 0, 0}} {
		b := newBench(entryOf("w"))
		b.idle()
		large := newJob(stepJob(largeJob, job.Step{Count: 1, MilliCPU: 20000}))
		b.own.workers["w"].kept = &reservation{job: large, step: &large.steps[0], until: b.now + clock.Minute}
		b.own.Submit(stepJob(servingJob, job.Step{Count: 1, MilliCPU: 2000, Lasting: true}), func(Verdict) {})
		task := &b.own.jobs[servingJob].steps[0].tasks[0]
		task.number = test.number
		task.freeAt = b.now - test.waited
		b.settle()
		if got := b.lastingOn()["w"]; got != test.want {
			t.Errorf("%s: %d lasting tasks on the kept worker, want %d", test.name, got, test.want)
		}
	}
}
