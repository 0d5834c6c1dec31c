package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// Report takes a worker's answer to a hold.
func (o *Owner) Report(id string, report fleet.Report) {
	w := o.workers[id]
	if !o.enter() || w == nil {
		return
	}
	w.holding = false
	if o.deposed("hold", id, report.Outcome) {
		return
	}
	switch report.Outcome {
	case fleet.Accepted:
		o.contact(w, report)
	case fleet.OtherLife:
		o.otherLife(w)
	default:
		o.missed(w, report.Outcome)
	}
}

// missed notes that a worker did not answer.
func (o *Owner) missed(w *worker, outcome fleet.Outcome) {
	if w.misses == 0 {
		o.options.Log.Warn().Str("event", "worker_silent").Str("worker", w.id).Str("outcome", outcome.String()).
			Int64("contact_age_ms", int64(o.contactAge(w))).Int("runs", len(w.runs)).Send()
	}
	w.misses++
	if w.misses >= missesToDoubt && w.contactAt != 0 {
		o.noteSilent(w)
	}
	w.nextHold = o.now + silentHoldPeriod
	if w.misses == 1 {
		w.nextHold = o.now // the connection may be to blame
	}
}

// otherLife notes that another incarnation answers at a worker's address, so
// the one that was meant is gone.
func (o *Owner) otherLife(w *worker) {
	o.options.Log.Warn().Str("event", "worker_replaced").Str("worker", w.id).Int("runs", len(w.runs)).Send()
	for _, r := range w.sorted() {
		o.over(r, endGone, "")
	}
	w.misses++
	w.nextHold = o.now + clock.Second
}

// contact takes a worker's report.
func (o *Owner) contact(w *worker, report fleet.Report) {
	if report.Born > w.born {
		o.reborn(w, report.Born)
	}
	if w.misses > 0 || w.contactAt == 0 {
		o.options.Log.Info().Str("event", "worker_answers").Str("worker", w.id).Int("misses", w.misses).
			Int("running", len(report.Running)).Int("ended", len(report.Ended)).Send()
		o.placeDue = true
	}
	if w.contactAt == 0 {
		// A former owner may have granted a lease of the same length until now.
		w.untilMS = max(w.untilMS, report.ClockMS+int64(o.options.Times.Lease))
	}
	o.settleFormer(w)
	o.settleDoubts(w)
	w.clockMS, w.clockAt = report.ClockMS, o.now
	w.contactAt = o.now
	o.noteHeard(w)
	w.misses = 0
	w.lapsed = false
	w.nextHold = o.now + max(o.options.Times.ReportGap, o.perWorker(gapSpread))
	o.forgetSpeed(w)
	o.takeEnds(w, report.Ended)
	listed := o.takeRunning(w, report.Running)
	if !report.More {
		o.findMissing(w, listed)
	}
	if o.resting(w) {
		return // its tails say nothing of harm
	}
	if sum := o.stillness(w); o.standsStill(w, sum) {
		o.leaveStill(w, sum)
		return
	}
	o.watchHarm(w)
}

// takeEnds applies the ends that a worker lists, and plans to let the worker
// forget them once they are recorded.
func (o *Owner) takeEnds(w *worker, ends []fleet.End) {
	highest := w.noted
	for _, end := range ends {
		highest = max(highest, end.Number)
		r := o.runOf(end.Task, end.Run)
		if r == nil || r.worker != w {
			continue // of a run that was counted as over before
		}
		o.ended(r, end)
	}
	if highest == w.noted {
		return
	}
	w.noted = highest
	born := w.born
	o.after(func() {
		if w.born == born {
			w.acked = max(w.acked, highest)
		}
	})
}

func (o *Owner) ended(r *run, end fleet.End) {
	switch end.Cause {
	case fleet.EndDone:
		o.over(r, endDone, "")
	case fleet.EndFailed:
		o.over(r, endFailed, end.Checkpoint)
	case fleet.EndStopped:
		o.over(r, endStopped, end.Checkpoint)
	case fleet.EndLapsed, fleet.EndBroken, fleet.EndAlone:
		o.over(r, endLapsed, end.Checkpoint)
	}
}

