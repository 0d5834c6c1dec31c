package owner

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// Terms of taking lasting jobs. What they take is gone until their callers cancel
// them, while urgent short work that finds no room is late within a second; a
// lasting job for which there is no room is better asked elsewhere or later.
const (
	lastingRetry clock.Millis = 2 * clock.Second // a refused lasting job may come back after it
	shortPacks                = 0.8              // share of a worker's processors that large short tasks can use
)

// crowded reports whether less than half of a new job's lasting tasks find room
// on a queue's workers, beside those that were taken before and short tasks.
func (o *Owner) crowded(pools []string, spec job.Spec) bool {
	asked, ask := lastingCPU(&spec)
	if asked == 0 {
		return false
	}
	total, holds := int64(0), int64(0)
	for _, w := range o.ordered {
		if !w.listed || w.entry.Draining || !slices.Contains(pools, w.entry.Service) {
			continue
		}
		total += w.entry.Room.MilliCPU
		holds += w.entry.Room.MilliCPU / ask * ask
	}
	if total == 0 {
		return false // nothing is known of the workers yet
	}
	kept := 0.0
	for _, name := range pools {
		kept = max(kept, shortMargin*o.demands[name].share)
	}
	return float64(o.lastingTaken(pools)+asked/2) > float64(holds)-kept/shortPacks*float64(total)
}

// lastingTaken is what the lasting tasks of the jobs of some pools take, in
// milli-CPU, whether they run or wait.
func (o *Owner) lastingTaken(pools []string) int64 {
	sum := int64(0)
	for _, j := range o.jobs {
		if j.state.Final() || !j.lasting() {
			continue
		}
		if queue, known := o.tables.Queue(j.spec.Queue); known && slices.Equal(queue.Pools, pools) {
			asked, _ := lastingCPU(&j.spec)
			sum += asked
		}
	}
	return sum
}

// lastingCPU returns what a job's lasting tasks take, in milli-CPU, and what the
// largest of them takes.
func lastingCPU(spec *job.Spec) (sum, most int64) {
	for i := range spec.Steps {
		if step := &spec.Steps[i]; step.Lasting {
			sum += int64(step.Count) * step.MilliCPU
			most = max(most, step.MilliCPU)
		}
	}
	return sum, most
}
