package owner

import (
	"fmt"
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// loadedHarness returns an owner with a number of workers that have all
// reported.
func loadedHarness(workers int) *ownerHarness {
	var entries []fleet.Entry
	for i := range workers {
		entries = append(entries, testEntry(fmt.Sprintf("w%05d", i)))
	}
	b := newHarness(entries...)
	for _, entry := range entries {
		b.report(entry.ID, func(job.Task) int64 { return 0 })
	}
	return b
}

// BenchmarkJob measures a job of 16 tasks from submission to completion,
// without the calls to store and workers.
func BenchmarkJob(b *testing.B) {
	for _, workers := range []int{66, 490, 1190} {
		b.Run(fmt.Sprint(workers, "workers"), func(b *testing.B) {
			harness := loadedHarness(workers)
			number := 0
			for b.Loop() {
				number++
				spec := jobSpec(fmt.Sprintf("%016x", number), job.Step{Count: 16, MilliCPU: 1000, MemoryMB: 10})
				harness.owner.Submit(spec, func(Verdict) {})
				harness.deliverPending()
				harness.now += clock.Second
				for _, w := range harness.owner.sortedWorkers {
					if len(harness.runs[w.id]) == 0 {
						continue
					}
					report := fleet.Report{ClockMS: int64(harness.now), Incarnation: 1}
					for task, run := range harness.runs[w.id] {
						report.Ended = append(report.Ended, fleet.End{Number: w.endsApplied + int64(len(report.Ended)) + 1, Task: task, Run: run})
					}
					clear(harness.runs[w.id])
					harness.owner.Report(w.id, report)
				}
				harness.deliverPending()
				for _, w := range harness.owner.sortedWorkers {
					w.lastReportAt, w.clockReadAt = harness.now, harness.now
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(16*number), "ns/start")
		})
	}
}

// BenchmarkReport measures the handling of a worker's report of 28 runs.
func BenchmarkReport(b *testing.B) {
	harness := loadedHarness(1)
	for i := range 7 {
		harness.owner.Submit(jobSpec(fmt.Sprintf("%016x", i+1), job.Step{Count: 4, MilliCPU: 500, MemoryMB: 10}), func(Verdict) {})
	}
	harness.deliverPending()
	for b.Loop() {
		harness.now += 100
		harness.report("w00000", func(job.Task) int64 { return 400 })
	}
}

// BenchmarkLoad measures loading 500 jobs of 16 waiting tasks; no run is
// inherited.
func BenchmarkLoad(b *testing.B) {
	sim := newSimulation(&testing.T{}, 1, 3)
	first := sim.simOwner()
	for i := range 500 {
		j := newJob(jobSpec(fmt.Sprintf("%016x", i+1), job.Step{Count: 16, MilliCPU: 1000, MemoryMB: 10}))
		j.specUnsent = true
		first.owner.markChanged(j)
		sim.storeRecords(first.owner.jobRecords(j))
	}
	records := sim.records()
	for b.Loop() {
		next := New(first.owner.options)
		next.Fenced(1)
		if err := next.Load(records); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkBacklog measures a placement pass over 150 jobs whose tasks are
// incompatible with the long-running ones on every worker.
func BenchmarkBacklog(b *testing.B) {
	for _, workers := range []int{66, 490} {
		b.Run(fmt.Sprint(workers, "workers"), func(b *testing.B) {
			harness := backlogHarness(workers)
			for b.Loop() {
				harness.owner.runPlacementPass()
			}
		})
	}
}

// BenchmarkBacklogOfCustomers measures the pass of BenchmarkBacklog with twenty
// customers, and with all waiting jobs held back by their limits.
func BenchmarkBacklogOfCustomers(b *testing.B) {
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprintf("490workers/limited=%t", limited), func(b *testing.B) {
			harness := backlogHarness(490)
			var customers []manifest.Customer
			for i := range 20 {
				customers = append(customers, manifest.Customer{Name: fmt.Sprint("c", i), Weight: 1})
				if limited {
					customers[i].Limit.MilliCPU = 1
				}
			}
			harness.setCustomers(customers...)
			number := 0
			for _, queued := range harness.owner.queue() {
				queued.job.account = harness.owner.quotas.Account(customers[number%len(customers)].Name)
				number++
			}
			for b.Loop() {
				harness.owner.runPlacementPass()
			}
		})
	}
}

// backlogHarness returns an owner whose workers all run long-running tasks,
// with 150 waiting jobs of best-effort tasks incompatible with them.
func backlogHarness(workers int) *ownerHarness {
	harness := loadedHarness(workers)
	harness.trainEstimate(30)
	spec := servingSpec(2 * workers)
	spec.Steps[0].PerWorker = 2
	harness.owner.Submit(spec, func(Verdict) {})
	harness.deliverPending()
	for i := range 150 {
		bestEffort := bestEffortSpec(20)
		bestEffort.ID = job.ID(fmt.Sprintf("%016x", 1000+i))
		harness.owner.Submit(bestEffort, func(Verdict) {})
	}
	harness.owner.beginInput()
	for _, w := range harness.owner.sortedWorkers {
		w.lastReportAt, w.clockReadAt = harness.now, harness.now
	}
	return harness
}

// BenchmarkBlocked measures a placement pass over 400 jobs whose next task no worker may
// take by its limit per worker.
func BenchmarkBlocked(b *testing.B) {
	for _, workers := range []int{66, 490, 1190} {
		b.Run(fmt.Sprint(workers, "workers"), func(b *testing.B) {
			harness := blockedHarness(workers)
			for b.Loop() {
				harness.owner.now += 25
				harness.owner.ownershipConfirmedAt = harness.owner.now
				harness.owner.runPlacementPass()
			}
		})
	}
}

// blockedHarness returns an owner with 400 jobs of tasks that may run once on each worker,
// and one task too many.
func blockedHarness(workers int) *ownerHarness {
	harness := loadedHarness(workers)
	harness.owner.beginInput()
	for i := range 400 {
		spec := jobSpec(fmt.Sprintf("%016x", 1000+i), job.Step{Count: workers + 1, MilliCPU: 1, PerWorker: 1, Lasting: true})
		harness.owner.Submit(spec, func(Verdict) {})
		step := &harness.owner.jobs[spec.ID].steps[0]
		for _, w := range harness.owner.sortedWorkers {
			step.runsByWorker[w.id] = 1
		}
	}
	for _, w := range harness.owner.sortedWorkers {
		w.lastReportAt, w.clockReadAt = harness.now+clock.Hour, harness.now
	}
	return harness
}

// BenchmarkBatchBacklog measures a placement pass over 150 jobs of mixed sizes
// whose tasks find no room, because smaller ones use all workers.
func BenchmarkBatchBacklog(b *testing.B) {
	for _, workers := range []int{66, 490, 1190} {
		b.Run(fmt.Sprint(workers, "workers"), func(b *testing.B) {
			harness := batchBacklogHarness(workers)
			for b.Loop() {
				harness.owner.runPlacementPass()
			}
		})
	}
}

// batchBacklogHarness returns an owner whose workers each run five tasks of four
// cores, with 150 waiting jobs of batch tasks of 5 to 19 cores and 0.5 to 5 s.
func batchBacklogHarness(workers int) *ownerHarness {
	harness := loadedHarness(workers)
	for i := range workers {
		spec := jobSpec(fmt.Sprintf("%016x", 100000+i), job.Step{Count: 5, MilliCPU: 4000, MemoryMB: 10, EstimateMS: 1000 + int64(i)*7%3000})
		harness.owner.Submit(spec, func(Verdict) {})
	}
	harness.deliverPending()
	for i := range 150 {
		spec := jobSpec(fmt.Sprintf("%016x", 1000+i), job.Step{Count: 2, MilliCPU: 5000 + int64(i)%15*1000, MemoryMB: 10, EstimateMS: 500 + int64(i)*977%4500})
		harness.owner.Submit(spec, func(Verdict) {})
	}
	harness.now += clock.Second
	harness.owner.beginInput()
	for _, w := range harness.owner.sortedWorkers {
		w.lastReportAt, w.clockReadAt = harness.now, harness.now
	}
	return harness
}
