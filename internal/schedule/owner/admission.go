package owner

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// Limits of admitting long-running jobs. They keep their capacity until their
// callers cancel them, while batch tasks without room are late within a second;
// so a long-running job for which there is no room is refused, to be retried
// elsewhere or later.
const (
	longRunningRetryAfter clock.Millis = 2 * clock.Second // retry-after of a refused long-running job
	batchPacking                       = 0.8              // share of a worker's processors that large batch tasks can use
)

// lacksLongRunningCapacity reports whether less than half of a new job's
// long-running tasks would find room on a queue's workers, beside the
// long-running tasks already accepted and the share held back for batch tasks.
func (o *Owner) lacksLongRunningCapacity(pools []string, spec job.Spec) bool {
	requested, largest := longRunningCPU(&spec)
	if requested == 0 {
		return false
	}
	total, usable := int64(0), int64(0)
	for _, w := range o.sortedWorkers {
		if !w.listed || w.entry.Draining || !slices.Contains(pools, w.entry.Service) {
			continue
		}
		total += w.entry.Room.MilliCPU
		usable += w.entry.Room.MilliCPU / largest * largest // only whole tasks of the largest size fit a worker
	}
	if total == 0 {
		return false // nothing is known of the workers yet
	}
	batchShare := 0.0
	for _, name := range pools {
		batchShare = max(batchShare, batchMargin*o.batchDemands[name].share)
	}
	return float64(o.longRunningCommitted(pools)+requested/2) > float64(usable)-batchShare/batchPacking*float64(total)
}

// longRunningCommitted is the milli-CPU that the long-running tasks take,
// running or waiting, of all jobs whose queue has exactly these pools. Jobs that
// are not recorded yet count, too.
func (o *Owner) longRunningCommitted(pools []string) int64 {
	sum := int64(0)
	for _, j := range o.jobs {
		if j.state.Final() || !j.longRunning() {
			continue
		}
		if queue, known := o.tables.Queue(j.spec.Queue); known && slices.Equal(queue.Pools, pools) {
			requested, _ := longRunningCPU(&j.spec)
			sum += requested
		}
	}
	return sum
}

// longRunningCPU returns the milli-CPU that a job's long-running tasks take
// together, and that the largest of them takes.
func longRunningCPU(spec *job.Spec) (sum, largest int64) {
	for i := range spec.Steps {
		if step := &spec.Steps[i]; step.Lasting {
			sum += int64(step.Count) * step.MilliCPU
			largest = max(largest, step.MilliCPU)
		}
	}
	return sum, largest
}
