package owner

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// beside counts the lasting and the short tasks on all workers.
func (b *bench) beside() (lasting, short int) {
	for _, runs := range b.runs {
		for task := range runs {
			if task.Job == servingJob {
				lasting++
			} else {
				short++
			}
		}
	}
	return lasting, short
}

// idle reports all workers as they are.
func (b *bench) idle() {
	for id := range b.runs {
		b.report(id, func(job.Task) int64 { return 10 })
	}
	b.settle()
}

// Lasting tasks leave the room that short ones have wanted lately, and get it
// all the same once they have waited for long.
func TestLastingTasksLeaveRoomToShortOnes(t *testing.T) {
	b := newBench(entryOf("w1"), entryOf("w2"))
	b.idle()
	for i := range 2 {
		short := stepJob(fmt.Sprintf("%016x", 100+i), job.Step{Count: 1, MilliCPU: 2000, EstimateMS: 1000})
		b.own.Submit(short, func(Verdict) {})
	}
	b.settle()
	b.own.Submit(stepJob(servingJob, job.Step{Count: 20, MilliCPU: 2000, Lasting: true}), func(Verdict) {})
	b.settle()
	lasting, short := b.beside()
	if diff := cmp.Diff([]int{17, 2}, []int{lasting, short}); diff != "" {
		t.Errorf("lasting and short tasks at first (-want +got):\n%s", diff)
	}
	for began := b.now; b.now-began < lastingWait+clock.Second; {
		b.own.Tick()
		b.idle()
	}
	lasting, short = b.beside()
	if diff := cmp.Diff([]int{18, 2}, []int{lasting, short}); diff != "" {
		t.Errorf("lasting and short tasks after a while (-want +got):\n%s", diff)
	}
}
