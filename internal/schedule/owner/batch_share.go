package owner

import (
	"math"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/quota"
)

// Limits of the capacity that long-running tasks leave to batch tasks. A
// long-running task keeps its capacity until it is cancelled, while a batch
// task is urgent and over within seconds.
const (
	longRunningMaxWait = 4 * clock.Second           // wait after which a long-running task is admitted regardless of the batch share, and may take reserved workers
	batchMargin        = 1.25                       // capacity held back, as a multiple of the recent peak demand of batch tasks
	maxBatchShare      = 0.2                        // largest share of a pool's processors that is held back for batch tasks
	batchDemandDecay   = float64(20 * clock.Second) // time constant of the exponential decay of the peak demand, in ms
)

// poolCapacity sums up the usable workers of a pool; CPU amounts are in
// milli-CPU.
type poolCapacity struct {
	workers     []*worker
	changed     []*worker // of these, those that changed since the last placement pass; nil unless a step may be skipped by it
	totalCPU    int64
	longRunning int64   // committed to long-running tasks
	batchCPU    int64   // committed to batch tasks, or requested by waiting tasks of unexpired jobs that prefer this pool
	batchShare  float64 // share of totalCPU that long-running tasks must leave free
}

func (p *poolCapacity) add(w *worker) {
	p.workers = append(p.workers, w)
	p.totalCPU += w.entry.Room.MilliCPU
	p.longRunning += w.longRunning.MilliCPU
	p.batchCPU += w.committed.MilliCPU - w.longRunning.MilliCPU
}

// admits reports whether a pool may run a task: always, unless it is a
// long-running task that would use the share held back for batch tasks.
func (p *poolCapacity) admits(task *taskState, now clock.Millis) bool {
	if !task.spec().Lasting || task.mustRun(now) {
		return true
	}
	return float64(p.longRunning+task.spec().MilliCPU) <= (1-p.batchShare)*float64(p.totalCPU)
}

// addAssigned counts a task that was just placed.
func (p *poolCapacity) addAssigned(step *stepState) {
	if step.spec.Lasting {
		p.longRunning += committedRoom(step.spec).MilliCPU
	}
}

// batchDemand is the recent peak of the share of a pool that batch tasks
// requested.
type batchDemand struct {
	share float64
	at    clock.Millis
}

// updateBatchShares computes the share of each pool that is held back for batch
// tasks.
func (o *Owner) updateBatchShares(pools map[string]*poolCapacity, jobs []queuedJob) {
	var left map[*quota.Account]int64
	for _, queued := range jobs {
		if queued.longRunning || queued.expired || len(queued.pools) == 0 || pools[queued.pools[0]] == nil {
			continue
		}
		pools[queued.pools[0]].batchCPU += placeableCPU(queued.job, &left)
	}
	for name, pool := range pools {
		demand := o.batchDemands[name]
		share := min(float64(pool.batchCPU)/float64(max(pool.totalCPU, 1)), maxBatchShare/batchMargin)
		demand.share = max(share, demand.share*math.Exp(-float64(o.now-demand.at)/batchDemandDecay))
		demand.at = o.now
		o.batchDemands[name] = demand
		pool.batchShare = batchMargin * demand.share
	}
}

// waitingCPU is the milli-CPU that the startable tasks of a job would commit.
func (j *jobState) waitingCPU() int64 {
	sum := int64(0)
	for i := range j.steps {
		if step := &j.steps[i]; step.ready {
			sum += int64(step.waiting) * committedRoom(step.spec).MilliCPU
		}
	}
	return sum
}
