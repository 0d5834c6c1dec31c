package owner

import (
	"maps"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/interference"
)

// A long-running task can be over its target by its own load. Pausing the best-effort
// tasks beside it or keeping others away does not help then. A report shows it by a tail
// latency over the target while no best-effort task has worked on the worker for
// pauseProof.
//
// The finding is valid for ownLoadKept only. After that the best-effort tasks are paused
// again to repeat the test, as the load may have fallen and they may be the cause now.
// Their estimated interference cannot decide it: it is learned from the same reports, and
// the load varies.

// Times for long-running tasks over their target by their own load.
const (
	pauseProof   clock.Millis = 1500              // time without working best-effort tasks that the report has to cover; a tail latency covers the last half second, and an order takes a moment
	ownLoadKept  clock.Millis = 2500              // how long after the report the tasks beside are not blamed; with the time that a pause takes to show, it is below the platform's harm_ms
	keptModelTTL              = 10 * clock.Second // age from which a kept model is not restored any more
)

// isQuiet reports whether no best-effort task works on a worker: all are paused,
// and the worker has confirmed it.
func (w *worker) isQuiet() bool {
	for r := range w.runs {
		if r.task.spec().Fills && (r.pace != 0 || !r.paceConfirmed) {
			return false
		}
	}
	return true
}

// updateOwnLoad determines from a worker's report which of its long-running tasks are
// over their target by their own load.
func (o *Owner) updateOwnLoad(w *worker) {
	switch {
	case !w.isQuiet():
		w.quietSince = 0
	case w.quietSince == 0:
		w.quietSince = o.now
	}
	alone := w.quietSince != 0 && o.now-w.quietSince >= pauseProof
	for _, r := range w.sortedRuns() {
		switch {
		case r.task.spec().TargetMS == 0 || r.reportedAt != o.now:
		case o.tailRatio(r) < overTargetRatio:
			r.aloneAt = 0
		case alone && r.stage == stageConfirmed && o.now-r.startedAt > tailWarmup:
			o.noteOwnLoad(r)
		}
	}
}

// noteOwnLoad notes that a long-running task is over its target while no best-effort task
// works on its worker. If the best-effort tasks were paused for it, what was learned about
// their interference since it went over its target was wrong and is forgotten.
func (o *Owner) noteOwnLoad(r *run) {
	known := o.overByOwnLoad(r)
	r.aloneAt = o.now
	if known {
		return
	}
	if r.worker.pace == 0 {
		o.restoreModel(r.task.spec().Image)
	}
	o.placementDue = true
	o.logRun("own_load", r).Float64("tail_ratio", o.tailRatio(r)).Int64("quiet_ms", int64(o.now-r.worker.quietSince)).
		Bool("paused", r.worker.pace == 0).Int64("over_target_ms", int64(age(r.overTargetSince, o.now))).Send()
}

// overByOwnLoad reports whether a long-running task counts as over its target by
// its own load.
func (o *Owner) overByOwnLoad(r *run) bool { return r.aloneAt != 0 && o.now-r.aloneAt < ownLoadKept }

// hasOwnLoad reports whether a worker has a long-running task that was over its target by
// its own load and has not been reported within its target since.
func (w *worker) hasOwnLoad() bool {
	for r := range w.runs {
		if r.aloneAt != 0 {
			return true
		}
	}
	return false
}

// keptModel is what was known about the interference with an image when one of its
// tasks went over its target.
type keptModel struct {
	at    clock.Millis
	model *interference.Snapshot
}

// keepModel keeps what is known about the interference with an image, unless that
// was done a moment ago.
func (o *Owner) keepModel(serving string) {
	maps.DeleteFunc(o.keptModels, func(_ string, kept keptModel) bool { return o.now-kept.at > keptModelTTL })
	if _, known := o.keptModels[serving]; !known {
		o.keptModels[serving] = keptModel{at: o.now, model: o.interference.Snapshot(serving)}
	}
}

// restoreModel forgets what was learned about the interference with an image since
// keepModel.
func (o *Owner) restoreModel(serving string) {
	if kept, known := o.keptModels[serving]; known && o.now-kept.at <= keptModelTTL {
		o.interference.Restore(kept.model)
		delete(o.keptModels, serving)
	}
}
