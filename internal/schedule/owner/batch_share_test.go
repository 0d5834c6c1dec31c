package owner

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// countTasks counts the long-running and the batch tasks on all workers.
func (b *ownerHarness) countTasks() (longRunning, batch int) {
	for _, runs := range b.runs {
		for task := range runs {
			if task.Job == servingJob {
				longRunning++
			} else {
				batch++
			}
		}
	}
	return longRunning, batch
}

// reportAndDeliver sends reports of all workers and answers the pending orders.
func (b *ownerHarness) reportAndDeliver() {
	for id := range b.runs {
		b.report(id, func(job.Task) int64 { return 10 })
	}
	b.deliverPending()
}

// Long-running tasks leave the capacity that batch tasks requested recently,
// and get it after they have waited for longRunningMaxWait.
func TestLongRunningTasksLeaveCapacityForBatchTasks(t *testing.T) {
	b := newHarness(testEntry("w1"), testEntry("w2"))
	b.reportAndDeliver()
	for i := range 2 {
		batch := jobSpec(fmt.Sprintf("%016x", 100+i), job.Step{Count: 1, MilliCPU: 2000, EstimateMS: 1000})
		b.owner.Submit(batch, func(Verdict) {})
	}
	b.deliverPending()
	b.owner.Submit(jobSpec(servingJob, job.Step{Count: 20, MilliCPU: 2000, Lasting: true}), func(Verdict) {})
	b.deliverPending()
	longRunning, batch := b.countTasks()
	if diff := cmp.Diff([]int{17, 2}, []int{longRunning, batch}); diff != "" {
		t.Errorf("long-running and batch tasks at first (-want +got):\n%s", diff)
	}
	for start := b.now; b.now-start < longRunningMaxWait+clock.Second; {
		b.owner.Tick()
		b.reportAndDeliver()
	}
	longRunning, batch = b.countTasks()
	if diff := cmp.Diff([]int{18, 2}, []int{longRunning, batch}); diff != "" {
		t.Errorf("long-running and batch tasks after longRunningMaxWait (-want +got):\n%s", diff)
	}
}
