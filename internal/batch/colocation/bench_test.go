package colocation_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/colocation"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

const tasksOnVM = 27

// round is one report of each VM: two services and 27 tasks of 20 kinds.
func round(count int) ([]worker.Usage, [][]colocation.Task) {
	reports, tasks := make([]worker.Usage, count), make([][]colocation.Task, count)
	for i := range count {
		reports[i] = worker.Usage{VM: fmt.Sprint("vm-", i), Services: []worker.Service{
			{Name: "ration", SlowdownPerc: 100 + i%40}, {Name: "order", SlowdownPerc: 105},
		}}
		for t := range tasksOnVM {
			job, kind := fmt.Sprintf("cell.0-%08x%08x", i, t), fmt.Sprint("kind-", (i+t)%20)
			reports[i].TaskUsage = append(reports[i].TaskUsage, worker.TaskUsage{
				Job: job, Attempt: 1, Kind: kind, Used: amount.Amount{MilliCores: 1000 + int64(t)*50},
			})
			tasks[i] = append(tasks[i], colocation.Task{Job: job, Attempt: 1, Kind: kind})
		}
	}
	return reports, tasks
}

// BenchmarkReport observes a report and decides about its VM.
func BenchmarkReport(b *testing.B) {
	for _, count := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			reports, tasks := round(count)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			estimator := colocation.New(colocation.Options{})
			now := clock.Hour
			estimator.Observe(now, reports)
			runtime.GC()
			runtime.ReadMemStats(&after)
			permits := colocation.Permits{Throttle: true, Evict: true}
			at := 0
			for b.Loop() {
				if at%count == 0 {
					now += 10 * clock.Second
				}
				estimator.Observe(now, reports[at%count:at%count+1])
				estimator.Decide(now, reports[at%count].VM, permits, tasks[at%count])
				at++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "B/vm")
		})
	}
}

func BenchmarkHarm(b *testing.B) {
	reports, _ := round(1000)
	estimator := colocation.New(colocation.Options{})
	estimator.Observe(clock.Hour, reports)
	at := 0
	for b.Loop() {
		at++
		estimator.Harm(reports[at%1000].VM, "kind-3", amount.Amount{MilliCores: 2000})
	}
}
