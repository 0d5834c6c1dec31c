package placement

import "github.com/oriolepier/oriolepier/internal/config/route"

const (
	// One worker in so many of a pool may be held, and always one.
	workersPerHold = 16
	// Calls of Place after which a hold that nobody asked for lapses.
	holdCalls = 4096
	// A hold moves to a worker that lacks this much less, as a part of its size.
	moveGain = 0.05
)

// hold keeps batch tasks off a worker until one large task fits there.
type hold struct {
	worker *entry
	asked  uint64 // call of Place that last asked for it
}

// Unhold ends the hold of a job that will not be placed after all.
func (x *Index) Unhold(job string) {
	held, known := x.holds[job]
	if !known {
		return
	}
	delete(x.holds, job)
	held.worker.heldFor = ""
	x.pool(held.worker.Pool).holds--
	if _, known := x.workers[held.worker.Name]; known {
		x.refresh(held.worker)
	}
}

// heldRoom returns the worker held for a job once the job fits there.
func (x *Index) heldRoom(need Need) *entry {
	held, known := x.holds[need.Job]
	if !known {
		return nil
	}
	held.asked = x.calls
	if held.worker.SetAside || !held.worker.spare(need.Class).Fits(need.Size) {
		return nil
	}
	return held.worker
}

// keep holds a worker for an overdue task, or moves its hold to one that has
// come closer to fitting.
func (x *Index) keep(need Need) {
	if need.Job == "" || need.Class == route.Urgent {
		return
	}
	x.lapse()
	held, holding := x.holds[need.Job]
	closest := x.closest(need)
	if closest == nil {
		return
	}
	if holding && closest.lacks(need)+moveGain > held.worker.lacks(need) {
		return
	}
	x.Unhold(need.Job)
	closest.heldFor = need.Job
	x.holds[need.Job] = &hold{worker: closest, asked: x.calls}
	x.pool(closest.Pool).holds++
	x.refresh(closest)
}

// closest returns, of some workers that could take the task when empty, the
// one that lacks least.
func (x *Index) closest(need Need) *entry {
	var best *entry
	for _, name := range need.Pools {
		pool, known := x.pools[name]
		if !known || pool.holds >= max(1, pool.workers/workersPerHold) && !x.holdsIn(need.Job, name) {
			continue
		}
		x.sample(&pool.forests[emptyView(need.Class)], need.Size, func(worker *entry) {
			if worker.heldFor != "" || worker.SetAside {
				return
			}
			if best == nil || worker.lacks(need) < best.lacks(need) {
				best = worker
			}
		})
		if best != nil {
			return best
		}
	}
	return nil
}

func (x *Index) holdsIn(job, pool string) bool {
	held, known := x.holds[job]
	return known && held.worker.Pool == pool
}

// lacks returns how far a worker is from having room, as a part of its size.
func (e *entry) lacks(need Need) float64 {
	return need.Size.Sub(e.spare(need.Class)).DominantShare(e.Size)
}

// lapse ends the holds that nobody has asked for in a long time.
func (x *Index) lapse() {
	for job, held := range x.holds {
		if x.calls-held.asked > holdCalls {
			x.Unhold(job)
		}
	}
}
