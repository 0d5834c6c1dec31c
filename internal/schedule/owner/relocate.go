package owner

import (
	"maps"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/relocation"
)

// Long-running tasks are relocated where best-effort tasks wait for a worker
// without images that they are incompatible with; package relocation decides
// which and where. A task must never run twice, so it is stopped first; its room
// on the destination is held until it starts there.

// Limits of relocations.
const (
	relocateAfter               clock.Millis = 600               // wait of a best-effort job that asks for a relocation
	relocationInterval          clock.Millis = 300               // between plans, so that each sees the effect of the one before
	relocationIntervalPerWorker              = 2000              // µs for each worker of the cell, if that is longer; bounds the cost in a large cell
	relocationTimeout           clock.Millis = 3 * clock.Second  // after it a task may be placed anywhere
	minTimeOnWorker             clock.Millis = 10 * clock.Second // least time that a task stays on a worker
	maxRelocatingShare                       = 0.05              // share of the long-running tasks that are relocated at a time
)

// relocating is the destination of a long-running task that is being relocated.
type relocating struct {
	to    *worker
	until clock.Millis
}

// relocate plans a relocation for the best-effort tasks that a placement pass
// left waiting, and begins it.
func (o *Owner) relocate(jobs []queuedJob) {
	if o.now < o.nextRelocationAt {
		return
	}
	pool, demands := o.waitingDemands(jobs)
	if len(demands) == 0 {
		return
	}
	o.nextRelocationAt = o.now + max(relocationInterval, o.scaleByWorkers(relocationIntervalPerWorker))
	workers, listed, runs := o.relocationWorkers(pool)
	planner := relocation.New(workers, demands, func(serving, bestEffort string) bool {
		return o.interference.Pair(serving, bestEffort).Incompatible()
	})
	plan, ok := planner.Best()
	if !ok || len(o.relocations) > 0 && float64(len(o.relocations)+len(plan.Moves)) > maxRelocatingShare*float64(len(runs)) {
		return
	}
	o.options.Log.Info().Str("event", "worker_cleared").Str("worker", listed[plan.From].id).Int("moves", len(plan.Moves)).
		Int64("gain_milli_cpu", plan.Gain).Int("waiting_images", len(demands)).Int("relocating", len(o.relocations)).Send()
	for _, move := range plan.Moves {
		o.beginRelocation(runs[move.Task.ID], listed[move.To])
	}
}

