package owner

import (
	"fmt"
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
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

// reservedHarness returns an owner with a worker of 20 cores that runs a task of
// 12 cores, likely for 1 s and surely for 2 s, and is reserved for a task of 16
// cores after that. Most requests are of 4 cores, so that tasks of 8 are large.
func reservedHarness(t *testing.T) (b *ownerHarness, w *worker) {
	t.Helper()
	b = newHarness(testEntry("w"))
	queue := manifest.Queue{Name: "q", Pools: []string{"pool"}, MaxFailures: 4, Priority: 1, ObjectiveAllowance: 30 * clock.Second}
	first := queue
	first.Name, first.Priority = "first", 0
	b.owner.SetManifest(manifest.New(2, []manifest.Queue{queue, first}, []manifest.Pool{{Name: "pool"}}, manifest.Limits{}))
	b.report("w", func(job.Task) int64 { return 0 })
	b.owner.sizes.Add(b.now, 4000, 1000)
	b.submitAndPlace(jobSpec(fmt.Sprintf("%016x", 1), job.Step{Count: 1, MilliCPU: 12000, EstimateMS: 1000}))
	b.submitAndPlace(jobSpec(largeJob, job.Step{Count: 1, MilliCPU: 16000, EstimateMS: 1000}))
	w = b.owner.workers["w"]
	if w.reserved == nil || w.reserved.start.Sure != b.now+2*clock.Second {
		t.Fatalf("reservation %+v, want one for 2 s from now", w.reserved)
	}
	return b, w
}

// submitAndPlace submits jobs and runs a placement pass. It reports whether the
// last one was placed.
func (b *ownerHarness) submitAndPlace(specs ...job.Spec) bool {
	for _, spec := range specs {
		b.owner.Submit(spec, func(Verdict) {})
	}
	b.owner.beginInput()
	b.owner.runPlacementPass()
	return b.owner.jobs[specs[len(specs)-1].ID].steps[0].waiting == 0
}

// Tasks may start on a reserved worker only if the reserved task can still start
// in time, or if they come before it; small ones are held back for a short time.
func TestReservedWorkerIsFilled(t *testing.T) {
	const id = "00000000000000ab"
	for _, test := range []struct {
		name   string
		queue  string
		step   job.Step
		waited clock.Millis
		strict bool
		due    clock.Millis // end of its objective from now; 0: by its queue
		want   bool

		reservedLate bool
	}{
		{name: "ends in time", step: job.Step{MilliCPU: 8000, EstimateMS: 1000}, want: true},
		{name: "may end too late", step: job.Step{MilliCPU: 8000, EstimateMS: 1100}},
		{name: "resumes and likely ends in time", step: job.Step{MilliCPU: 8000, EstimateMS: 1900, Checkpointing: true}, want: true},
		{name: "fits beside", step: job.Step{MilliCPU: 4000, EstimateMS: 60000}, want: true},
		{name: "without a declared duration", step: job.Step{MilliCPU: 5000}},
		{name: "held back", step: job.Step{MilliCPU: 6000, EstimateMS: 60000}, waited: longestHold - 1},
		{name: "held back long enough", step: job.Step{MilliCPU: 6000, EstimateMS: 60000}, waited: longestHold, want: true},
		{name: "held back by a strict reservation", step: job.Step{MilliCPU: 6000, EstimateMS: 60000}, waited: longestHold, strict: true},
		{name: "large", step: job.Step{MilliCPU: 8000, EstimateMS: 60000}, waited: longestHold},
		{name: "served first", queue: "first", step: job.Step{MilliCPU: 8000, EstimateMS: 60000}, want: true},
		{name: "about to be late", step: job.Step{MilliCPU: 8000, EstimateMS: 60000}, due: 60100, want: true},
		{name: "about to be late, strict reservation", step: job.Step{MilliCPU: 6000, EstimateMS: 60000}, waited: longestHold, strict: true, due: 60100, want: true},
		{name: "about to be late, as the reserved task is", step: job.Step{MilliCPU: 8000, EstimateMS: 60000}, due: 60100, reservedLate: true},
		{name: "best-effort", step: job.Step{MilliCPU: 8000, EstimateMS: 60000, Fills: true}, want: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b, w := reservedHarness(t)
			w.reserved.strict = test.strict
			if test.reservedLate {
				w.reserved.job.deadlines.dueAt = b.now
			}
			test.step.Count, test.step.MemoryMB = 1, 10
			spec := jobSpec(id, test.step)
			if test.queue != "" {
				spec.Queue = test.queue
			}
			b.owner.Submit(spec, func(Verdict) {})
			j := b.owner.jobs[id]
			j.submittedAt -= test.waited
			j.steps[0].tasks[0].waitingSince -= test.waited
			if test.due > 0 {
				j.deadlines.dueAt = b.now + test.due
			}
			b.owner.runPlacementPass()
			if got := j.steps[0].waiting == 0; got != test.want {
				t.Errorf("placed is %v, want %v", got, test.want)
			}
			if w.reserved == nil {
				t.Error("the reservation is gone")
			}
		})
	}
}

