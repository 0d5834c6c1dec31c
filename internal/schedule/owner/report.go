package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// Report handles a worker's answer to a hold.
func (o *Owner) Report(id string, report fleet.Report) {
	w := o.workers[id]
	if !o.enter() || w == nil {
		return
	}
	w.holdInFlight = false
	if o.deposed("hold", id, report.Outcome) {
		return
	}
	switch report.Outcome {
	case fleet.Accepted:
		o.handleReport(w, report)
	case fleet.OtherLife:
		o.incarnationReplaced(w)
	default:
		o.holdFailed(w, report.Outcome)
	}
}

// holdFailed counts a hold that a worker did not answer, and schedules the next.
func (o *Owner) holdFailed(w *worker, outcome fleet.Outcome) {
	if w.misses == 0 {
		o.options.Log.Warn().Str("event", "worker_silent").Str("worker", w.id).Str("outcome", outcome.String()).
			Int64("contact_age_ms", int64(o.contactAge(w))).Int("runs", len(w.runs)).Send()
	}
	w.misses++
	if w.misses >= missesToUnresponsive && w.contactAt != 0 {
		o.markUnresponsive(w)
	}
	w.nextHoldAt = o.now + unresponsiveHoldPeriod
	if w.misses == 1 {
		w.nextHoldAt = o.now // retry at once: the connection may have failed, not the worker
	}
}

// incarnationReplaced ends the runs of a worker at whose address another
// incarnation answers: the one that held them is gone.
func (o *Owner) incarnationReplaced(w *worker) {
	o.options.Log.Warn().Str("event", "worker_replaced").Str("worker", w.id).Int("runs", len(w.runs)).Send()
	for _, r := range w.sorted() {
		o.over(r, endGone, "")
	}
	w.misses++
	w.nextHoldAt = o.now + clock.Second
}

// handleReport applies a worker's report.
func (o *Owner) handleReport(w *worker, report fleet.Report) {
	if report.Born > w.incarnation {
		o.workerRestarted(w, report.Born)
	}
	if w.misses > 0 || w.contactAt == 0 {
		o.options.Log.Info().Str("event", "worker_answers").Str("worker", w.id).Int("misses", w.misses).
			Int("running", len(report.Running)).Int("ended", len(report.Ended)).Send()
		o.placeDue = true
	}
	if w.contactAt == 0 {
		// The previous owner may have granted a lease of the same length just now.
		w.leaseUntilMS = max(w.leaseUntilMS, report.ClockMS+int64(o.options.Times.Lease))
	}
	o.endRunsOfOldIncarnations(w)
	o.stopUncertainStarts(w)
	w.clockMS, w.clockAt = report.ClockMS, o.now
	w.contactAt = o.now
	o.markResponsive(w)
	w.misses = 0
	w.lapsed = false
	w.nextHoldAt = o.now + max(o.options.Times.ReportGap, o.scaleByWorkers(reportGapPerWorker))
	o.forgetSpeed(w)
	o.applyEnds(w, report.Ended)
	listed := o.applyRunning(w, report.Running)
	if !report.More {
		o.handleMissing(w, listed)
	}
	if o.resting(w) {
		return // tail latencies on a stalled worker are no evidence of interference
	}
	if progress := o.stillness(w); o.standsStill(w, progress) {
		o.leaveStill(w, progress)
		return
	}
	o.watchHarm(w)
}

// applyEnds applies the ends that a worker lists. Once they are recorded, the
// next hold acknowledges them, so that the worker may discard them.
func (o *Owner) applyEnds(w *worker, ends []fleet.End) {
	highest := w.noted
	for _, end := range ends {
		highest = max(highest, end.Number)
		r := o.runOf(end.Task, end.Run)
		if r == nil || r.worker != w {
			continue // the run was ended earlier
		}
		o.applyEnd(r, end)
	}
	if highest == w.noted {
		return
	}
	w.noted = highest
	incarnation := w.incarnation
	o.whenRecorded(func() {
		if w.incarnation == incarnation {
			w.endsRecorded = max(w.endsRecorded, highest)
		}
	})
}

