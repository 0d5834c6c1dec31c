package owner

import (
	"math"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// A worker may answer every call and let what it runs stand still, or nearly so.
// Only the runs show it: their share of work done hardly grows although they use
// their processors, and lasting tasks answer their users no more.

// Terms of telling that a worker stands still.
const (
	stallWait    clock.Millis = 700              // that all runs of a worker may show no progress
	stallPart                 = 0.15             // ... or this share of a task's length, if that is longer
	slowSpeed                 = 0.35             // speed of short runs, against their estimates, of a worker that is as good as still
	slowWork                  = 400.0            // milliseconds of work that were due lately, from which a speed says something
	speedMemory               = 1000.0           // milliseconds after which work counts e times less
	stallBegin   clock.Millis = 900              // of a run, until it must show progress; restoring a checkpoint takes so long
	stallTail                 = 20.0             // tail over target of a lasting task that answers nobody
	stallUsage                = 0.25             // share of its processors that a task that fills must get to be judged
	stallRest    clock.Millis = 4 * clock.Second // without new runs of a worker that stood still
	stallDoubles              = 2                // times that the rest doubles while the worker stands still again
)

// noteProgress takes what a report shows of a run's work. Runs that are slowed,
// or that fill a worker whose processors others use, are not expected to get on.
// It is called before the report's usage is noted.
func (o *Owner) noteProgress(r *run, row fleet.Run) {
	spec := r.task.spec()
	o.noteSpeed(r, row)
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

// noteSpeed adds what a short run has got on since its last report, and what was
// due by the processors that it got, to the sums of its worker. Without an
// estimate of its length nothing is due.
func (o *Owner) noteSpeed(r *run, row fleet.Run) {
	spec := r.task.spec()
	if spec.Lasting || spec.EstimateMS == 0 || r.usageAt == 0 || !r.judged || o.now < r.startedAt+stallBegin {
		return
	}
	share := 1.0
	if spec.Fills {
		share = min(float64(row.Usage)/float64(max(spec.MilliCPU, 1)), 1)
	}
	const wholePercent = 100.0
	r.worker.got += float64(row.Percent-r.percent) / wholePercent * float64(spec.EstimateMS)
	r.worker.due += float64(o.now-r.usageAt) * share
}

// forgetSpeed lets older work count less; it is called with each report.
func (o *Owner) forgetSpeed(w *worker) {
	keep := math.Exp(-float64(o.now-w.speedAt) / speedMemory)
	w.got *= keep
	w.due *= keep
	w.speedAt = o.now
}

// slow reports whether the short runs of a worker hardly get on.
func (w *worker) slow() bool { return w.due >= slowWork && w.got < slowSpeed*w.due }

// still reports whether a run has shown no progress for too long.
func (o *Owner) still(r *run) bool {
	limit := stallWait
	if spec := r.task.spec(); !spec.Lasting {
		limit = max(limit, clock.Millis(stallPart*float64(spec.EstimateMS)))
	}
	return o.now-r.stillSince >= limit
}

// stillness sums up what a report shows of a worker's runs.
type stillness struct {
	short        int // runs that are not lasting
	judged       int // ... of which the report lets tell whether they get on
	stillShort   int // ... that do not
	stillLasting int // lasting tasks that answer nobody
}

// stillness sums up a worker that just reported.
func (o *Owner) stillness(w *worker) stillness {
	var sum stillness
	for _, r := range w.sorted() {
		lasting := r.task.spec().Lasting
		if !lasting {
			sum.short++
		}
		if r.stage != stageConfirmed || r.usageAt != o.now || !r.judged || o.now < r.startedAt+stallBegin {
			continue
		}
		still := o.still(r)
		switch {
		case lasting && still:
			sum.stillLasting++
		case lasting:
		default:
			sum.judged++
			if still {
				sum.stillShort++
			}
		}
	}
	return sum
}

// standsStill reports whether nothing gets on at a worker: none of its short
// runs; or lasting tasks answer nobody and short ones hardly get on or are not
// there. Beside others that do get on, lasting tasks may be ruined by them.
func (o *Owner) standsStill(w *worker, sum stillness) bool {
	switch {
	case w.doneAt != 0 && o.now-w.doneAt < stallWait:
		return false
	case sum.short > 0:
		return sum.judged > 0 && sum.stillShort == sum.judged || sum.stillLasting > 0 && w.slow()
	}
	return sum.stillLasting > 0
}

// leaveStill takes all work off a worker that stands still, and rests it.
func (o *Owner) leaveStill(w *worker, sum stillness) {
	rest := stallRest << min(w.stalls, stallDoubles)
	w.stalls++
	w.restUntil = o.now + rest
	o.options.Counts.Stalls.Inc()
	o.options.Log.Warn().Str("event", "worker_stands_still").Str("worker", w.id).Int("runs", len(w.runs)).
		Int("short", sum.short).Int("short_still", sum.stillShort).Int("lasting_still", sum.stillLasting).
		Float64("got_ms", w.got).Float64("due_ms", w.due).
		Int64("done_age_ms", int64(o.now-w.doneAt)).Int("times", w.stalls).Int64("rest_ms", int64(rest)).Int64("limit_ms", int64(stallWait)).Send()
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
