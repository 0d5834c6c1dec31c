package owner

import (
	"math"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// rating holds the scores of a pool's workers for the tasks of one step, for as
// long as a pass places them. The tasks are equal, so a worker is scored anew
// only once it has got one of them, and all are when what the scores rest on has
// changed.
type rating struct {
	valid   bool
	scores  []float64 // by place in the pool's list; unfitting: not to be used
	fills   *filler
	movedAt clock.Millis // of the step's job, as scored
	tried   int          // trials of unknown pairs begun in this pass, as scored
	must    bool         // the task scored for must run, if a worker has room
	chosen  int          // place of the worker that got the last task; negative: none
}

// unfitting is the score of a worker that a task cannot have.
var unfitting = math.Inf(-1)

// newRatings returns a rating for each of some pools, in the memory of the step
// before.
func (o *Owner) newRatings(pools int) []rating {
	for len(o.ratings) < pools {
		o.ratings = append(o.ratings, rating{})
	}
	for i := range o.ratings {
		o.ratings[i].valid = false
	}
	return o.ratings[:pools]
}

// choose returns the best worker for a task, or nil.
func (o *Owner) choose(known *rating, task *taskState, step *stepState, workers []*worker) *worker {
	switch {
	case !known.valid || known.movedAt != task.job.movedAt || known.tried != o.tried || known.must != task.mustRun(o.now):
		o.rate(known, task, step, workers)
	case known.chosen >= 0:
		known.scores[known.chosen] = o.rateOne(known, step, workers[known.chosen])
	}
	known.chosen = -1
	best := unfitting
	for i, score := range known.scores {
		if score <= best {
			continue
		}
		if task.avoid == workers[i].id {
			score -= weightAvoid
		}
		if score > best {
			best, known.chosen = score, i
		}
	}
	if known.chosen < 0 {
		return nil
	}
	return workers[known.chosen]
}

// rate scores all workers for a step.
func (o *Owner) rate(known *rating, task *taskState, step *stepState, workers []*worker) {
	known.valid = true
	known.movedAt, known.tried = task.job.movedAt, o.tried
	known.must = task.mustRun(o.now)
	known.fills = o.filler(task, step)
	known.scores = known.scores[:0]
	for _, w := range workers {
		known.scores = append(known.scores, o.rateOne(known, step, w))
	}
}

func (o *Owner) rateOne(known *rating, step *stepState, w *worker) float64 {
	if !within(need(step.spec), w.free()) || !allowed(step, w) || w.keptFrom(step, known.must) {
		return unfitting
	}
	score, ok := o.score(step, known.fills, w)
	if !ok {
		return unfitting
	}
	return score
}
