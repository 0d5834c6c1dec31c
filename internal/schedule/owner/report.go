package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// Report handles a worker's answer to a hold.
func (o *Owner) Report(id string, report fleet.Report) {
	w := o.workers[id]
	if !o.beginInput() || w == nil {
		return
	}
	w.holdInFlight = false
	if o.resignIfFenced("hold", id, w.holdToken, report.Outcome) {
		return
	}
	if report.Outcome == fleet.Unanswered {
		w.noteUncertainGrant(w.holdUntilMS, o.now)
	}
	switch {
	case report.Outcome == fleet.Accepted && o.isLate(w, report):
		o.holdMissed(w, fleet.Unanswered)
	case report.Outcome == fleet.Accepted:
		o.handleReport(w, report)
	case report.Outcome == fleet.OtherIncarnation && w.holdAddress == w.currentAddress():
		o.incarnationReplaced(w)
	default: // another worker at an address that this one has left is no evidence on it
		o.holdMissed(w, report.Outcome)
	}
}

// isLate reports whether a report comes from an incarnation that has ended: an
// earlier one, asked before the present one was known. If asked later, an earlier
// start time is that of a worker whose time of day went back.
func (o *Owner) isLate(w *worker, report fleet.Report) bool {
	return report.Incarnation < w.incarnation && w.holdSentAt <= w.incarnationKnownAt
}

// holdMissed counts a hold that a worker did not answer, and schedules the
// next.
func (o *Owner) holdMissed(w *worker, outcome fleet.Outcome) {
	if w.missedHolds == 0 {
		o.options.Log.Warn().Str("event", "worker_unresponsive").Str("worker", w.id).Str("outcome", outcome.String()).
			Int64("contact_age_ms", int64(o.contactAge(w))).Int("runs", len(w.runs)).Send()
	}
	w.missedHolds++
	if w.missedHolds >= missedHoldsToUnresponsive && w.lastReportAt != 0 {
		o.markUnresponsive(w)
	}
	w.nextHoldAt = o.now + unresponsiveHoldPeriod
	// After the first missed hold, retry at once: the connection may have failed,
	// not the worker.
	if w.missedHolds == 1 {
		w.nextHoldAt = o.now
	}
}

// incarnationReplaced ends the runs of a worker at whose address another
// incarnation answers: the incarnation that held them no longer exists.
func (o *Owner) incarnationReplaced(w *worker) {
	o.options.Log.Warn().Str("event", "worker_replaced").Str("worker", w.id).Int("runs", len(w.runs)).
		Str("address", w.entry.Address).Str("hold_address", w.holdAddress).Int64("hold_age_ms", int64(age(w.holdSentAt, o.now))).
		Int64("born", w.incarnation).Int64("contact_age_ms", int64(o.contactAge(w))).Send()
	for _, r := range w.sortedRuns() {
		o.endRun(r, endWorkerRestarted, proof{evidence: evidenceOtherIncarnation, at: w.holdSentAt}, "")
	}
	w.missedHolds++
	w.nextHoldAt = o.now + clock.Second
}

// adoptRuns moves runs that were placed on an earlier incarnation to the present one
// if its report lists them: their start reached it.
func (o *Owner) adoptRuns(w *worker, report fleet.Report) {
	adopt := func(task job.Task, number int) {
		if r := o.currentRun(task, number); r != nil && r.worker == w && r.incarnation < w.incarnation {
			o.adopt(r)
		}
	}
	for _, row := range report.Running {
		adopt(row.Task, row.Run)
	}
	for _, end := range report.Ended {
		adopt(end.Task, end.Run)
	}
}

// handleReport applies a worker's report.
func (o *Owner) handleReport(w *worker, report fleet.Report) {
	switch {
	case report.Incarnation > w.incarnation:
		o.workerRestarted(w, report.Incarnation, evidenceWorkerRestartedReported)
	case report.Incarnation < w.incarnation && w.namedOther(report.Incarnation):
		o.workerRestartedEarlier(w)
	}
	w.reportedIncarnation = report.Incarnation
	o.adoptRuns(w, report)
	if w.missedHolds > 0 || w.lastReportAt == 0 {
		o.logResponsive(w, report)
		o.placementDue = true
	}
	o.noteFencing(w, report)
	o.endRunsOfOldIncarnations(w)
	o.stopUncertainStarts(w)
	o.noteContact(w, report.ClockMS)
	o.decaySpeed(w)
	o.applyEnds(w, report.Ended)
	listed := o.applyRunning(w, report.Running)
	o.settleLateStarts(w, report)
	if !report.Truncated {
		o.handleMissing(w, listed)
	}
	o.endTrial(w)
	if o.inStallBackoff(w) {
		return // tail latencies on a stalled worker are no evidence of interference
	}
	if counts := o.stallCounts(w); o.isStalled(w, counts) {
		o.moveOffStalled(w, counts)
		return
	}
	o.handleInterference(w)
}