// takeRunning applies the runs that a worker lists as present and returns the
// ones that belong there.
func (o *Owner) takeRunning(w *worker, runs []fleet.Run) map[*run]bool {
	listed := make(map[*run]bool, len(runs))
	for _, row := range runs {
		r := o.runOf(row.Task, row.Run)
		if r == nil || r.worker != w {
			o.stray(w, row)
			continue
		}
		listed[r] = true
		o.present(r, row)
	}
	return listed
}

// present updates a run from its row in a report.
func (o *Owner) present(r *run, row fleet.Run) {
	o.noteProgress(r, row)
	r.usage = row.Usage
	r.usageAt = o.now
	if row.Checkpoint != "" && row.Checkpoint != r.task.checkpoint {
		r.task.checkpoint = row.Checkpoint // recorded with the job's next change
	}
	switch r.stage {
	case stageInherited, stageOrdered:
		o.confirm(r)
		if r.task.job.state.Final() {
			o.stop(r, "job ended")
		}
	case stageRecording, stageConfirmed, stageStopping, stageStopped:
	}
}

// stray ends a run that a worker lists but should not have: a later run of its
// task was recorded, or its job is unknown.
func (o *Owner) stray(w *worker, row fleet.Run) {
	o.options.Log.Warn().Str("event", "stray_run_stopped").Str("job", string(row.Task.Job)).
		Int("step", row.Task.Step).Int("index", row.Task.Index).Int("run", row.Run).Str("worker", w.id).Send()
	o.options.Effects.Stop(fleet.Stop{To: w.address(), Task: row.Task, Run: row.Run, Token: o.options.Epoch})
}

// findMissing finds runs that a report should have listed but did not. Only
// what was confirmed before the report was asked for can be missed.
func (o *Owner) findMissing(w *worker, listed map[*run]bool) {
	for _, r := range w.sorted() {
		if listed[r] || r.confirmedAt >= w.holdSent {
			continue
		}
		switch r.stage {
		case stageStopped:
			o.over(r, endStopped, "")
		case stageConfirmed, stageInherited:
			o.stop(r, "not listed by its worker")
		case stageRecording, stageOrdered, stageStopping:
		}
	}
}

// ending is how a run came to count as over.
type ending uint8

const (
	endDone ending = iota
	endFailed
	endStopped
	endLapsed
	endGone       // its worker restarted
	endNotStarted // its order was never carried out, and never will be
)

func (e ending) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "gone", "not_started"}[e]
}

// over takes a run off its worker and decides what becomes of its task.
func (o *Owner) over(r *run, how ending, checkpoint string) {
	task, j := r.task, r.task.job
	step := &j.steps[task.step]
	if checkpoint != "" {
		task.checkpoint = checkpoint
	}
	o.options.Counts.Ended(how.String())
	o.runLine("run_over", r).Str("how", how.String()).
		Str("why", r.why).Int64("ran_ms", int64(o.now-r.startedAt)).Int64("contact_age_ms", int64(o.contactAge(r.worker))).Send()
	o.learnEnd(r, how)
	o.detach(r)
	o.touch(j)
	o.placeDue = true
	j.movedAt = o.now
	if how == endDone && !step.spec.Lasting {
		o.taskDone(task, step)
		return
	}
	task.phase = job.Waiting
	task.freeAt = o.now
	step.waiting++
	if how == endFailed && !step.spec.Lasting {
		o.taskFailed(task)
	}
}

func (o *Owner) taskDone(task *taskState, step *stepState) {
	j := task.job
	task.phase = job.Done
	task.checkpoint = ""
	step.left--
	if step.left > 0 {
		return
	}
	j.left--
	j.openSteps(o.now)
	if j.left == 0 && !j.state.Final() {
		o.options.Counts.DoneTime.Observe(o.now - j.takenAt)
		o.finish(j, job.Completed, "all tasks done")
	}
}

func (o *Owner) taskFailed(task *taskState) {
	j := task.job
	task.failures++
	queue, known := o.tables.Queue(j.spec.Queue)
	if !known || task.failures < queue.Attempts || j.state.Final() {
		return
	}
	o.finish(j, job.Failed, "a task failed too often")
	o.after(func() { o.stopRuns(j, "job failed") })
}