// waitingDemands returns the pool in which best-effort tasks request most
// processors in vain, and what they request there by image. Steps that need a
// label are left out, as clearing any worker may not help them.
func (o *Owner) waitingDemands(jobs []queuedJob) (pool string, demands []relocation.Demand) {
	byPool := map[string]int64{}
	byImage := map[string]map[string]int64{} // by pool
	for _, queued := range jobs {
		if queued.expired || o.now-queued.job.lastPlacementChangeAt < relocateAfter {
			continue
		}
		for i := range queued.job.steps {
			step := &queued.job.steps[i]
			if !step.ready || step.waiting == 0 || !step.spec.Fills || step.spec.Label != "" || step.heldByQuota() {
				continue
			}
			waiting := int64(step.waiting) * step.spec.MilliCPU
			for _, name := range queued.pools {
				if byImage[name] == nil {
					byImage[name] = map[string]int64{}
				}
				byPool[name] += waiting
				byImage[name][step.spec.Image] += waiting
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byPool)) {
		if byPool[name] > byPool[pool] {
			pool = name
		}
	}
	for image, waiting := range byImage[pool] {
		demands = append(demands, relocation.Demand{Image: image, MilliCPU: waiting})
	}
	return pool, demands
}

// relocationWorkers describes the usable workers of a pool to the planner, and
// lists them and their long-running runs in the same order.
func (o *Owner) relocationWorkers(pool string) (workers []relocation.Worker, listed []*worker, runs []*run) {
	for _, w := range o.sortedWorkers {
		if w.entry.Service != pool || !o.isUsable(w) {
			continue
		}
		described := relocation.Worker{
			Free: w.freeRoom(), Idle: int64(o.plan(w).idleShare * float64(w.entry.Room.MilliCPU)), Loads: map[string]int64{},
			Allows: func(task relocation.Task, planned []relocation.Task) bool {
				return o.mayRelocate(runs, task, planned, w)
			},
		}
		for _, r := range w.sortedRuns() {
			spec := r.task.spec()
			switch {
			case spec.Fills:
				described.Loads[spec.Image] += spec.MilliCPU
			case spec.TargetMS > 0:
				described.Tasks = append(described.Tasks, relocation.Task{
					ID: len(runs), Image: spec.Image, Room: committedRoom(spec),
					Use: int64(float64(spec.MilliCPU) * o.servingCPUUse(r)), Movable: o.movable(r),
				})
				runs = append(runs, r)
			}
		}
		workers = append(workers, described)
		listed = append(listed, w)
	}
	return workers, listed, runs
}

// movable reports whether a long-running run may be stopped to run elsewhere.
// Callers that limit how many tasks may be without a run keep theirs, and so do
// customers above a lowered limit, which would not let the task start again.
func (o *Owner) movable(r *run) bool {
	return r.stage == stageConfirmed && r.task.spec().MayMiss == 0 && o.now-r.startedAt >= minTimeOnWorker && r.keepsQuota()
}

// mayRelocate reports whether the limits of a task's step allow it on a worker,
// beside the tasks that the plan moves there.
func (o *Owner) mayRelocate(runs []*run, moved relocation.Task, planned []relocation.Task, w *worker) bool {
	task := runs[moved.ID].task
	step := &task.job.steps[task.step]
	queue, known := o.tables.Queue(task.job.spec.Queue)
	if !known || !slices.Contains(queue.Pools, w.entry.Service) || !constraintsAllow(step, w) {
		return false
	}
	if step.spec.PerWorker == 0 {
		return true
	}
	return !slices.ContainsFunc(planned, func(other relocation.Task) bool {
		return runs[other.ID].task.job == task.job
	})
}

// beginRelocation stops a run and holds room for its task on the destination.
func (o *Owner) beginRelocation(r *run, to *worker) {
	to.promised = to.promised.Plus(committedRoom(r.task.spec()), 1)
	o.relocations[r.task] = relocating{to: to, until: o.now + relocationTimeout}
	o.options.Metrics.Relocations.Inc()
	o.logRun("run_relocated", r).Str("to", to.id).Str("image", r.task.spec().Image).Int64("ran_ms", int64(age(r.startedAt, o.now))).Send()
	o.stopRun(r, "makes room for best-effort tasks")
}

// relocationTarget ends the relocation of a waiting task, if there is one, and
// returns its destination if that may still run it.
func (o *Owner) relocationTarget(task *taskState, step *stepState, pools []string) *worker {
	relocated, ok := o.relocations[task]
	if !ok {
		return nil
	}
	o.endRelocation(task, relocated)
	w := relocated.to
	if !o.isUsable(w) || !o.takesStart(w) || !slices.Contains(pools, w.entry.Service) || !constraintsAllow(step, w) || !committedRoom(step.spec).FitsIn(w.freeRoom()) {
		return nil
	}
	return w
}

// expireRelocations ends the relocations of tasks that took too long or will not
// run again.
func (o *Owner) expireRelocations() {
	for task, relocated := range o.relocations {
		if o.now >= relocated.until || task.job.state.Final() || task.phase == job.Done {
			o.endRelocation(task, relocated)
		}
	}
}

func (o *Owner) endRelocation(task *taskState, relocated relocating) {
	relocated.to.promised = relocated.to.promised.Plus(committedRoom(task.spec()), -1)
	delete(o.relocations, task)
}