// logResponsive logs the first report of a worker, or the first one after missed holds.
func (o *Owner) logResponsive(w *worker, report fleet.Report) {
	o.options.Log.Info().Str("event", "worker_responsive").Str("worker", w.id).Int("misses", w.missedHolds).
		Int("running", len(report.Running)).Int("ended", len(report.Ended)).Int64("born", report.Incarnation).
		Int64("clock_ms", report.ClockMS).Int64("clock_expected_ms", w.expectedClock(o.now)).Int64("until_ms", w.leaseUntilMS).Send()
}

// noteContact updates what a report shows of a worker's clock and its contact, and sets
// the time of the next hold.
func (o *Owner) noteContact(w *worker, clockMS int64) {
	w.clockMS, w.clockReadAt = clockMS, o.now
	w.lastReportAt = o.now
	w.reportedHoldSentAt = w.holdSentAt
	if w.holdSentAt >= w.incarnationUnprovenAt {
		w.incarnationUnprovenAt = 0
	}
	o.markResponsive(w)
	w.missedHolds = 0
	w.leasesLapsed = false
	w.nextHoldAt = o.now + max(o.options.Times.ReportGap, o.scaleByWorkers(reportGapPerWorker))
}

// applyEnds applies the ends that a worker lists. Once they are recorded, the
// next hold acknowledges them, so that the worker may discard them.
func (o *Owner) applyEnds(w *worker, ends []fleet.End) {
	highest := w.endsApplied
	for _, end := range ends {
		highest = max(highest, end.Number)
		r := o.currentRun(end.Task, end.Run)
		if r == nil || r.worker != w {
			o.noteLateEnd(w, end)
			o.countLateFailure(w, end)
			continue // the run was ended earlier
		}
		o.applyEnd(r, end)
	}
	if highest == w.endsApplied {
		return
	}
	w.endsApplied = highest
	incarnation, reported := w.incarnation, w.reportedIncarnation
	o.whenRecorded(func() {
		if w.incarnation == incarnation && w.reportedIncarnation == reported {
			w.endsRecorded = max(w.endsRecorded, highest)
		}
	})
}

// noteLateEnd logs the completion of a run that an owner had ended before without
// it: the run was done while no owner reached its worker, or was ended too early.
// Ends that were applied before, which workers repeat, are not logged.
func (o *Owner) noteLateEnd(w *worker, end fleet.End) {
	task := o.task(end.Task)
	if end.Cause != fleet.EndDone || end.Number <= w.endsApplied || task == nil || task.spec().Lasting {
		return
	}
	if task.runNumber == end.Run && task.phase == job.Done {
		return
	}
	o.options.Log.Warn().Str("event", "late_end_reported").Str("job", string(end.Task.Job)).Int("step", end.Task.Step).
		Int("index", end.Task.Index).Int("run", end.Run).Str("worker", w.id).Int("newest_run", task.runNumber).
		Int64("hold_age_ms", int64(age(w.holdSentAt, o.now))).Int64("epoch", o.options.Epoch).Send()
}

func (o *Owner) applyEnd(r *run, end fleet.End) {
	reported := proof{evidence: evidenceReported, at: r.worker.holdSentAt}
	switch end.Cause {
	case fleet.EndDone:
		o.endRun(r, endDone, reported, "")
	case fleet.EndFailed:
		o.endRun(r, endFailed, reported, end.Checkpoint)
	case fleet.EndStopped:
		o.endRun(r, endStopped, reported, end.Checkpoint)
	case fleet.EndLeaseLapsed, fleet.EndGangBroken, fleet.EndGangIncomplete:
		o.endRun(r, endLeaseLapsed, reported, end.Checkpoint)
	}
}

