package owner

import (
	"math"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// rating caches the scores of a pool's workers for the tasks of one step during
// a placement pass. The tasks are equal, so only the worker that got the last
// one is scored again, and all workers when lastPlacementChangeAt, trialsStarted
// or mustPlace of its candidate has changed.
type rating struct {
	valid                 bool
	scores                []float64   // by index in the pool's list; unsuitable: not to be used
	reasons               []rejection // by the same index; notRejected: suitable
	bestEffort            *bestEffortTask
	lastPlacementChangeAt clock.Millis // of the step's job when the workers were scored
	trialsStarted         int          // Owner.trialsStarted when the workers were scored
	candidate             candidate    // the scored task, as reservations see it
	lastChosen            int          // index of the worker that got the last task; negative: none
}

// unsuitable is the score of a worker that cannot run the task.
var unsuitable = math.Inf(-1)

// resetRatings returns an invalid rating for each pool, reusing the memory of
// the previous step.
func (o *Owner) resetRatings(pools int) []rating {
	for len(o.ratings) < pools {
		o.ratings = append(o.ratings, rating{})
	}
	for i := range o.ratings {
		o.ratings[i].valid = false
	}
	return o.ratings[:pools]
}

// chooseWorker returns the best worker for a task, or nil.
func (o *Owner) chooseWorker(cached *rating, task *taskState, step *stepState, workers []*worker) *worker {
	switch {
	case !cached.valid || cached.lastPlacementChangeAt != task.job.lastPlacementChangeAt || cached.trialsStarted != o.trialsStarted || cached.candidate.mustPlace != task.mustRun(o.now):
		o.rateWorkers(cached, task, step, workers)
	case cached.lastChosen >= 0:
		cached.scores[cached.lastChosen], cached.reasons[cached.lastChosen] = o.rateWorker(cached, step, workers[cached.lastChosen])
	}
	cached.lastChosen = -1
	best := unsuitable
	for i, score := range cached.scores {
		if score <= best {
			continue
		}
		if task.avoidWorker == workers[i].id {
			score -= weightAvoidedWorker
		}
		if score > best {
			best, cached.lastChosen = score, i
		}
	}
	if cached.lastChosen < 0 {
		return nil
	}
	return workers[cached.lastChosen]
}

// rateWorkers scores all workers for a step.
func (o *Owner) rateWorkers(cached *rating, task *taskState, step *stepState, workers []*worker) {
	cached.valid = true
	cached.lastPlacementChangeAt, cached.trialsStarted = task.job.lastPlacementChangeAt, o.trialsStarted
	cached.candidate = o.newCandidate(task, step)
	cached.bestEffort = o.bestEffortTask(task, step)
	cached.scores, cached.reasons = cached.scores[:0], cached.reasons[:0]
	for _, w := range workers {
		score, reason := o.rateWorker(cached, step, w)
		cached.scores = append(cached.scores, score)
		cached.reasons = append(cached.reasons, reason)
	}
}

// rateWorker scores a worker for a step; unsuitable with the reason if it cannot
// run the next task.
func (o *Owner) rateWorker(cached *rating, step *stepState, w *worker) (float64, rejection) {
	switch {
	case !committedRoom(step.spec).FitsIn(w.freeRoom()):
		return unsuitable, rejectedRoom
	case w.starts.total() > 0 && !o.takesStart(w):
		return unsuitable, rejectedStarts
	case o.isOnTrial(w):
		return unsuitable, rejectedFailing
	case !constraintsAllow(step, w):
		return unsuitable, rejectedLimits
	case w.reservationBlocks(cached.candidate):
		return unsuitable, rejectedReservation
	}
	score, reason := o.score(step, cached.bestEffort, w)
	if reason != notRejected {
		return unsuitable, reason
	}
	return score, notRejected
}

// countRejections counts the rated workers by the reason why they cannot run the
// step.
func (c *rating) countRejections() rejections {
	var counts rejections
	for _, reason := range c.reasons {
		counts[reason]++
	}
	return counts
}
