package owner

import (
	"cmp"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/harm"
)

// Terms of placing tasks that fill beside lasting ones. Tails are over their
// targets, shares of a whole worker.
const (
	servingUse = 0.5  // share of its processors that a lasting task uses
	safeTail   = 0.8  // predicted tail up to which a task may be added
	safeRise   = 0.12 // rise of a tail by all that fills that is no reason to refuse or move
	badTail    = 0.95 // measured tail from which what raises it is moved away
	minSpeed   = 0.4  // least share of its speed at which a task that fills is begun
)

// Weights of the terms of a worker's score for a task that fills.
const (
	weightSpeed = 3.0 // of the speed that the task would have
	weightRise  = 4.0 // of the rise that it would cause
	weightAlone = 0.2 // for a worker without lasting tasks
)

// Times of moving and slowing tasks that fill.
const (
	desperateWait clock.Millis = 1800 // a task without a harmless worker for so long takes the least harmed one
	standStill    clock.Millis = 1500 // a tail over its target for so long makes all that fills stand still
	easePeriod    clock.Millis = 1500 // least time that a task stands still
)

// fillPlan is what a worker has to offer to tasks that fill, computed once for
// each pass.
type fillPlan struct {
	left    float64 // share of its processors that nobody uses
	serving []servingPart
}

// servingPart sums up a worker's lasting tasks of one image.
type servingPart struct {
	image string
	tail  float64 // the highest, as reported
	rise  float64 // by what fills there, as estimated
	fresh float64 // the part of it that the report cannot show yet
}

// planFill sums a worker up for tasks that fill.
func (o *Owner) planFill(w *worker) fillPlan {
	plan := fillPlan{left: 1}
	for r := range w.runs {
		spec := r.task.spec()
		asked := share(spec.MilliCPU, w)
		switch {
		case spec.TargetMS > 0:
			plan.left -= asked * servingUse
			plan.addServing(spec.Image, o.tail(r))
		case spec.Fills:
			plan.left -= asked * float64(r.pace) / fullPace
		default:
			plan.left -= asked
		}
	}
	for i := range plan.serving {
		o.addRises(&plan.serving[i], w)
	}
	return plan
}

func (p *fillPlan) addServing(image string, tail float64) {
	for i := range p.serving {
		if p.serving[i].image == image {
			p.serving[i].tail = max(p.serving[i].tail, tail)
			return
		}
	}
	p.serving = append(p.serving, servingPart{image: image, tail: tail})
}

// addRises adds what a worker's tasks that fill do to one image there.
func (o *Owner) addRises(part *servingPart, w *worker) {
	for r := range w.runs {
		spec := r.task.spec()
		if !spec.Fills || r.stage == stageStopping || r.stage == stageStopped {
			continue
		}
		rise := o.harm.Pair(part.image, spec.Image).Slope * share(spec.MilliCPU, w) * float64(r.pace) / fullPace
		part.rise += rise
		if r.usageAt == 0 || r.usageAt-r.startedAt < harm.Window {
			part.fresh += rise
		}
	}
}

// scoreFill rates a worker for a task that fills. It is not ok where the task
// would do harm, or would hardly get on.
func (o *Owner) scoreFill(task *taskState, step *stepState, w *worker) (score float64, ok bool) {
	plan := o.plan(w)
	ask := share(step.spec.MilliCPU, w)
	desperate := o.now-task.job.movedAt > desperateWait
	worst := 0.0
	for _, part := range plan.serving {
		pair := o.harm.Pair(part.image, step.spec.Image)
		rise := pair.Slope * ask
		if !pair.Known() && !desperate && o.exploring(part.image, step.spec.Image, w) {
			return 0, false
		}
		worst = max(worst, part.rise+rise)
		if part.rise+rise > safeRise && part.tail+part.fresh+rise > safeTail && !desperate {
			return 0, false
		}
	}
	speed := min(max(plan.left, 0)/max(ask, tinyAsk), 1)
	if speed < minSpeed && !desperate {
		return 0, false
	}
	score = weightSpeed*speed - weightRise*worst
	if len(plan.serving) == 0 {
		score += weightAlone
	}
	return score, true
}

// tinyAsk keeps a step without processors from dividing by zero.
const tinyAsk = 1e-6

// exploring reports whether a pair that is not known yet is being tried: one
// task at a time on a worker that has nothing else unknown.
func (o *Owner) exploring(serving, fill string, w *worker) bool {
	for r := range w.runs {
		spec := r.task.spec()
		if spec.Fills && !o.harm.Pair(serving, spec.Image).Known() {
			return true
		}
	}
	return o.trials[trial{serving, fill}] > 0
}

// trial is a pair of images that is being tried.
type trial struct{ serving, fill string }

// countTrials counts the workers on which each unknown pair is being tried.
func (o *Owner) countTrials() {
	clear(o.trials)
	for _, w := range o.ordered {
		for _, part := range o.plan(w).serving {
			for r := range w.runs {
				spec := r.task.spec()
				if spec.Fills && !o.harm.Pair(part.image, spec.Image).Known() {
					o.trials[trial{part.image, spec.Image}]++
				}
			}
		}
	}
}

