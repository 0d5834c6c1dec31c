package owner

import (
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/quota"
)

// fullPace is the pace, in percent, of a run that is not slowed.
const fullPace = 100

// Backoff of workers and tasks after start orders that failed.
const (
	refusedWorkerBackoff    clock.Millis = 300 // worker that refused a start
	unansweredWorkerBackoff clock.Millis = 500 // worker that did not answer, or could not be reached
	refusedTaskBackoff      clock.Millis = 100 // task whose start failed
)

// startRecorded sends the start order of a run whose record was just
// acknowledged.
func (o *Owner) startRecorded(r *run) {
	if r.stage != stageRecording || r.task.run != r {
		return
	}
	if reason := o.startBlockedReason(r); reason != "" {
		r.stopReason = reason
		o.endRun(r, endNotStarted, proof{evidence: evidenceNeverSent, at: o.now}, "")
		return
	}
	r.stage = stageOrdered
	r.startedAt = o.now
	o.sendStart(r)
}

// startBlockedReason returns why a recorded run must not be started any more,
// or "". A start grants a lease.
func (o *Owner) startBlockedReason(r *run) string {
	w := r.worker
	switch {
	case r.task.job.state.Final():
		return "job ended"
	case w.entry.Draining:
		return "worker is draining"
	case o.domainsOut[w.entry.Domain]:
		return "failure domain out of service"
	case !r.keepsQuota():
		return "above the limit of its customer"
	}
	if block := o.leaseBlock(w); block != leaseAllowed {
		return "no lease may be granted: " + block.String()
	}
	return ""
}

func (o *Owner) sendStart(r *run) {
	w := r.worker
	r.startsSent++
	r.startsOpen++
	o.noteStartSent(w)
	r.orderSentAt = o.now
	o.options.Effects.Start(fleet.Start{
		To: w.address(), Task: r.task.key(), Run: r.runNumber, Text: r.task.job.spec.Text,
		Checkpoint: r.task.checkpoint, UntilMS: o.grantLease(w), Token: w.token,
	})
}

// Started handles the answer to a start order.
func (o *Owner) Started(order fleet.Start, answer fleet.Answer) {
	if !o.beginInput() || o.resignIfFenced("start", order.To.ID, order.Token, answer.Outcome) {
		return
	}
	o.noteStartEnded(order.To.ID, !answer.Outcome.MaybeUnreachable())
	r := o.currentRun(order.Task, order.Run)
	switch answer.Outcome {
	case fleet.Unanswered:
		o.addUncertainStart(order, r)
	case fleet.NotSent, fleet.Fenced:
	default:
		o.countAnsweredGrant(o.workers[order.To.ID], order.UntilMS)
	}
	o.noteStartAnswer(r, answer)
	if r == nil || r.stage != stageOrdered || r.worker.id != order.To.ID {
		return
	}
	switch answer.Outcome {
	case fleet.Accepted, fleet.RunSuperseded:
		// RunSuperseded: the run was confirmed earlier and has ended; the next report lists its end.
		o.confirmStart(r)
	case fleet.Unanswered:
		r.startUnanswered = true
		o.retryStart(r, answer.Outcome)
	case fleet.NotSent, fleet.LeaseExpired:
		o.retryStart(r, answer.Outcome)
	default:
		o.abandonStart(r, answer.Outcome)
	}
}

// noteStartAnswer counts an answered start, and notes whether a new incarnation of the
// worker may have executed it.
func (o *Owner) noteStartAnswer(r *run, answer fleet.Answer) {
	if r == nil {
		return
	}
	r.startsOpen--
	if answer.Outcome == fleet.Unanswered || answer.Outcome == fleet.Accepted && !o.provesIncarnation(r, answer) {
		r.worker.incarnationUnprovenAt = o.now
	}
}

// provesIncarnation reports whether the answer to a run's start is from the incarnation
// that sent the last report: its clock continues the reported one. The clock of a later
// incarnation begins at any number; if at 0, it shows no more than the time since the hold
// that this report answered. Answers without a clock are taken as proof.
func (o *Owner) provesIncarnation(r *run, answer fleet.Answer) bool {
	w := r.worker
	earliest := w.clockMS - int64(max(w.clockReadAt-r.orderSentAt, 0)) // the start may have been executed before the report
	latest := w.clockUpperBound(o.now) + int64(o.options.Times.ClockSlack)
	continues := earliest <= answer.ClockMS && answer.ClockMS <= latest
	return answer.ClockMS == 0 || continues && answer.ClockMS > int64(o.now-w.reportedHoldSentAt)
}

