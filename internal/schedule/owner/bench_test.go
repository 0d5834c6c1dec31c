package owner

import (
	"fmt"
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// loadedBench returns an owner with a number of workers that have all reported.
func loadedBench(workers int) *bench {
	var entries []fleet.Entry
	for i := range workers {
		entries = append(entries, entryOf(fmt.Sprintf("w%05d", i)))
	}
	b := newBench(entries...)
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
			rig := loadedBench(workers)
			number := 0
			for b.Loop() {
				number++
				spec := stepJob(fmt.Sprintf("%016x", number), job.Step{Count: 16, MilliCPU: 1000, MemoryMB: 10})
				rig.own.Submit(spec, func(Verdict) {})
				rig.settle()
				rig.now += clock.Second
				for _, w := range rig.own.ordered {
					if len(rig.runs[w.id]) == 0 {
						continue
					}
					report := fleet.Report{ClockMS: int64(rig.now), Born: 1}
					for task, run := range rig.runs[w.id] {
						report.Ended = append(report.Ended, fleet.End{Number: w.noted + int64(len(report.Ended)) + 1, Task: task, Run: run})
					}
					clear(rig.runs[w.id])
					rig.own.Report(w.id, report)
				}
				rig.settle()
				for _, w := range rig.own.ordered {
					w.contactAt, w.clockAt = rig.now, rig.now
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(16*number), "ns/start")
		})
	}
}

// BenchmarkReport measures the handling of a worker's report of 28 runs.
func BenchmarkReport(b *testing.B) {
	rig := loadedBench(1)
	for i := range 7 {
		rig.own.Submit(stepJob(fmt.Sprintf("%016x", i+1), job.Step{Count: 4, MilliCPU: 500, MemoryMB: 10}), func(Verdict) {})
	}
	rig.settle()
	for b.Loop() {
		rig.now += 100
		rig.report("w00000", func(job.Task) int64 { return 400 })
	}
}

// BenchmarkLoad measures a takeover of 500 jobs of 16 tasks.
func BenchmarkLoad(b *testing.B) {
	world := newWorld(&testing.T{}, 1, 3)
	first := world.seat()
	for i := range 500 {
		j := newJob(stepJob(fmt.Sprintf("%016x", i+1), job.Step{Count: 16, MilliCPU: 1000, MemoryMB: 10}))
		j.newSpec = true
		world.keep(first.own.recordsOf(j))
	}
	records := world.records()
	for b.Loop() {
		next := New(first.own.options)
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
			rig := backlogBench(workers)
			for b.Loop() {
				rig.own.place()
			}
		})
	}
}

// backlogBench returns an owner whose workers all run long-running tasks, with
// 150 waiting jobs of best-effort tasks incompatible with them.
func backlogBench(workers int) *bench {
	rig := loadedBench(workers)
	rig.trainEstimate(30)
	spec := servingSpec(2 * workers)
	spec.Steps[0].PerWorker = 2
	rig.own.Submit(spec, func(Verdict) {})
	rig.settle()
	for i := range 150 {
		fill := fillSpec(20)
		fill.ID = job.ID(fmt.Sprintf("%016x", 1000+i))
		rig.own.Submit(fill, func(Verdict) {})
	}
	rig.own.enter()
	for _, w := range rig.own.ordered {
		w.contactAt, w.clockAt = rig.now, rig.now
	}
	return rig
}
