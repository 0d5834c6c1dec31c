package owner

import (
	"cmp"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/harm"
)

// A worker's report teaches what its tasks cost each other. What ruins the tail
// of a lasting task is moved away, and as a last resort all that fills the
// worker stands still.

// Terms of relieving lasting tasks. Headrooms are targets over tails.
const (
	lowHeadroom               = 1.2  // measured headroom from which what costs most is moved away
	soonHeadroom              = 1.5  // measured headroom from which reports are wanted soon
	overTail                  = 0.97 // reported tail over target from which a lasting task counts as over it
	moveLoss                  = 0.3  // headroom that a task costs where it is worth moving away
	pauseAfter   clock.Millis = 1500 // a tail over its target for so long makes all that fills stand still
	easePeriod   clock.Millis = 1500 // least time that it stands still
	quickWait    clock.Millis = 300  // that a worker may wait with its report while a headroom is low
)

// watchHarm learns from a worker's report, and moves away what ruins the tail
// of a lasting task.
func (o *Owner) watchHarm(w *worker) {
	w.planned = false
	loads := o.loads(w)
	lowest := harm.MaxHeadroom
	for _, part := range o.plan(w).serving {
		lowest = min(lowest, part.headroom)
		if part.settled && part.headroom > 1/stallTail {
			o.harm.Observe(harm.Sample{Serving: part.image, Group: part.group, At: o.now, Headroom: part.headroom, Loads: loads})
		}
	}
	w.planned = false
	over := o.overFor(w)
	w.watched = lowest < soonHeadroom || over > 0
	if lowest < lowHeadroom {
		o.moveHarmful(w)
	}
	o.pauseFilling(w, over)
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

// moveHarmful stops the tasks that fill a worker and cost a lasting task there
// too much, the worst first. They start again elsewhere, from their checkpoints.
func (o *Owner) moveHarmful(w *worker) {
	for _, part := range o.plan(w).serving {
		short := safeHeadroom - part.headroom
		if part.headroom >= lowHeadroom {
			continue
		}
		for _, r := range o.costliest(w, part.image) {
			loss := o.loss(part.image, r)
			if short <= 0 || loss < moveLoss {
				break
			}
			short -= loss
			r.task.avoid = w.id
			o.options.Counts.Moves.Inc()
			o.logMove(r, part, loss)
			o.stop(r, "raises a tail")
		}
	}
	w.planned = false
}

// costliest lists the tasks that fill a worker, worst first.
func (o *Owner) costliest(w *worker, serving string) []*run {
	var runs []*run
	for _, r := range w.sorted() {
		if r.task.spec().Fills && r.stage == stageConfirmed {
			runs = append(runs, r)
		}
	}
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(o.loss(serving, b), o.loss(serving, a)) })
	return runs
}

// overFor is how long the lasting task that has it worst has been over its
// target, by itself: the mean of its job may hide it.
func (o *Owner) overFor(w *worker) clock.Millis {
	longest := clock.Millis(0)
	for r := range w.runs {
		if r.task.spec().TargetMS == 0 || r.usageAt != o.now {
			continue
		}
		switch {
		case o.tail(r) < overTail:
			r.overSince = 0
		case r.overSince == 0:
			r.overSince = o.now
		default:
			longest = max(longest, o.now-r.overSince)
		}
	}
	return longest
}

// pauseFilling is the last resort: while a lasting task stays over its target, all
// that fills its worker stands still.
func (o *Owner) pauseFilling(w *worker, over clock.Millis) {
	switch {
	case over >= pauseAfter && w.pace != 0:
		w.pace, w.pacedAt = 0, o.now
	case over == 0 && w.pace == 0 && o.now-w.pacedAt > easePeriod:
		w.pace, w.pacedAt = fullPace, o.now
	}
	for _, r := range w.sorted() {
		if r.task.spec().Fills && r.stage == stageConfirmed && r.pace != w.pace {
			o.pace(r, w.pace, over)
		}
	}
}

func (o *Owner) logMove(r *run, part servingPart, loss float64) {
	pair := o.harm.Pair(part.image, r.task.spec().Image)
	o.runLine("run_moved", r).
		Str("image", r.task.spec().Image).Str("serving_image", part.image).Float64("weight", pair.Weight).
		Float64("weight_spread", pair.Spread).Float64("loss", loss).Float64("headroom", part.headroom).
		Int64("ran_ms", int64(o.now-r.startedAt)).Int64("report_age_ms", int64(o.now-r.usageAt)).Send()
}

func (o *Owner) pace(r *run, percent int, over clock.Millis) {
	o.options.Counts.Paces.Inc()
	o.runLine("run_paced", r).Int("percent", percent).
		Int("before", r.pace).Int64("over_target_ms", int64(over)).Int64("report_age_ms", int64(o.now-r.usageAt)).Send()
	r.pace = percent
	o.options.Effects.Pace(fleet.Pace{
		To: r.worker.address(), Task: r.task.name(), Run: r.number, Percent: percent, Token: o.options.Epoch,
	})
}

// Paced takes the answer to a pace. One that was not carried out, or perhaps
// will be later, is sent again with the next report that asks for it.
func (o *Owner) Paced(order fleet.Pace, answer fleet.Answer) {
	if !o.enter() || o.deposed("pace", order.To.ID, answer.Outcome) {
		return
	}
	r := o.runOf(order.Task, order.Run)
	if r == nil || answer.Outcome == fleet.Accepted || r.pace != order.Percent {
		return
	}
	r.pace = unknownPace
}

// unknownPace stands for a pace whose order got no answer, or that a former owner
// ordered; the pace that is wanted is ordered again.
const unknownPace = 99