// addUncertainStart adds an unanswered start, which may still be executed, to
// its worker's state. If its run is no longer current, the incarnation stays 0, so that
// it is stopped in any incarnation: no current run can be affected.
func (o *Owner) addUncertainStart(order fleet.Start, r *run) {
	w := o.workers[order.To.ID]
	if w == nil {
		return
	}
	start := uncertainStart{task: order.Task, run: order.Run, at: o.now}
	if r != nil && r.worker == w {
		start.incarnation = r.incarnation
	} else {
		o.quotas.ExtendLate(w.id, quota.Start{Task: order.Task, Run: order.Run}, o.now+uncertainStartTTL)
	}
	w.uncertainStarts = append(w.uncertainStarts, start)
	w.noteUncertainGrant(order.UntilMS, o.now)
}

// logRun returns a log event with the fields that identify a run.
func (o *Owner) logRun(event string, r *run) *zerolog.Event {
	return o.options.Log.Info().Str("event", event).Str("job", string(r.task.job.spec.ID)).Int("step", r.task.step).
		Int("index", r.task.index).Int("run", r.runNumber).Str("worker", r.worker.id)
}

// confirmStart records that a worker has started a run. Inherited runs get no line
// each: a takeover of a large cell would fill the log's buffer.
func (o *Owner) confirmStart(r *run) {
	inherited := r.stage == stageInherited
	if inherited && r.startedAt == 0 {
		r.startedAt = o.now
	}
	r.stage = stageConfirmed
	r.confirmedAt = o.now
	if inherited {
		return
	}
	j := r.task.job
	if !j.hasStarted {
		o.options.Metrics.StartTime.Observe(o.now - j.submittedAt)
	}
	j.hasStarted = true
	o.options.Metrics.Starts.Inc()
	if c := o.customerOf(j.account); c != nil {
		o.options.Metrics.Customer("task_starts", c.label, 1)
	}
	o.logRun("run_started", r).Int("tries", r.startsSent).Send()
}

// retryStart repeats a start order, which workers treat as idempotent, unless it
// was sent too often or no lease may be granted on the worker any more.
func (o *Owner) retryStart(r *run, outcome fleet.Outcome) {
	if r.startsSent >= maxStartsSent {
		o.abandonStart(r, outcome)
		return
	}
	r.worker.starts.retrying++
	o.timers.add(o.now+o.options.Times.OrderRetry, func() {
		defer o.noteStartRetried(r.worker)
		switch {
		case r.stage != stageOrdered || r.task.run != r:
		case o.leaseBlock(r.worker) != leaseAllowed || !r.keepsQuota():
			o.abandonStart(r, outcome)
		case o.delaysRetry(r.worker):
			o.retryStart(r, outcome)
		case r.worker.missedHolds > 0:
			// A new incarnation with other labels may answer. The hold that is repeated at
			// once shows which incarnation is there; if it is missed too, leases are blocked.
			o.retryStart(r, outcome)
		default:
			o.sendStart(r)
		}
	})
}

// abandonStart ends a run that its worker did not start. If an unanswered start
// order may still arrive, the run is stopped first, so that it can never begin.
func (o *Owner) abandonStart(r *run, outcome fleet.Outcome) {
	w := r.worker
	o.logRun("start_refused", r).Str("outcome", outcome.String()).
		Bool("unanswered", r.startUnanswered).Int64("contact_age_ms", int64(o.contactAge(w))).Send()
	w.backoffUntil = o.now + refusedWorkerBackoff
	r.task.notBefore = o.now + refusedTaskBackoff
	if outcome == fleet.Unanswered || outcome == fleet.NotSent {
		w.backoffUntil = o.now + unansweredWorkerBackoff
	}
	if r.startUnanswered {
		o.stopRun(r, "start "+outcome.String())
		return
	}
	o.endRun(r, endNotStarted, proof{evidence: refusalEvidence(outcome), at: r.orderSentAt}, "")
}

// refusalEvidence returns what an outcome of a start order shows, if no other start
// order of the run is unanswered.
func refusalEvidence(outcome fleet.Outcome) evidence {
	switch outcome {
	case fleet.NotSent:
		return evidenceNeverSent
	case fleet.OtherIncarnation:
		return evidenceOtherIncarnation
	default:
		return evidenceRefused
	}
}

