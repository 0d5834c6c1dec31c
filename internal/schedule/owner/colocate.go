package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/harm"
)

// Terms of placing tasks that fill beside lasting ones.
const (
	servingUse                = 0.5  // share of its processors that a lasting task uses
	safeTail                  = 0.8  // predicted tail over target up to which a task may be added
	pacedTail                 = 0.95 // measured tail over target from which tasks that fill are slowed
	severeTail                = 1.3  // measured tail over target from which they stand still
	easedTail                 = 0.6  // measured tail over target below which they are let go again
	weightSpeed               = 3.0  // of the speed that a task would have
	weightNear                = 1.0  // of the predicted tail
	weightAlone               = 0.3  // for a worker without lasting tasks
	slowedPace                = 30   // percent
	harmPatience clock.Millis = 1200
)

// scoreFill rates a worker for a task that fills.
func (o *Owner) scoreFill(step *stepState, w *worker) (score float64, ok bool) {
	ask := share(step.spec.MilliCPU, w)
	left := 1.0
	worst := 0.0
	for r := range w.runs {
		spec := r.task.spec()
		asked := share(spec.MilliCPU, w)
		switch {
		case spec.TargetMS > 0:
			left -= asked * servingUse
			worst = max(worst, o.tail(r)+o.added(r, w)+o.harm.Slope(spec.Image, step.spec.Image)*ask)
		case spec.Fills:
			left -= asked * float64(r.pace) / fullPace
		default:
			left -= asked
		}
	}
	if worst > safeTail {
		return 0, false
	}
	speed := min(max(left, 0)/max(ask, 1e-9), 1)
	if speed < minSpeed {
		return 0, false
	}
	score = weightSpeed*speed - weightNear*worst
	if worst == 0 {
		score += weightAlone
	}
	return score, true
}

// minSpeed is the least share of its speed at which a task that fills is begun.
const minSpeed = 0.4

// tail is the last reported tail of a lasting task over its target.
func (o *Owner) tail(r *run) float64 {
	if r.usageAt == 0 {
		return harm.QuietTail
	}
	return float64(r.usage) / float64(max(r.task.spec().TargetMS, 1))
}

// added is the predicted effect on a lasting task of tasks that fill whose work
// its last report does not show yet.
func (o *Owner) added(r *run, w *worker) float64 {
	sum := 0.0
	for other := range w.runs {
		spec := other.task.spec()
		if spec.Fills && (other.usageAt == 0 || other.usageAt-other.startedAt < harm.Window) {
			sum += o.harm.Slope(r.task.spec().Image, spec.Image) * share(spec.MilliCPU, w)
		}
	}
	return sum
}

// watchHarm learns from a worker's report, and slows the tasks that fill there
// when a lasting task is over its target.
func (o *Owner) watchHarm(w *worker) {
	var loads []harm.Load
	for _, r := range w.sorted() {
		if r.task.spec().Fills && r.usageAt == o.now && r.stage == stageConfirmed {
			loads = append(loads, harm.Load{Image: r.task.spec().Image, Share: share(r.usage, w)})
		}
	}
	worst := 0.0
	for _, r := range w.sorted() {
		spec := r.task.spec()
		if spec.TargetMS == 0 || r.usageAt != o.now {
			continue
		}
		worst = max(worst, o.tail(r))
		o.harm.Observe(spec.Image, o.tail(r), loads)
	}
	o.paceFills(w, worst, len(loads) > 0)
}

// paceFills chooses the speed of the tasks that fill on a worker.
func (o *Owner) paceFills(w *worker, worst float64, filled bool) {
	switch {
	case worst >= pacedTail && w.harmed == 0:
		w.harmed = o.now
	case worst < pacedTail:
		w.harmed = 0
	}
	pace := -1
	switch {
	case filled && (worst >= severeTail || w.harmed != 0 && o.now-w.harmed >= harmPatience):
		pace = 0
	case filled && worst >= pacedTail:
		pace = slowedPace
	case worst < easedTail:
		pace = fullPace
	}
	if pace < 0 {
		return
	}
	for _, r := range w.sorted() {
		if r.task.spec().Fills && r.stage == stageConfirmed && o.shouldPace(r, w, pace) {
			o.pace(r, pace, worst)
		}
	}
}

// shouldPace reports whether a run's pace is to change to the given one. Runs
// are slowed at once, and let go one step at a time.
func (o *Owner) shouldPace(r *run, w *worker, pace int) bool {
	if pace < r.pace {
		return o.harms(r, w)
	}
	return pace > r.pace && pace == fullPace && o.now-r.slowSince > easePeriod
}

// easePeriod is the least time that a task stays slowed.
const easePeriod clock.Millis = 1500

// harms reports whether a task that fills is thought to raise the tail of a
// lasting task on its worker.
func (o *Owner) harms(r *run, w *worker) bool {
	for other := range w.runs {
		spec := other.task.spec()
		if spec.TargetMS > 0 && o.harm.Slope(spec.Image, r.task.spec().Image) > harm.Negligible {
			return true
		}
	}
	return false
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

// Paced takes the answer to a pace. One that got no answer is sent again with
// the next report that asks for it.
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
	if order.Percent < fullPace {
		r.pace = fullPace
	}
}