// applyRunning applies the runs that a worker lists as present, stops those
// that should not be there, and returns the others.
func (o *Owner) applyRunning(w *worker, runs []fleet.Run) map[*run]bool {
	listed := make(map[*run]bool, len(runs))
	for _, row := range runs {
		r := o.currentRun(row.Task, row.Run)
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
	o.updateProgress(r, row)
	o.addProcessorTime(r, row.Usage)
	r.usage = row.Usage
	r.hasUsed = r.hasUsed || usesProcessors(r.task.spec(), row.Usage)
	r.reportedAt = o.now
	o.keepCheckpoint(r.task, row.Checkpoint)
	o.updateExpectedEnds(r)
	switch r.stage {
	case stageInherited, stageOrdered:
		o.confirmStart(r)
		if r.task.job.state.Final() {
			o.stopRun(r, "job ended")
		}
	case stageRecording, stageConfirmed, stageStopping, stageStopped:
	}
}

// keepCheckpoint stores the newest checkpoint of a task, which is recorded with the next
// change of a task in the same record. One that is longer than job.MaxCheckpointBytes is
// ignored: the task resumes from an earlier one.
func (o *Owner) keepCheckpoint(task *taskState, checkpoint string) {
	if len(checkpoint) > job.MaxCheckpointBytes {
		o.options.Log.Debug().Str("event", "checkpoint_too_long").Str("job", string(task.job.spec.ID)).Int("step", task.step).
			Int("index", task.index).Int("bytes", len(checkpoint)).Int("limit", job.MaxCheckpointBytes).Send()
		return
	}
	if checkpoint != "" {
		task.checkpoint = checkpoint
	}
}

// stopStray stops a run that a worker lists but should not have: a later run of
// its task was recorded, or its job is unknown.
func (o *Owner) stopStray(w *worker, row fleet.Run) {
	o.options.Log.Warn().Str("event", "stray_run_stopped").Str("job", string(row.Task.Job)).
		Int("step", row.Task.Step).Int("index", row.Task.Index).Int("run", row.Run).Str("worker", w.id).Send()
	o.holdLate(w, row.Task, row.Run, o.now)
	o.options.Effects.Stop(fleet.Stop{To: w.address(), Task: row.Task, Run: row.Run, Token: w.token})
}

// handleMissing handles runs that a report should list but does not. Only runs
// that were confirmed before the hold was sent count as missing.
func (o *Owner) handleMissing(w *worker, listed map[*run]bool) {
	for _, r := range w.sortedRuns() {
		if listed[r] || r.confirmedAt >= w.holdSentAt {
			continue
		}
		switch r.stage {
		case stageStopped:
			o.endRun(r, endStopped, proof{evidence: evidenceStopConfirmed, at: r.confirmedAt}, "")
		case stageConfirmed, stageInherited:
			o.stopRun(r, "missing from its worker's report")
		case stageRecording, stageOrdered, stageStopping:
		}
	}
}

// runEnd is the cause of the end of a run.
type runEnd uint8

const (
	endDone runEnd = iota
	endFailed
	endStopped
	endLeaseLapsed
	endWorkerRestarted // its worker restarted
	endNotStarted      // it never began, and never will
)

func (e runEnd) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "gone", "not_started"}[e]
}

// endRun ends a run: it frees the worker's room, and completes its task or
// makes it wait for another run.
func (o *Owner) endRun(r *run, end runEnd, by proof, checkpoint string) {
	task, j := r.task, r.task.job
	step := &j.steps[task.step]
	o.keepCheckpoint(task, checkpoint)
	o.options.Metrics.Ended(end.String())
	o.logRun("run_ended", r).Str("cause", end.String()).
		Str("reason", r.stopReason).Int64("ran_ms", int64(age(r.startedAt, o.now))).Int64("contact_age_ms", int64(o.contactAge(r.worker))).
		Str("evidence", by.evidence.String()).Int64("evidence_age_ms", int64(age(by.at, o.now))).Int64("epoch", o.options.Epoch).Send()
	if end == endDone {
		o.learnDuration(r)
	}
	o.updateWorkerHistory(r, end)
	o.holdLateStart(r, by)
	o.detach(r)
	o.markTaskChanged(task)
	o.placementDue = true
	j.lastPlacementChangeAt = o.now
	if end == endDone && !step.spec.Lasting {
		o.completeTask(task, step)
		return
	}
	task.phase = job.Waiting
	task.waitingSince = o.now
	step.waiting++
	if end == endLeaseLapsed && by.evidence != evidenceReported {
		task.noteLapse(r.runNumber)
	}
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
		o.options.Metrics.DoneTime.Observe(o.now - j.submittedAt)
		o.endJob(j, job.Completed, "all tasks done")
	}
}
