package owner

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/harm"
)

// Terms of placing tasks that fill beside lasting ones. Headrooms are targets
// over tails, shares of a whole worker.
const (
	idleHeadroom = 5.0   // of a lasting task without users
	leastUse     = 0.2   // least share of its processors that a lasting task is thought to use
	mostUse      = 0.8   // ... and the most
	useMargin    = 0.02  // added to it, as its load may rise while a task runs beside it
	spareShare   = 0.04  // share of a worker with lasting tasks that is left unused, at first
	crowdedShare = -0.15 // ... and for a task that has waited for crowdedWait
	safeHeadroom = 1.6   // predicted headroom down to which a task that costs some may be added
	harmlessLoss = 0.2   // headroom that all that fills a worker may cost whatever the load
	minSpeed     = 0.4   // least share of its speed at which a task that fills is begun
)

// Weights of the terms of a worker's score for a task that fills.
const (
	weightSpeed = 3.0 // of the speed that the task would have
	weightLoss  = 2.0 // of the headroom that it would cost
	weightAlone = 2.0 // for a worker without lasting tasks, of the share of images that the task's ruins ...
	usualRuins  = 0.3 // ... beyond this one: such workers are kept for tasks that have few others
)

// Times of placing tasks that fill.
const (
	desperateWait clock.Millis = 1800 // a task without a harmless worker for so long takes the least harmed one
	crowdedWait   clock.Millis = 400  // a job that has waited so long for a place takes a crowded worker
	settleTime    clock.Millis = 1200 // until the tail of a new lasting task says something
	lookAhead     clock.Millis = 1200 // a task that fills runs about so long
)

// fillPlan is what a worker has to offer to tasks that fill, computed once for
// each pass.
type fillPlan struct {
	left    float64 // share of its processors that nobody uses
	serving []servingPart
}

// servingPart sums up a worker's lasting tasks of one group, which have the
// same users.
type servingPart struct {
	image    string
	group    string
	headroom float64 // as reported
	ahead    float64 // by how much it will change with its users' load
	lost     float64 // to all that fills the worker
	fresh    float64 // the part of that which the report does not show yet
	count    int
	settled  bool     // its tasks have run long enough to learn from
	unknown  []string // images of what fills the worker whose pairs with this one are not known
}

// planFill sums a worker up for tasks that fill.
func (o *Owner) planFill(w *worker) fillPlan {
	plan := fillPlan{left: 1}
	for _, r := range w.sorted() {
		spec := r.task.spec()
		asked := share(spec.MilliCPU, w)
		switch {
		case spec.TargetMS > 0:
			plan.left -= asked * o.servingUse(r)
			plan.addServing(r, o.tail(r), o.now)
		case spec.Fills:
			plan.left -= asked * float64(r.pace) / fullPace
		default:
			plan.left -= asked
		}
	}
	for i := range plan.serving {
		o.sumUp(&plan.serving[i], w)
	}
	return plan
}

// addServing counts a lasting task; headroom holds the sum of tails until the
// part is summed up.
func (p *fillPlan) addServing(r *run, tail float64, now clock.Millis) {
	group := groupOf(r)
	i := slices.IndexFunc(p.serving, func(part servingPart) bool { return part.group == group })
	if i < 0 {
		p.serving = append(p.serving, servingPart{image: r.task.spec().Image, group: group, settled: true})
		i = len(p.serving) - 1
	}
	part := &p.serving[i]
	part.headroom += tail
	part.count++
	part.settled = part.settled && r.stage == stageConfirmed && now-r.startedAt > settleTime
}

// groupOf names the lasting tasks that share a run's users.
func groupOf(r *run) string { return string(r.task.job.spec.ID) }

// sumUp turns a part's tails into a headroom, and adds what fills the worker.
func (o *Owner) sumUp(part *servingPart, w *worker) {
	tail := part.headroom / float64(part.count)
	part.headroom = min(1/max(tail, 1/harm.MaxHeadroom), harm.MaxHeadroom)
	part.ahead = o.harm.Level(part.group, o.now+lookAhead) - o.harm.Level(part.group, w.contactAt)
	for r := range w.runs {
		spec := r.task.spec()
		if !spec.Fills {
			continue
		}
		pair := o.harm.Pair(part.image, spec.Image)
		if !pair.Known() {
			part.unknown = append(part.unknown, spec.Image)
		}
		if r.stage == stageStopping || r.stage == stageStopped {
			continue
		}
		lost := pair.Weight * share(spec.MilliCPU, w) * float64(r.pace) / fullPace
		part.lost += lost
		if r.usageAt == 0 || r.usageAt-r.startedAt < harm.Window {
			part.fresh += lost
		}
	}
}