func (o *Owner) applyEnd(r *run, end fleet.End) {
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

// applyRunning applies the runs that a worker lists as present, stops those that
// should not be there, and returns the others.
func (o *Owner) applyRunning(w *worker, runs []fleet.Run) map[*run]bool {
	listed := make(map[*run]bool, len(runs))
	for _, row := range runs {
		r := o.runOf(row.Task, row.Run)
		if r == nil || r.worker != w {
			o.stopStray(w, row)
			continue
		}
		listed[r] = true
		o.updateRun(r, row)
	}
	return listed
}

// updateRun updates a run from its row in a report.
func (o *Owner) updateRun(r *run, row fleet.Run) {
	o.noteProgress(r, row)
	r.usage = row.Usage
	r.usageAt = o.now
	if row.Checkpoint != "" && row.Checkpoint != r.task.checkpoint {
		r.task.checkpoint = row.Checkpoint // recorded with the job's next change
	}
	switch r.stage {
	case stageInherited, stageOrdered:
		o.confirmStart(r)
		if r.task.job.state.Final() {
			o.stop(r, "job ended")
		}
	case stageRecording, stageConfirmed, stageStopping, stageStopped:
	}
}

// stopStray stops a run that a worker lists but should not have: a later run of
// its task was recorded, or its job is unknown.
func (o *Owner) stopStray(w *worker, row fleet.Run) {
	o.options.Log.Warn().Str("event", "stray_run_stopped").Str("job", string(row.Task.Job)).
		Int("step", row.Task.Step).Int("index", row.Task.Index).Int("run", row.Run).Str("worker", w.id).Send()
	o.options.Effects.Stop(fleet.Stop{To: w.address(), Task: row.Task, Run: row.Run, Token: o.options.Epoch})
}

// handleMissing handles runs that a report should list but does not. Only runs
// that were confirmed before the hold was sent count as missing.
func (o *Owner) handleMissing(w *worker, listed map[*run]bool) {
	for _, r := range w.sorted() {
		if listed[r] || r.confirmedAt >= w.holdSent {
			continue
		}
		switch r.stage {
		case stageStopped:
			o.over(r, endStopped, "")
		case stageConfirmed, stageInherited:
			o.stop(r, "missing from its worker's report")
		case stageRecording, stageOrdered, stageStopping:
		}
	}
}

// ending is how a run ended.
type ending uint8

const (
	endDone ending = iota
	endFailed
	endStopped
	endLapsed
	endGone       // its worker restarted
	endNotStarted // it never began, and never will
)

func (e ending) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "gone", "not_started"}[e]
}

// over ends a run: it frees the worker's room, and completes its task or makes
// it wait for another run.
func (o *Owner) over(r *run, end ending, checkpoint string) {
	task, j := r.task, r.task.job
	step := &j.steps[task.step]
	if checkpoint != "" {
		task.checkpoint = checkpoint
	}
	o.options.Counts.Ended(end.String())
	o.runLine("run_over", r).Str("how", end.String()).
		Str("why", r.stopReason).Int64("ran_ms", int64(o.now-r.startedAt)).Int64("contact_age_ms", int64(o.contactAge(r.worker))).Send()
	o.learnEnd(r, end)
	o.detach(r)
	o.markChanged(j)
	o.placeDue = true
	j.movedAt = o.now
	if end == endDone && !step.spec.Lasting {
		o.completeTask(task, step)
		return
	}
	task.phase = job.Waiting
	task.freeAt = o.now
	step.waiting++
	if end == endFailed && !step.spec.Lasting {
		o.countFailure(task)
	}
}

// completeTask completes a task, with its step and job if it was their last.
func (o *Owner) completeTask(task *taskState, step *stepState) {
	j := task.job
	task.phase = job.Done
	task.checkpoint = ""
	step.unfinished--
	if step.unfinished > 0 {
		return
	}
	j.unfinished--
	j.markStepsReady(o.now)
	if j.unfinished == 0 && !j.state.Final() {
		o.options.Counts.DoneTime.Observe(o.now - j.takenAt)
		o.endJob(j, job.Completed, "all tasks done")
	}
}

// countFailure counts a failed run, and fails the job once a task has used up the
// attempts that its queue allows.
func (o *Owner) countFailure(task *taskState) {
	j := task.job
	task.failures++
	queue, known := o.tables.Queue(j.spec.Queue)
	if !known || task.failures < queue.Attempts || j.state.Final() {
		return
	}
	o.endJob(j, job.Failed, "a task used up its attempts")
	o.whenRecorded(func() { o.stopJob(j, "job failed") })
}
