package owner

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// A placement pass considers the waiting jobs, most urgent first. It ends by its cost, not
// by the number of steps that it leaves waiting: most of its cost goes to the most urgent
// jobs, and the rest to those behind them that were not considered for longest. While a pass does
// not reach all jobs, the next one follows after resumeInterval, so that each waiting job
// is considered within resumeInterval for each 25 steps that are waiting. Only then may a
// job be placed before a more urgent one, which was considered earlier in the sweep.
//
// Steps that cannot be placed by their label or their limit per worker are skipped by
// blockedSearch, so that passes reach thousands of them in their sequence.

// Bounds of the cost of a pass. The unit is a worker that is rated without getting a task;
// placing a task is not counted.
const (
	frontRatings                = 150 // ratings of all usable workers for the most urgent jobs
	sweepRatings                = 50  // and for jobs behind them
	minRatingCost               = 100 // least cost of rating all usable workers that the two bounds above are multiplied by
	stepCost                    = 16  // of considering a step, besides ratings
	tasksPerCost                = 8   // tasks of a step that are checked at the cost of one
	resumeInterval clock.Millis = 50  // until the next pass while one does not reach all jobs
)

// placementPass is a pass under way.
type placementPass struct {
	owner        *Owner
	pools        map[string]*poolCapacity
	failures     placementFailures
	blocked      blockedTasks
	unplaced     int  // steps left waiting for a worker
	cut          bool // some jobs were not considered
	heldByStarts bool // a worker, or the cell, may have no further start under way
}

// run considers the jobs, in their sequence, until the pass has cost its share; then jobs
// that were not considered in the present sweep over all jobs.
func (p *placementPass) run(jobs []queuedJob) {
	o := p.owner
	ratingCost := p.ratingCost()
	o.passCost = 0
	for queued := range o.inTurns(jobs, p.pools) {
		if o.passCost >= frontRatings*ratingCost {
			p.cut = true
			break
		}
		p.consider(queued)
	}
	if p.cut {
		p.sweep(jobs, o.passCost+sweepRatings*ratingCost)
		return
	}
	o.sweep++
}

// ratingCost is the cost of rating all usable workers.
func (p *placementPass) ratingCost() int {
	usable := 0
	for _, pool := range p.pools {
		usable += len(pool.workers)
	}
	return max(usable, minRatingCost)
}

// sweep considers jobs that were not considered since the last sweep began, up to a cost
// but at least one. It ends the sweep if none are left.
func (p *placementPass) sweep(jobs []queuedJob, limit int) {
	for _, queued := range jobs {
		if queued.job.sweep == p.owner.sweep {
			continue
		}
		if p.owner.passCost >= limit {
			return
		}
		p.consider(queued)
	}
	p.owner.sweep++
}

// consider places the tasks of a job that could start, until its customer's turn is over.
func (p *placementPass) consider(queued queuedJob) {
	o, j := p.owner, queued.job
	j.sweep = o.sweep
	for i := o.turn.firstStep; i < len(j.steps) && !o.turn.over; i++ {
		step := &j.steps[i]
		if !step.ready || step.waiting == 0 {
			continue
		}
		o.passCost += stepCost + len(step.tasks)/tasksPerCost
		if o.placeStep(j, step, queued.pools, p.pools, p.failures) {
			continue
		}
		o.blameShare(queued, step)
		p.blocked.add(step)
		p.heldByStarts = p.heldByStarts || step.rejections[rejectedStarts] > 0
		if !step.heldByQuota() && !step.heldByStarts() {
			p.unplaced++
		}
	}
}

// maxBlockedAge is the age from which a step that found no worker is tried on all workers
// again, whatever has changed.
const maxBlockedAge clock.Millis = 300

// blockedSearch is a search for a worker, in one pool, that found none for a step with a
// label or a limit per worker. Until a worker changes in its favor, a pass skips it.
type blockedSearch struct {
	pool       string
	pass       int          // newest pass in which it was found to be blocked; 0: none
	since      clock.Millis // when all workers were rated
	mustRun    bool         // taskState.mustRun of its next task
	rejections rejections
}