// noteTrial counts a task that was just placed.
func (o *Owner) noteTrial(step *stepState, w *worker) {
	if !step.spec.Fills {
		return
	}
	for _, part := range o.plan(w).serving {
		if !o.harm.Pair(part.image, step.spec.Image).Known() {
			o.trials[trial{part.image, step.spec.Image}]++
		}
	}
}

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
		return o.harm.Quiet(r.task.spec().Image)
	}
	return float64(r.usage) / float64(max(r.task.spec().TargetMS, 1))
}

// watchHarm learns from a worker's report, and moves away what raises the tail
// of a lasting task over its target.
func (o *Owner) watchHarm(w *worker) {
	w.planned = false
	loads := o.loads(w)
	tails := map[string][]float64{}
	worst := 0.0
	for _, r := range w.sorted() {
		spec := r.task.spec()
		if spec.TargetMS == 0 || r.usageAt != o.now || r.stage != stageConfirmed {
			continue
		}
		worst = max(worst, o.tail(r))
		if o.now-r.startedAt > settleTime {
			tails[spec.Image] = append(tails[spec.Image], o.tail(r))
		}
	}
	for image, values := range tails {
		o.harm.Observe(image, mean(values), loads)
	}
	if worst >= badTail {
		o.moveHarmful(w)
	}
	o.standStill(w, worst)
}

// settleTime is how long a lasting task takes until its tail says something.
const settleTime clock.Millis = 1200

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// loads lists what tasks that fill use of a worker, as just reported.
func (o *Owner) loads(w *worker) []harm.Load {
	var loads []harm.Load
	for _, r := range w.sorted() {
		if r.task.spec().Fills && r.usageAt == o.now {
			loads = append(loads, harm.Load{Image: r.task.spec().Image, Share: share(r.usage, w)})
		}
	}
	return loads
}

// moveHarmful stops the tasks that fill a worker and are known to raise the
// tail of a lasting task there, the worst first, until the rest is harmless.
// They start again elsewhere, from their checkpoints.
func (o *Owner) moveHarmful(w *worker) {
	for _, part := range o.plan(w).serving {
		if part.tail < badTail {
			continue
		}
		over := part.tail - safeTail
		for _, r := range o.culprits(w, part.image) {
			rise := o.harm.Pair(part.image, r.task.spec().Image).Slope * share(r.task.spec().MilliCPU, w)
			if over <= 0 || rise < safeRise/2 {
				break
			}
			over -= rise
			r.task.avoid = w.id
			o.options.Counts.Moves.Inc()
			o.stop(r, "raises the tail of image "+part.image)
		}
	}
}

// culprits lists the tasks that fill a worker, most harmful to an image first.
func (o *Owner) culprits(w *worker, serving string) []*run {
	var runs []*run
	for _, r := range w.sorted() {
		if r.task.spec().Fills && r.stage == stageConfirmed {
			runs = append(runs, r)
		}
	}
	rise := func(r *run) float64 {
		return o.harm.Pair(serving, r.task.spec().Image).Slope * float64(r.task.spec().MilliCPU)
	}
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(rise(b), rise(a)) })
	return runs
}

// standStill is the last resort: while a tail stays over its target, all that
// fills the worker stands still.
func (o *Owner) standStill(w *worker, worst float64) {
	switch {
	case worst < badTail:
		w.harmed = 0
	case w.harmed == 0:
		w.harmed = o.now
	}
	pace := fullPace
	if w.harmed != 0 {
		if o.now-w.harmed < standStill {
			return
		}
		pace = 0
	}
	for _, r := range w.sorted() {
		if !r.task.spec().Fills || r.stage != stageConfirmed || r.pace == pace {
			continue
		}
		if pace == 0 || o.now-r.slowSince > easePeriod {
			o.pace(r, pace, worst)
		}
	}
}

func (o *Owner) pace(r *run, percent int, worst float64) {
	o.options.Counts.Paces.Inc()
	o.options.Log.Info().Str("event", "run_paced").Str("job", string(r.task.job.spec.ID)).Int("step", r.task.step).
		Int("index", r.task.index).Int("run", r.number).Str("worker", r.worker.id).Int("percent", percent).
		Int("before", r.pace).Float64("tail_over_target", worst).Int64("report_age_ms", int64(o.now-r.usageAt)).Send()
	r.pace = percent
	r.slowSince = o.now
	o.options.Effects.Pace(fleet.Pace{
		To: r.worker.address(), Task: r.task.name(), Run: r.number, Percent: percent, Token: o.options.Epoch,
	})
}

// Paced takes the answer to a pace. One that was not carried out, or perhaps
// will be later, is sent again with the next report that asks for it.
func (o *Owner) Paced(order fleet.Pace, answer fleet.Answer) {
	if !o.enter() {
		return
	}
	o.options.Counts.Answered("pace", answer.Outcome.String())
	if answer.Outcome == fleet.Fenced {
		o.resign("worker " + order.To.ID + " knows a newer owner")
		return
	}
	r := o.runOf(order.Task, order.Run)
	if r == nil || answer.Outcome == fleet.Accepted || r.pace != order.Percent {
		return
	}
	r.pace = unknownPace
}

// unknownPace stands for a pace whose order got no answer.
const unknownPace = 99
