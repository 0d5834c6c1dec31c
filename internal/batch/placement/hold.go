package placement

import (
	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

const (
	// One worker in so many of a pool may be held, and always one.
	workersPerHold = 16
	// Calls of Place after which a hold that nobody asked for lapses.
	holdCalls = 4096
	// A hold moves to a worker that lacks this much less, as a part of its size.
	moveGain = 0.05
)

// hold keeps batch tasks off a worker until one task fits there, and other
// urgent tasks too if that one is urgent.
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
	held.worker.heldFor, held.worker.closed = "", false
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
	x.lapse()
	closest := x.closest(need)
	if closest == nil {
		return
	}
	held, holding := x.holds[need.Job]
	if holding && held.worker.serves(need) && closest.lacks(need)+moveGain > held.worker.lacks(need) {
		return
	}
	x.hold(need, closest)
}

// hold keeps others off a worker for a job, in place of an earlier one.
func (x *Index) hold(need Need, worker *entry) {
	x.Unhold(need.Job)
	worker.heldFor, worker.closed = need.Job, need.Class == route.Urgent
	x.holds[need.Job] = &hold{worker: worker, asked: x.calls}
	x.pool(worker.Pool).holds++
	x.refresh(worker)
}

// Preempt names a worker on which an urgent task that found no room could run
// if batch tasks made way, and what it lacks there. The worker is held for the
// task's Job until that is placed or Unhold is called; asked again it names the
// same worker while that can still serve. The name is empty if there is none.
func (x *Index) Preempt(need Need) (vm string, lacking amount.Amount) {
	held, holding := x.holds[need.Job]
	if holding && held.worker.serves(need) {
		held.asked = x.calls
		return held.worker.Name, held.worker.missing(need)
	}
	x.lapse()
	closest := x.closest(need)
	if closest == nil {
		return "", amount.Amount{}
	}
	x.hold(need, closest)
	return closest.Name, closest.missing(need)
}

// closest returns, of some workers that could take the task when empty, the
// one that lacks least.
func (x *Index) closest(need Need) *entry {
	var best *entry
	for _, name := range need.Pools {
		pool, known := x.pools[name]
		if !known || !x.mayHold(need, pool) {
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

// mayHold bounds the workers that are held for batch tasks.
func (x *Index) mayHold(need Need, pool *group) bool {
	if need.Class == route.Urgent || pool.holds < max(1, pool.workers/workersPerHold) {
		return true
	}
	held, known := x.holds[need.Job]
	return known && x.pool(held.worker.Pool) == pool
}

// serves reports whether a worker could take the task if it were empty.
func (e *entry) serves(need Need) bool {
	empty, _ := e.offers(emptyView(need.Class))
	return !e.SetAside && empty.Fits(need.Size)
}

// missing returns what a worker lacks for a task, no dimension below zero.
func (e *entry) missing(need Need) amount.Amount {
	return need.Size.Sub(e.spare(need.Class)).Max(amount.Amount{})
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