// workerState is what a worker offers to tasks with a label or a limit per worker.
type workerState struct {
	pass       int // in which it was usable and this was read; 0: never
	free       [3]int64
	runsEnded  int
	reserved   *reservation
	onTrial    bool
	takesStart bool
	labels     []string
}

// offer reads what a worker offers in the present pass.
func (o *Owner) offer(w *worker) workerState {
	free := w.freeRoom()
	return workerState{
		pass: o.passes, free: [3]int64{free.MilliCPU, free.MemoryMB, free.GPUs},
		runsEnded: w.runsEnded, reserved: w.reserved, onTrial: o.isOnTrial(w), takesStart: o.takesStart(w), labels: w.entry.Labels,
	}
}

// same reports whether nothing has changed since an earlier reading.
func (s workerState) same(earlier workerState) bool {
	return s.free == earlier.free && s.runsEnded == earlier.runsEnded && s.reserved == earlier.reserved &&
		s.onTrial == earlier.onTrial && s.takesStart == earlier.takesStart && slices.Equal(s.labels, earlier.labels)
}

// beginPass finds the workers that have changed since the last pass, if that one left
// steps that may be skipped.
func (o *Owner) beginPass(pools map[string]*poolCapacity) {
	o.passes++
	if o.offersPass != o.passes-1 || !o.hasBlockedSearches {
		return
	}
	for _, pool := range pools {
		for _, w := range pool.workers {
			if w.lastOffer.pass != o.passes-1 || !o.offer(w).same(w.lastOffer) {
				pool.changed = append(pool.changed, w)
			}
		}
	}
	o.readOffers(pools)
	o.hasBlockedSearches = false
}

// readOffers reads what all usable workers offer, for the next pass.
func (o *Owner) readOffers(pools map[string]*poolCapacity) {
	for _, pool := range pools {
		for _, w := range pool.workers {
			w.lastOffer = o.offer(w)
		}
	}
	o.offersPass = o.passes
}

// mayBlock reports whether searches for a step are remembered. Best-effort steps are left
// out: what they may use changes with each report and with time.
func (s *stepState) mayBlock() bool {
	return !s.spec.Fills && (s.spec.PerWorker > 0 || s.spec.Label != "")
}

// noteBlocked remembers that no worker of a pool can run the next task of a step. A step
// that a reservation holds back is left out: what a reservation allows changes with time.
func (o *Owner) noteBlocked(task *taskState, step *stepState, number int, name string, pools map[string]*poolCapacity, found rejections) {
	if !step.mayBlock() || found[rejectedReservation] > 0 {
		return
	}
	for len(step.blocked) <= number {
		step.blocked = append(step.blocked, blockedSearch{})
	}
	if o.offersPass != o.passes {
		o.readOffers(pools)
	}
	o.hasBlockedSearches = true
	step.blocked[number] = blockedSearch{pool: name, pass: o.passes, since: o.now, mustRun: task.mustRun(o.now), rejections: found}
}

// stillBlocked reports whether a step that found no worker in the last pass cannot find
// one now, without a look at the workers that have not changed.
func (o *Owner) stillBlocked(task *taskState, step *stepState, number int, name string, pool *poolCapacity) (rejections, bool) {
	if number >= len(step.blocked) || len(step.reservedOn) > 0 {
		return rejections{}, false
	}
	last := &step.blocked[number]
	mustRun := task.mustRun(o.now)
	if last.pass == 0 || last.pass != o.passes-1 || o.offersPass != o.passes ||
		last.pool != name || last.mustRun != mustRun || o.now-last.since >= maxBlockedAge {
		return rejections{}, false
	}
	rated := rating{candidate: o.newCandidate(task, step)}
	for _, w := range pool.changed {
		o.passCost++
		if _, reason := o.rateWorker(&rated, step, w); reason == notRejected {
			return rejections{}, false
		}
	}
	last.pass = o.passes
	o.hasBlockedSearches = true
	return last.rejections, true
}