// stopRun orders a worker to end a run, or never to begin it.
func (o *Owner) stopRun(r *run, stopReason string) {
	if r.stage == stageStopping || r.stage == stageStopped {
		return
	}
	if r.stage == stageRecording {
		r.stopReason = stopReason
		o.endRun(r, endNotStarted, proof{evidence: evidenceNeverSent, at: o.now}, "")
		return
	}
	r.stage = stageStopping
	r.stoppingSince = o.now
	r.stopReason = stopReason
	o.logRun("run_stopping", r).Str("reason", stopReason).Send()
	o.sendStop(r)
}

func (o *Owner) sendStop(r *run) {
	r.stopsSent++
	r.orderSentAt = o.now
	o.options.Effects.Stop(fleet.Stop{To: r.worker.address(), Task: r.task.key(), Run: r.runNumber, Token: r.worker.token})
}

// Stopped handles the answer to a stop order.
func (o *Owner) Stopped(order fleet.Stop, answer fleet.Answer) {
	if !o.beginInput() || o.resignIfFenced("stop", order.To.ID, order.Token, answer.Outcome) {
		return
	}
	r := o.currentRun(order.Task, order.Run)
	if r == nil && (answer.Outcome == fleet.Accepted || answer.Outcome == fleet.RunSuperseded) {
		o.quotas.StopConfirmed(order.To.ID, quota.Start{Task: order.Task, Run: order.Run}, o.now)
	}
	if r == nil || r.stage != stageStopping || r.worker.id != order.To.ID {
		return
	}
	switch {
	case answer.Outcome == fleet.Accepted || answer.Outcome == fleet.RunSuperseded:
		r.stage = stageStopped
		r.confirmedAt = o.now
		r.worker.skipHoldWait = true
	case answer.Outcome == fleet.OtherIncarnation && order.To.Host == r.worker.currentAddress():
		o.endRun(r, endWorkerRestarted, proof{evidence: evidenceOtherIncarnation, at: r.orderSentAt}, "")
	default:
		o.logStopRetry(r, answer.Outcome)
		o.timers.add(o.now+o.options.Times.OrderRetry, func() {
			if r.stage == stageStopping && r.task.run == r {
				o.sendStop(r)
			}
		})
	}
}

// logStopRetry logs that a stop order was not confirmed and is repeated, after 1, 2, 4, 8
// orders and so on.
func (o *Owner) logStopRetry(r *run, outcome fleet.Outcome) {
	if r.stopsSent&(r.stopsSent-1) != 0 {
		return
	}
	o.logRun("stop_retried", r).Str("outcome", outcome.String()).Int("tries", r.stopsSent).
		Int64("order_age_ms", int64(age(r.orderSentAt, o.now))).Int64("stopping_ms", int64(age(r.stoppingSince, o.now))).
		Int64("contact_age_ms", int64(o.contactAge(r.worker))).Send()
}

// stopJob stops all runs of a job.
func (o *Owner) stopJob(j *jobState, reason string) {
	for i := range j.steps {
		for k := range j.steps[i].tasks {
			if r := j.steps[i].tasks[k].run; r != nil {
				o.stopRun(r, reason)
			}
		}
	}
}

// assign records a run of a task on a worker; the start order is sent once the
// record is acknowledged.
func (o *Owner) assign(task *taskState, w *worker) {
	j := task.job
	step := &j.steps[task.step]
	task.phase = job.Assigned
	task.runNumber++
	step.waiting--
	j.lastPlacementChangeAt = o.now
	r := &run{task: task, runNumber: task.runNumber, incarnation: w.incarnation, pace: fullPace}
	o.attach(r, w)
	if j.state == job.Queued {
		j.state = job.Running
		o.markChanged(j)
	}
	o.markTaskChanged(task)
	o.noteStartPlaced(w)
	o.batch.onAck = append(o.batch.onAck, func() {
		o.noteStartRecorded(w)
		o.startRecorded(r)
	})
	blockedBy, blockedWorkers := step.rejections.leading()
	o.logRun("run_placed", r).Str("failure_domain", w.entry.Domain).
		Int64("waited_ms", int64(o.now-max(task.waitingSince, j.submittedAt))).Str("blocked_by", blockedBy.String()).Int("blocked_workers", blockedWorkers).Int64("contact_age_ms", int64(o.contactAge(w))).
		Int64("manifest", o.tables.Version).Send()
	if step.waiting == 0 {
		step.rejections = rejections{}
	}
}
