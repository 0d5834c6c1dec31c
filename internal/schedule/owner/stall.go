package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// A worker may answer every call and let what it runs stand still. Only the
// runs show it: their share of work done stays the same although they use their
// processors, and lasting tasks answer their users no more.

// Terms of telling that a worker stands still.
const (
	stallWait    clock.Millis = 700              // that all runs of a worker may show no progress
	stallPart                 = 0.15             // ... or this share of a task's length, if that is longer
	stallBegin   clock.Millis = 900              // of a run, until it must show progress; restoring a checkpoint takes so long
	stallTail                 = 20.0             // tail over target of a lasting task that answers nobody
	stallUsage                = 0.25             // share of its processors that a task that fills must get to be judged
	stallRest    clock.Millis = 4 * clock.Second // without new runs of a worker that stood still
	stallDoubles              = 2                // times that the rest doubles while the worker stands still again
)

// noteProgress takes what a report shows of a run's work. Runs that are slowed,
// or that fill a worker whose processors others use, are not expected to get on.
func (o *Owner) noteProgress(r *run, row fleet.Run) {
	spec := r.task.spec()
	moved := row.Percent != r.percent
	r.judged = r.pace == fullPace && (!spec.Fills || float64(row.Usage) >= stallUsage*float64(spec.MilliCPU))
	if spec.Lasting {
		r.judged = spec.TargetMS > 0
		moved = float64(row.Usage) < stallTail*float64(spec.TargetMS)
	}
	moved = moved || !r.judged
	r.percent = row.Percent
	if moved || r.stillSince == 0 {
		r.stillSince = max(o.now, r.startedAt+stallBegin)
	}
}

// still reports whether a run has shown no progress for too long.
func (o *Owner) still(r *run) bool {
	limit := stallWait
	if spec := r.task.spec(); !spec.Lasting {
		limit = max(limit, clock.Millis(stallPart*float64(spec.EstimateMS)))
	}
	return o.now-r.stillSince >= limit
}

// standsStill reports whether nothing gets on at a worker that just reported:
// none of its short runs or, where it has none to judge by, of its lasting ones.
func (o *Owner) standsStill(w *worker) bool {
	short, stillShort, stillLasting := 0, 0, 0
	for _, r := range w.sorted() {
		if r.stage != stageConfirmed || r.usageAt != o.now || !r.judged || o.now < r.startedAt+stallBegin {
			continue
		}
		still := o.still(r)
		switch {
		case r.task.spec().Lasting && still:
			stillLasting++
		case r.task.spec().Lasting:
		case still:
			short, stillShort = short+1, stillShort+1
		case o.now-r.stillSince < stallWait:
			short++ // it was seen to get on lately
		}
	}
	if short > 0 {
		return stillShort == short
	}
	return stillLasting > 0
}

// leaveStill takes all work off a worker that stands still, and rests it.
func (o *Owner) leaveStill(w *worker) {
	rest := stallRest << min(w.stalls, stallDoubles)
	w.stalls++
	w.restUntil = o.now + rest
	o.options.Counts.Stalls.Inc()
	o.options.Log.Warn().Str("event", "worker_stands_still").Str("worker", w.id).Int("runs", len(w.runs)).
		Int("times", w.stalls).Int64("rest_ms", int64(rest)).Int64("limit_ms", int64(stallWait)).Send()
	for _, r := range w.sorted() {
		if r.stage == stageConfirmed && mayLeave(r.task.spec()) {
			o.stop(r, "its worker stands still")
		}
	}
	o.placeDue = true
}

// mayLeave reports whether a step's tasks may be stopped on suspicion: not those
// of which the caller allows only so many to be away.
func mayLeave(step *job.Step) bool { return !step.Lasting || step.MayMiss == 0 }

// resting reports whether a worker is left alone because it stood still.
func (o *Owner) resting(w *worker) bool { return w.stalls > 0 && o.now < w.restUntil }
