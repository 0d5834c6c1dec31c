package owner

import (
	"cmp"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/interference"
)

// Workers' reports show how much best-effort tasks raise the tail latency of
// long-running tasks. Best-effort tasks that raise it too much are moved to
// other workers; as a last resort all best-effort tasks of the worker are
// paused.

// Limits for protecting long-running tasks. A headroom is the latency target
// divided by the tail latency.
const (
	lowHeadroom                         = 1.2  // measured headroom below which interfering best-effort tasks are moved away
	watchHeadroom                       = 1.5  // measured headroom below which reports are requested sooner
	overTargetRatio                     = 0.97 // tail latency over target from which a long-running task counts as over its target
	minMoveLoss                         = 0.3  // headroom loss from which moving a best-effort task is worth it
	pauseAfter             clock.Millis = 1500 // time over the target after which all best-effort tasks of the worker are paused
	minPause               clock.Millis = 1500 // shortest pause
	minLowHeadroomHoldWait clock.Millis = 300  // least wait of a hold while a long-running task has little headroom
)

// handleInterference updates the interference estimates from a worker's report,
// and moves best-effort tasks off the worker or pauses them when a long-running
// task comes near its latency target.
func (o *Owner) handleInterference(w *worker) {
	o.updateOwnLoad(w)
	w.planValid = false
	bestEffortLoads := o.bestEffortLoads(w)
	lowest := interference.MaxHeadroom
	for _, group := range o.plan(w).serving {
		lowest = min(lowest, group.headroom)
		if group.warmedUp && !group.inDoubt && group.headroom > 1/stalledTailRatio {
			o.interference.Observe(interference.Sample{Serving: group.image, Group: group.name, At: o.now, Headroom: group.headroom, Loads: bestEffortLoads})
		}
	}
	w.planValid = false
	overTarget := o.updateOverTarget(w)
	w.usesLowHeadroomWait = lowest < watchHeadroom || overTarget > 0 || w.hasOwnLoad()
	if lowest < lowHeadroom {
		o.moveInterfering(w)
	}
	o.pauseBestEffort(w, overTarget)
}

// bestEffortLoads lists the processor use of a worker's best-effort tasks in
// the report just received.
func (o *Owner) bestEffortLoads(w *worker) []interference.Load {
	var bestEffortLoads []interference.Load
	for _, r := range w.sortedRuns() {
		if r.task.spec().Fills && r.reportedAt == o.now {
			bestEffortLoads = append(bestEffortLoads, interference.Load{Image: r.task.spec().Image, Share: cpuShare(r.usage, w)})
		}
	}
	return bestEffortLoads
}

// moveInterfering stops best-effort tasks on a worker with a group below
// lowHeadroom, the costliest first, until minPredictedHeadroom is regained, but
// none that costs less than minMoveLoss. They restart on other workers from their
// checkpoints.
func (o *Owner) moveInterfering(w *worker) {
	for _, group := range o.plan(w).serving {
		deficit := minPredictedHeadroom - group.headroom
		if group.headroom >= lowHeadroom {
			continue
		}
		for _, r := range o.byHeadroomLoss(w, group.image) {
			headroomLoss := o.headroomLoss(group.image, r)
			if deficit <= 0 || headroomLoss < minMoveLoss {
				break
			}
			deficit -= headroomLoss
			r.task.avoidWorker = w.id
			o.options.Metrics.Moves.Inc()
			o.logMove(r, group, headroomLoss)
			o.stopRun(r, "raises a tail")
		}
	}
	w.planValid = false
}

// byHeadroomLoss lists the best-effort runs of a worker, the costliest first.
func (o *Owner) byHeadroomLoss(w *worker, serving string) []*run {
	var runs []*run
	for _, r := range w.sortedRuns() {
		if r.task.spec().Fills && r.stage == stageConfirmed {
			runs = append(runs, r)
		}
	}
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(o.headroomLoss(serving, b), o.headroomLoss(serving, a)) })
	return runs
}

// updateOverTarget updates overTargetSince from a worker's report and returns
// the longest time that a single task has been over its target, but not by its
// own load. Tasks are checked one by one because the mean of a job may hide one.
func (o *Owner) updateOverTarget(w *worker) clock.Millis {
	longest := clock.Millis(0)
	for r := range w.runs {
		if r.task.spec().TargetMS == 0 || r.reportedAt != o.now {
			continue
		}
		switch {
		case o.tailRatio(r) < overTargetRatio:
			r.overTargetSince = 0
		case o.overByOwnLoad(r):
			r.overTargetSince = r.aloneAt
		case r.overTargetSince == 0:
			r.overTargetSince = o.now
			o.keepModel(r.task.spec().Image)
		default:
			longest = max(longest, o.now-r.overTargetSince)
		}
	}
	return longest
}

// pauseBestEffort is the last resort: it pauses all best-effort tasks of a
// worker while a long-running task stays over its target.
func (o *Owner) pauseBestEffort(w *worker, overTarget clock.Millis) {
	switch {
	case overTarget >= pauseAfter && w.pace != 0:
		w.pace, w.paceChangedAt = 0, o.now
	case overTarget == 0 && w.pace == 0 && o.now-w.paceChangedAt > minPause:
		w.pace, w.paceChangedAt = fullPace, o.now
	}
	for _, r := range w.sortedRuns() {
		if r.task.spec().Fills && r.stage == stageConfirmed && r.pace != w.pace {
			o.pace(r, w.pace, overTarget)
		}
	}
}

func (o *Owner) logMove(r *run, group servingGroup, loss float64) {
	pair := o.interference.Pair(group.image, r.task.spec().Image)
	o.logRun("run_moved", r).
		Str("image", r.task.spec().Image).Str("serving_image", group.image).Float64("weight", pair.Weight).
		Float64("weight_spread", pair.Spread).Float64("loss", loss).Float64("headroom", group.headroom).
		Int64("ran_ms", int64(age(r.startedAt, o.now))).Int64("report_age_ms", int64(age(r.reportedAt, o.now))).Send()
}

func (o *Owner) pace(r *run, percent int, overTarget clock.Millis) {
	o.options.Metrics.Paces.Inc()
	o.logRun("run_paced", r).Int("percent", percent).
		Int("before", r.pace).Int64("over_target_ms", int64(overTarget)).Int64("report_age_ms", int64(age(r.reportedAt, o.now))).Send()
	r.pace, r.paceConfirmed = percent, false
	o.options.Effects.Pace(fleet.Pace{
		To: r.worker.address(), Task: r.task.key(), Run: r.runNumber, Percent: percent, Token: r.worker.token,
	})
}

// Paced handles the answer to a pace order. An order that was not carried out,
// or whose outcome is uncertain, is sent again after the worker's next report.
func (o *Owner) Paced(order fleet.Pace, answer fleet.Answer) {
	if !o.beginInput() || o.resignIfFenced("pace", order.To.ID, order.Token, answer.Outcome) {
		return
	}
	r := o.currentRun(order.Task, order.Run)
	if r == nil || r.pace != order.Percent {
		return
	}
	if answer.Outcome == fleet.Accepted {
		r.paceConfirmed = true
		return
	}
	r.pace = unknownPace
}

// unknownPace marks a run whose pace is uncertain, because the order got no
// answer or was refused, or a previous owner sent it. It differs from every wanted pace, so the
// order is sent again.
const unknownPace = 99
