package owner

import (
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// fullPace is the pace of a run that is not slowed.
const fullPace = 100

// Rests of workers and tasks after orders that were not carried out.
const (
	refusalRest clock.Millis = 300 // of a worker that had no room or was unwell
	silenceRest clock.Millis = 500 // of a worker that left an order unanswered
	taskRest    clock.Millis = 100 // of a task whose order was refused
)

// order sends the start of a run whose record was just acknowledged.
func (o *Owner) order(r *run) {
	if r.stage != stageRecording || r.task.run != r {
		return
	}
	if reason := o.unfit(r); reason != "" {
		r.why = reason
		o.over(r, endNotStarted, "")
		return
	}
	r.stage = stageOrdered
	r.startedAt = o.now
	o.sendStart(r)
}

// unfit returns why a recorded run must not be ordered any more, or "".
func (o *Owner) unfit(r *run) string {
	w := r.worker
	switch {
	case r.task.job.state.Final():
		return "job ended"
	case w.entry.Draining:
		return "worker drains"
	case o.out[w.entry.Domain]:
		return "failure domain is out"
	case w.clockAt == 0:
		return "worker restarted"
	}
	return ""
}

func (o *Owner) sendStart(r *run) {
	w := r.worker
	r.tries++
	o.options.Effects.Start(fleet.Start{
		To: w.address(), Task: r.task.name(), Run: r.number, Text: r.task.job.spec.Text,
		Checkpoint: r.task.checkpoint, UntilMS: o.lease(w), Token: o.options.Epoch,
	})
}

// deposed counts a worker's answer to an order, and resigns if the worker knows
// a newer owner.
func (o *Owner) deposed(order, worker string, outcome fleet.Outcome) bool {
	o.options.Counts.Answered(order, outcome.String())
	if outcome != fleet.Fenced {
		return false
	}
	o.resign("worker " + worker + " knows a newer owner")
	return true
}

// Started takes the answer to a start.
func (o *Owner) Started(order fleet.Start, answer fleet.Answer) {
	if !o.enter() || o.deposed("start", order.To.ID, answer.Outcome) {
		return
	}
	r := o.runOf(order.Task, order.Run)
	if answer.Outcome == fleet.Unanswered {
		o.noteDoubt(order, r)
	}
	if r == nil || r.stage != stageOrdered || r.worker.id != order.To.ID {
		return
	}
	switch answer.Outcome {
	case fleet.Accepted, fleet.Old:
		// An old run was confirmed before and has ended since; the report tells how.
		o.confirm(r)
	case fleet.Unanswered:
		r.unanswered = true
		o.retryStart(r, answer.Outcome)
	case fleet.NotSent, fleet.Late:
		o.retryStart(r, answer.Outcome)
	default:
		o.refused(r, answer.Outcome)
	}
}

// noteDoubt remembers a start that may yet be carried out. Without a current
// run there is nothing that stopping it could harm, whatever the incarnation.
func (o *Owner) noteDoubt(order fleet.Start, r *run) {
	w := o.workers[order.To.ID]
	if w == nil {
		return
	}
	d := doubt{task: order.Task, run: order.Run, at: o.now}
	if r != nil && r.worker == w {
		d.born = r.born
	}
	w.doubts = append(w.doubts, d)
}

// runLine begins a log line about a run.
func (o *Owner) runLine(event string, r *run) *zerolog.Event {
	return o.options.Log.Info().Str("event", event).Str("job", string(r.task.job.spec.ID)).Int("step", r.task.step).
		Int("index", r.task.index).Int("run", r.number).Str("worker", r.worker.id)
}

// confirm notes that a worker has a run.
func (o *Owner) confirm(r *run) {
	if r.stage == stageInherited && r.startedAt == 0 {
		r.startedAt = o.now
	}
	r.stage = stageConfirmed
	r.confirmedAt = o.now
	j := r.task.job
	if !j.began {
		o.options.Counts.StartTime.Observe(o.now - j.takenAt)
	}
	j.began = true
	o.options.Counts.Starts.Inc()
	o.runLine("run_started", r).Int("tries", r.tries).Send()
}

// retryStart repeats a start; the worker takes a repeat for the same run.
func (o *Owner) retryStart(r *run, outcome fleet.Outcome) {
	if r.tries >= startTries {
		o.refused(r, outcome)
		return
	}
	o.timers.add(o.now+o.options.Times.Retry, func() {
		if r.stage == stageOrdered && r.task.run == r {
			o.sendStart(r)
		}
	})
}

// refused gives a run up that its worker does not have. If an order of it may
// still be on its way, the run is stopped first, so that it can never begin.
func (o *Owner) refused(r *run, outcome fleet.Outcome) {
	w := r.worker
	o.runLine("start_refused", r).Str("outcome", outcome.String()).
		Bool("unanswered", r.unanswered).Int64("contact_age_ms", int64(o.contactAge(w))).Send()
	w.restUntil = o.now + refusalRest
	r.task.notBefore = o.now + taskRest
	if outcome == fleet.Unanswered || outcome == fleet.NotSent {
		w.restUntil = o.now + silenceRest
	}
	if r.unanswered {
		o.stop(r, "start "+outcome.String())
		return
	}
	o.over(r, endNotStarted, "")
}

// stop orders a run to end, or never to begin.
func (o *Owner) stop(r *run, why string) {
	if r.stage == stageStopping || r.stage == stageStopped {
		return
	}
	if r.stage == stageRecording {
		r.why = why
		o.over(r, endNotStarted, "")
		return
	}
	r.stage = stageStopping
	r.why = why
	o.runLine("run_stopping", r).Str("why", why).Send()
	o.sendStop(r)
}

func (o *Owner) sendStop(r *run) {
	o.options.Effects.Stop(fleet.Stop{To: r.worker.address(), Task: r.task.name(), Run: r.number, Token: o.options.Epoch})
}

// Stopped takes the answer to a stop.
func (o *Owner) Stopped(order fleet.Stop, answer fleet.Answer) {
	if !o.enter() || o.deposed("stop", order.To.ID, answer.Outcome) {
		return
	}
	r := o.runOf(order.Task, order.Run)
	if r == nil || r.stage != stageStopping || r.worker.id != order.To.ID {
		return
	}
	switch answer.Outcome {
	case fleet.Accepted, fleet.Old:
		r.stage = stageStopped
		r.confirmedAt = o.now
		r.worker.hurry = true
	case fleet.OtherLife:
		o.over(r, endGone, "")
	default:
		o.timers.add(o.now+o.options.Times.Retry, func() {
			if r.stage == stageStopping && r.task.run == r {
				o.sendStop(r)
			}
		})
	}
}

// stopRuns stops all runs of a job.
func (o *Owner) stopRuns(j *jobState, why string) {
	for i := range j.steps {
		for k := range j.steps[i].tasks {
			if r := j.steps[i].tasks[k].run; r != nil {
				o.stop(r, why)
			}
		}
	}
}

// assign records a run of a task on a worker; its order follows the record.
func (o *Owner) assign(task *taskState, w *worker) {
	j := task.job
	step := &j.steps[task.step]
	task.phase = job.Assigned
	task.number++
	step.waiting--
	j.movedAt = o.now
	r := &run{task: task, number: task.number, born: w.born, pace: fullPace}
	o.attach(r, w)
	if j.state == job.Queued {
		j.state = job.Running
	}
	o.touch(j)
	o.batch.then = append(o.batch.then, func() { o.order(r) })
	o.runLine("run_placed", r).Str("failure_domain", w.entry.Domain).
		Int64("waited_ms", int64(o.now-max(task.freeAt, j.takenAt))).Int64("contact_age_ms", int64(o.contactAge(w))).
		Int64("manifest", o.tables.Version).Send()
}