// loss is the headroom that a run costs lasting tasks of an image at full pace.
func (o *Owner) loss(serving string, r *run) float64 {
	return o.harm.Pair(serving, r.task.spec().Image).Weight * share(r.task.spec().MilliCPU, r.worker)
}

// servingUse is the share of its processors that a lasting task uses, which its
// headroom alone tells.
func (o *Owner) servingUse(r *run) float64 {
	load := 1 - o.harm.Level(groupOf(r), o.now+lookAhead)/idleHeadroom
	return min(max(load, leastUse), mostUse) + useMargin
}

// spare is the share of a worker with lasting tasks that a job's tasks leave
// unused: the less, the longer the job has waited.
func (o *Owner) spare(j *jobState) float64 {
	waited := min(float64(o.now-j.movedAt)/float64(crowdedWait), 1)
	return spareShare + waited*(crowdedShare-spareShare)
}

// filler is a task that fills, with what is known of its image.
type filler struct {
	step  *stepState
	job   *jobState
	ruins float64 // share of the images of lasting tasks that it ruins
	pairs []pairing
}

// pairing is what is known of an image of lasting tasks beside it.
type pairing struct {
	serving  string
	estimate harm.Estimate
}

// pair returns the estimate for an image of lasting tasks. There are few, and
// looking them up anew for each worker would be most of a pass.
func (o *Owner) pair(f *filler, serving string) harm.Estimate {
	for i := range f.pairs {
		if f.pairs[i].serving == serving {
			return f.pairs[i].estimate
		}
	}
	estimate := o.harm.Pair(serving, f.step.spec.Image)
	f.pairs = append(f.pairs, pairing{serving: serving, estimate: estimate})
	return estimate
}

// filler sums up a task that fills; it is nil for others.
func (o *Owner) filler(task *taskState, step *stepState) *filler {
	if !step.spec.Fills {
		return nil
	}
	return &filler{step: step, job: task.job, ruins: o.harm.Ruins(step.spec.Image)}
}

// scoreFill rates a worker for a task that fills. It is not ok where the task
// would do harm, or would hardly get on.
func (o *Owner) scoreFill(f *filler, w *worker) (score float64, ok bool) {
	plan := o.plan(w)
	step := f.step
	ask := share(step.spec.MilliCPU, w)
	desperate := o.now-f.job.movedAt > desperateWait
	most := 0.0
	for i := range plan.serving {
		part := &plan.serving[i]
		pair := o.pair(f, part.image)
		if !pair.Known() && !desperate && o.exploring(part, step.spec.Image) {
			return 0, false
		}
		loss := pair.Weight * ask
		costly := part.lost+loss > harmlessLoss
		if costly && part.headroom+part.ahead-part.fresh-loss < safeHeadroom && !desperate {
			return 0, false
		}
		most = max(most, loss)
	}
	if len(plan.serving) > 0 && plan.left-ask < o.spare(f.job) && !desperate {
		return 0, false
	}
	speed := min(max(plan.left, 0)/max(ask, tinyAsk), 1)
	if w.pace == 0 || speed < minSpeed && !desperate {
		return 0, false
	}
	score = weightSpeed*speed - weightLoss*most
	if len(plan.serving) == 0 {
		score += weightAlone * (f.ruins - usualRuins)
	}
	return score, true
}

// tinyAsk keeps a step without processors from dividing by zero.
const tinyAsk = 1e-6

// plan returns a worker's sum for this pass.
func (o *Owner) plan(w *worker) fillPlan {
	if !w.planned {
		w.plan = o.planFill(w)
		w.planned = true
	}
	return w.plan
}

// tail is the last reported tail of a lasting task over its target.
func (o *Owner) tail(r *run) float64 {
	if r.usageAt == 0 {
		return 1 / harm.QuietHeadroom
	}
	return float64(r.usage) / float64(max(r.task.spec().TargetMS, 1))
}
