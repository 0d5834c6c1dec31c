package owner

import (
	"cmp"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// staleContact: a worker that has not answered for so long gets no new runs.
const staleContact clock.Millis = 2500

// passPeriod is the time between passes while nothing changes but the time.
const passPeriod clock.Millis = 200

// maxTriesPerPass bounds the tasks for which no worker is found in one pass.
const maxTriesPerPass = 200

// place finds workers for the tasks that could start, most urgent first.
func (o *Owner) place() {
	usable := o.usable()
	if len(usable) == 0 {
		return
	}
	o.countTrials()
	o.dropReservations()
	jobs := o.queue()
	o.keepForShort(usable, jobs)
	found := misses{}
	blocked := 0
	for _, next := range jobs {
		j := next.job
		for i := range j.steps {
			if step := &j.steps[i]; step.open && step.waiting > 0 {
				blocked += o.placeStep(j, step, next.pools, usable, found)
			}
		}
		if blocked > maxTriesPerPass {
			break
		}
	}
	if blocked > 0 {
		o.passAgain()
	}
}

// passAgain plans another pass: what a task may have depends on how long it has
// waited.
func (o *Owner) passAgain() {
	if o.nextPass > o.now {
		return
	}
	o.nextPass = o.now + passPeriod
	o.timers.add(o.nextPass, func() { o.placeDue = true })
}

// placeStep places the waiting tasks of a step until one fits nowhere; it
// returns 1 then.
func (o *Owner) placeStep(j *jobState, step *stepState, pools []string, usable map[string]*poolRoom, found misses) int {
	ratings := o.newRatings(len(pools))
	for k := range step.tasks {
		task := &step.tasks[k]
		if task.phase != job.Waiting {
			continue
		}
		if task.notBefore > o.now {
			o.timers.add(task.notBefore, func() { o.placeDue = true })
			continue
		}
		var w *worker
		for i, name := range pools {
			pool := usable[name]
			if pool == nil || !pool.admits(task, o.now) {
				continue
			}
			if !found.cover(name, j, step) {
				w = o.choose(&ratings[i], task, step, pool.workers)
			}
			if w != nil {
				pool.assigned(step)
				break
			}
			found.note(name, j, step)
			o.reserve(j, step, pool.workers)
		}
		if w == nil {
			return 1
		}
		o.assign(task, w)
		o.noteTrial(step, w)
	}
	return 0
}

// queuedJob is a job with startable tasks, and what decides its turn.
type queuedJob struct {
	job      *jobState
	pools    []string
	lasting  bool
	useless  bool // its caller has no use for it any more
	priority int  // of its queue, 0 first
}

// queue lists the jobs that have startable tasks, most urgent first: lasting
// ones, then those that are still of use, by priority and by the end of their
// objective.
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
		jobs = append(jobs, queuedJob{
			job: j, pools: queue.Pools, lasting: j.lasting(), useless: o.now > j.objects.late, priority: queue.Priority,
		})
	}
	slices.SortFunc(jobs, func(a, b queuedJob) int {
		return cmp.Or(
			-compareBool(a.lasting, b.lasting),
			compareBool(a.useless, b.useless),
			cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.job.objects.onTime, b.job.objects.onTime),
			cmp.Compare(a.job.spec.ID, b.job.spec.ID),
		)
	})
	return jobs
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

// usable sums up the workers that may get new runs, by pool.
func (o *Owner) usable() map[string]*poolRoom {
	pools := map[string]*poolRoom{}
	for _, w := range o.ordered {
		if !o.mayUse(w) {
			continue
		}
		pool := pools[w.entry.Service]
		if pool == nil {
			pool = &poolRoom{}
			pools[w.entry.Service] = pool
		}
		pool.add(w)
	}
	return pools
}

func (o *Owner) mayUse(w *worker) bool {
	return w.listed && !w.entry.Draining && !o.out[w.entry.Domain] &&
		w.clockAt != 0 && w.misses == 0 && !w.lapsed && o.now-w.contactAt < staleContact && o.now >= w.restUntil
}

// allowed reports whether a step's own terms let its tasks run on a worker.
func allowed(step *stepState, w *worker) bool {
	if step.spec.Label != "" && !slices.Contains(w.entry.Labels, step.spec.Label) {
		return false
	}
	if step.spec.PerWorker > 0 && step.onHost[w.id] >= step.spec.PerWorker {
		return false
	}
	return true
}

// Weights of the terms of a score, in units of one whole worker.
const (
	weightRack     = 4.0 // data is on the worker's rack
	weightAvoid    = 3.0 // the task's last run went wrong there
	weightFaults   = 0.5 // for each of the last runs in a row that went wrong there
	weightTight    = 1.0 // prefer the fuller worker, which keeps room for large tasks
	weightSameWork = 2.0 // lasting tasks of an image are kept together
)

// score rates a worker that has room for a task of a step; higher is better. It
// is not ok where the task would do harm. Fills is nil for a step that does not.
func (o *Owner) score(step *stepState, fills *filler, w *worker) (score float64, ok bool) {
	if step.spec.Rack != "" && slices.Contains(w.entry.Labels, step.spec.Rack) {
		score += weightRack
	}
	score -= weightFaults * float64(w.faults)
	switch {
	case fills != nil:
		gain, harmless := o.scoreFill(fills, w)
		return score + gain, harmless
	case step.spec.TargetMS > 0:
		return score + weightTight*used(w) + weightSameWork*o.sameWork(step, w), true
	}
	return score + weightTight*used(w), true
}

// used is the share of a worker's processors that is committed.
func used(w *worker) float64 { return share(w.used.MilliCPU, w) }

func share(milliCPU int64, w *worker) float64 {
	return float64(milliCPU) / float64(max(w.entry.Room.MilliCPU, 1))
}

// sameWork rates how well a lasting task fits those that a worker has: 1 with
// its own image only, 0 for an empty worker, less among others.
func (o *Owner) sameWork(step *stepState, w *worker) float64 {
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

// learnEnd keeps count of the runs that went wrong on a worker.
func (o *Owner) learnEnd(r *run, how ending) {
	w := r.worker
	switch how {
	case endDone:
		w.faults, w.stalls = 0, 0
		w.doneAt = o.now
	case endFailed:
		w.faults++
		r.task.avoid = w.id
	case endLapsed, endGone, endStopped, endNotStarted:
		r.task.avoid = w.id
	}
}
