package owner

import (
	"cmp"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// maxContactAge is the age of a worker's last report from which the worker gets
// no new runs.
const maxContactAge clock.Millis = 2500

// placementInterval is the time between placement passes while only the time
// changes.
const placementInterval clock.Millis = 200

// runPlacementPass runs a placement pass: it finds workers for the tasks that
// could start, most urgent first.
func (o *Owner) runPlacementPass() {
	usablePools := o.usablePools()
	if len(usablePools) == 0 {
		o.scheduleNextPass() // the workers may be backing off
		return
	}
	o.countTrials()
	o.countSilent()
	o.refreshReservations(usablePools)
	jobs := o.queue()
	o.updateBatchShares(usablePools, jobs)
	o.updateExcess(jobs, usablePools)
	o.beginPass(usablePools)
	pass := placementPass{owner: o, pools: usablePools, failures: placementFailures{}}
	pass.run(jobs)
	o.reportBlocked(pass.blocked)
	o.startsHeldBack = pass.heldByStarts
	if pass.heldByStarts {
		o.scheduleNextPass()
	}
	if pass.unplaced > 0 {
		o.relocate(jobs)
		o.scheduleNextPass()
	}
	if pass.cut {
		o.timers.add(o.now+resumeInterval, func() { o.placementDue = true })
	}
}

// scheduleNextPass plans another placement pass, because the constraints on a
// task relax the longer it waits.
func (o *Owner) scheduleNextPass() {
	if o.nextPassAt > o.now {
		return
	}
	o.nextPassAt = o.now + placementInterval
	o.timers.add(o.nextPassAt, func() { o.placementDue = true })
}

// placeStep places the waiting tasks of a step until no worker suits the next
// one. It returns false if tasks are left waiting for a worker or for the limit of
// their customer, and true also if the job has failed or its customer's turn is over.
func (o *Owner) placeStep(j *jobState, step *stepState, pools []string, usablePools map[string]*poolCapacity, failures placementFailures) bool {
	ratings := o.resetRatings(len(pools))
	for k := range step.tasks {
		task := &step.tasks[k]
		if task.phase != job.Waiting {
			continue
		}
		if o.failIfUsedUp(task) {
			return true
		}
		if task.notBefore > o.now {
			o.timers.add(task.notBefore, func() { o.placementDue = true })
			continue
		}
		if o.turn.endsBefore(task.step) {
			return true
		}
		if o.holdsBack(j, step) {
			return false
		}
		if o.startsAtBound() {
			step.rejections = rejections{rejectedStarts: 1}
			return false
		}
		w := o.relocationTarget(task, step, pools)
		if w != nil {
			ratings = o.resetRatings(len(pools)) // the destination has less room than when it was rated
		} else {
			w = o.findPlace(task, step, pools, usablePools, ratings, failures)
		}
		if w == nil {
			return false
		}
		o.notePlacement(task, step, w)
		o.assign(task, w)
		o.addTrial(step, w)
	}
	return true
}

// findPlace returns the best worker for a task in the first pool that has one,
// or nil. Without one, a worker may be reserved for the step.
func (o *Owner) findPlace(task *taskState, step *stepState, pools []string, usablePools map[string]*poolCapacity, ratings []rating, failures placementFailures) *worker {
	var rejected rejections
	for i, name := range pools {
		pool := usablePools[name]
		if pool == nil || !pool.admits(task, o.now) {
			rejected[rejectedPool]++
			continue
		}
		request := o.requestOf(task, step)
		if known, covered := failures.covering(name, step, request); covered {
			request.rejections = known.rejections
		} else if known, blocked := o.stillBlocked(task, step, i, name, pool); blocked {
			rejected = rejected.plus(known)
			continue
		} else {
			if w := o.chooseWorker(&ratings[i], task, step, pool.workers); w != nil {
				pool.addAssigned(step)
				return w
			}
			request.rejections = ratings[i].countRejections()
			o.passCost += len(pool.workers)
			failures.record(name, step, request)
			o.noteBlocked(task, step, i, name, usablePools, request.rejections)
		}
		rejected = rejected.plus(request.rejections)
	}
	step.rejections = rejected
	o.reserve(task.job, step, pools, usablePools)
	return nil
}

// queuedJob is a job with startable tasks and its sort keys.
type queuedJob struct {
	job         *jobState
	pools       []string
	longRunning bool
	excess      bool // in excess of its customer's rate
	expired     bool // past deadlines.expiresAt
	priority    int  // of its queue; 0 is served first
}

// queue lists the jobs that have startable tasks, most urgent first:
// long-running jobs, then jobs that are not in excess of their customer's rate, then
// those that are not expired, each by priority and by the end of the latency objective.
func (o *Owner) queue() []queuedJob {
	var jobs []queuedJob
	for _, j := range o.jobs {
		if !j.startable() {
			continue
		}
		queue, known := o.tables.Queue(j.spec.Queue)
		if !known {
			continue
		}
		jobs = append(jobs, newQueuedJob(j, queue, o.now))
	}
	slices.SortFunc(jobs, compareQueued)
	return jobs
}

func newQueuedJob(j *jobState, queue manifest.Queue, now clock.Millis) queuedJob {
	return queuedJob{
		job: j, pools: queue.Pools, longRunning: j.longRunning(), excess: j.excess, expired: now > j.deadlines.expiresAt, priority: queue.Priority,
	}
}

// compareQueued orders jobs as the queue lists them.
func compareQueued(a, b queuedJob) int {
	return cmp.Or(
		-compareBool(a.longRunning, b.longRunning),
		compareBool(a.excess, b.excess),
		compareBool(a.expired, b.expired),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.job.deadlines.dueAt, b.job.deadlines.dueAt),
		cmp.Compare(a.job.spec.ID, b.job.spec.ID),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// usablePools returns the workers that may get new runs, by pool.
func (o *Owner) usablePools() map[string]*poolCapacity {
	pools := map[string]*poolCapacity{}
	for _, w := range o.sortedWorkers {
		if !o.isUsable(w) {
			continue
		}
		pool := pools[w.entry.Service]
		if pool == nil {
			pool = &poolCapacity{}
			pools[w.entry.Service] = pool
		}
		pool.add(w)
	}
	return pools
}

// isUsable reports whether a worker may get new runs: it is listed with the entry of
// its present incarnation, not draining, in service, in contact, not backing off, and
// leases may be granted there.
func (o *Owner) isUsable(w *worker) bool { return o.unusableReason(w) == "" }

// unusableReason is the reason why a worker gets no new runs, or "" if it may.
func (o *Owner) unusableReason(w *worker) string {
	switch {
	case !w.listed:
		return "not_listed"
	case !w.entryIsCurrent():
		return "restarted"
	case w.entry.Draining:
		return "draining"
	case o.domainsOut[w.entry.Domain]:
		return "out_of_service"
	case w.missedHolds > 0 || o.now-w.lastReportAt >= maxContactAge:
		return "not_in_contact"
	case o.leaseBlock(w) != leaseAllowed || w.leasesLapsed:
		return "no_lease"
	case o.now < w.backoffUntil:
		return "backing_off"
	}
	return ""
}

// constraintsAllow reports whether the label and the per-worker limit of a step
// let its tasks run on a worker.
func constraintsAllow(step *stepState, w *worker) bool {
	if step.spec.Label != "" && !slices.Contains(w.entry.Labels, step.spec.Label) {
		return false
	}
	if step.spec.PerWorker > 0 && step.runsByWorker[w.id] >= step.spec.PerWorker {
		return false
	}
	return true
}

// Weights of the terms of a worker's score, in units of one whole worker.
const (
	weightRack          = 4.0 // the worker is on the rack of the task's data
	weightAvoidedWorker = 3.0 // penalty for the worker on which the task's last run ended abnormally
	weightFailures      = 0.5 // penalty for each consecutive failed run on the worker
	weightPacking       = 1.0 // for the committed share; fuller workers come first, which leaves whole workers for large tasks
	weightLargeRoom     = 2.0 // penalty for the share of the recent large tasks that the worker could run; above weightPacking, as an almost full worker for large tasks is the wrong one for small ones
	weightSameImage     = 2.0 // times imageAffinity: bonus for tasks with a target of the same image, penalty for other images
)

// score rates a worker that has room for a task of a step; higher is better. A
// worker is rejected where the task would interfere too much with long-running
// tasks. The argument bestEffort is nil unless the step is best-effort.
func (o *Owner) score(step *stepState, bestEffort *bestEffortTask, w *worker) (score float64, rejected rejection) {
	if step.spec.Rack != "" && slices.Contains(w.entry.Labels, step.spec.Rack) {
		score += weightRack
	}
	score -= weightFailures * float64(w.failuresInARow)
	switch {
	case bestEffort != nil:
		gain, reason := o.scoreBestEffort(bestEffort, w)
		return score + gain, reason
	case step.spec.TargetMS > 0:
		return score + weightPacking*committed(w) + weightSameImage*o.imageAffinity(step, w), notRejected
	}
	return score + weightPacking*committed(w) - o.lossOfLargeRoom(step, w), notRejected
}

// committed is the share of a worker's processors that is committed to runs.
func committed(w *worker) float64 { return cpuShare(w.committed.MilliCPU, w) }

// cpuShare converts milli-CPU into a share of a worker's processors.
func cpuShare(milliCPU int64, w *worker) float64 {
	return float64(milliCPU) / float64(max(w.entry.Room.MilliCPU, 1))
}

// imageAffinity compares a long-running task with those on a worker: 1 if all
// have its image, -1 if none has, 0 for a worker without any.
func (o *Owner) imageAffinity(step *stepState, w *worker) float64 {
	same, other := 0, 0
	for r := range w.runs {
		spec := r.task.spec()
		switch {
		case spec.TargetMS == 0:
		case spec.Image == step.spec.Image:
			same++
		default:
			other++
		}
	}
	if same+other == 0 {
		return 0
	}
	return float64(same-other) / float64(same+other)
}

// updateWorkerHistory updates a worker's counts of consecutive failed runs and stalls,
// and the worker that the task's next run avoids.
func (o *Owner) updateWorkerHistory(r *run, cause runEnd) {
	w := r.worker
	switch cause {
	case endDone:
		o.noteOutcome(r, false)
		w.stallsInARow = 0
		w.lastDoneAt = o.now
	case endFailed:
		o.noteOutcome(r, true)
		r.task.avoidWorker = w.id
	case endLeaseLapsed, endWorkerRestarted, endStopped, endNotStarted:
		r.task.avoidWorker = w.id
	}
}