// A task that ends in time must fill the gap although a longer one of its size
// has failed in the same placement pass.
func TestShortTaskFillsGapAfterLongOne(t *testing.T) {
	b, _ := reservedHarness(t)
	long := jobSpec("00000000000000a1", job.Step{Count: 1, MilliCPU: 6000, EstimateMS: 5000})
	short := jobSpec("00000000000000a2", job.Step{Count: 1, MilliCPU: 6000, EstimateMS: 400})
	if !b.submitAndPlace(long, short) {
		t.Error("the short task was not placed")
	}
	if b.owner.jobs[long.ID].steps[0].waiting == 0 {
		t.Error("the long task was placed, though it delays the reserved one")
	}
}

// reportPercent reports that the worker's run is partly done. Before it, the other entries
// answer that they know no later owner, as in report.
func (b *ownerHarness) reportPercent(w *worker, percent int) {
	b.owner.NoLaterOwner(b.now)
	report := fleet.Report{ClockMS: int64(b.now), Incarnation: 1}
	for _, r := range w.sortedRuns() {
		report.Running = append(report.Running, fleet.Run{Task: r.task.key(), Run: r.runNumber, Percent: percent})
	}
	w.holdSentAt = b.now - 1
	b.owner.Report(w.id, report)
}

// A reservation must follow the reported progress: it moves to a worker that is
// free clearly earlier, and stays where the gain is small.
func TestReservationMovesOnlyForClearGain(t *testing.T) {
	for _, test := range []struct {
		name    string
		percent int // of the run on the other worker after 400 ms
		want    string
	}{{"clearly earlier", 60, "w2"}, {"little earlier", 22, "w1"}, {"later", 5, "w1"}} {
		b := newHarness(testEntry("w1"), testEntry("w2"))
		b.report("w1", func(job.Task) int64 { return 0 })
		b.report("w2", func(job.Task) int64 { return 0 })
		b.owner.sizes.Add(b.now, 4000, 1000)
		b.submitAndPlace(jobSpec(fmt.Sprintf("%016x", 1), job.Step{Count: 1, MilliCPU: 12000, EstimateMS: 1000}))
		b.submitAndPlace(jobSpec(fmt.Sprintf("%016x", 2), job.Step{Count: 1, MilliCPU: 12000, EstimateMS: 2000}))
		b.deliverPending()
		b.submitAndPlace(jobSpec(largeJob, job.Step{Count: 1, MilliCPU: 16000, EstimateMS: 1000}))
		w1, w2 := b.owner.workers["w1"], b.owner.workers["w2"]
		if w1.reserved == nil {
			t.Fatal("the worker with the earlier sure start is not reserved")
		}
		b.reportPercent(w2, test.percent)
		b.owner.runPlacementPass()
		got := "w1"
		if w2.reserved != nil {
			got = "w2"
		}
		if got != test.want || (w1.reserved != nil) == (w2.reserved != nil) {
			t.Errorf("%s: reserved is %s (w1 %+v, w2 %+v), want %s only", test.name, got, w1.reserved, w2.reserved, test.want)
		}
	}
}

// A reservation whose room is not free in time must be counted as expired, be
// promised anew by what is known then, and go on to hold the room together.
func TestReservationExpiresAndHoldsItsRoom(t *testing.T) {
	b, w := reservedHarness(t)
	before := w.reserved.promised
	b.now = before + reservationGrace
	b.reportPercent(w, 0)
	b.submitAndPlace(jobSpec("00000000000000ab", job.Step{Count: 1, MilliCPU: 8000, EstimateMS: 20000}))
	if got := b.owner.options.Metrics.set.GetOrCreateCounter(`oriolepier_placement_reservations_total{outcome="expired"}`).Get(); got != 1 {
		t.Errorf("%d reservations expired, want 1", got)
	}
	if w.reserved == nil || w.reserved.promised <= b.now || len(w.runs) != 1 {
		t.Errorf("reservation %+v beside %d runs, want one promised after %d beside one run", w.reserved, len(w.runs), b.now)
	}
}

// A task that no worker can ever run by its constraints must reserve nothing, nor
// must a job that has ended keep what it reserved.
func TestNothingIsReservedInVain(t *testing.T) {
	b, w := reservedHarness(t)
	b.owner.Cancel(JobRef{ID: largeJob}, func(Verdict) {})
	b.submitAndPlace(jobSpec("00000000000000ab", job.Step{Count: 1, MilliCPU: 16000, Label: "missing"}))
	if w.reserved != nil {
		t.Errorf("the worker is reserved: %+v", w.reserved)
	}
}
