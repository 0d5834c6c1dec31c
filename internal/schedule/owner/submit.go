package owner

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// Ruling on a submission or a cancellation.
type Ruling uint8

// The rulings.
const (
	Taken       Ruling = iota // recorded
	Refused                   // not recorded, and never will be
	Invalid                   // the caller's mistake; not recorded
	Unsupported               // valid, but this version does not run it; not recorded
	Missing                   // no such job
	Elsewhere                 // this owner gave up; the next one knows
)

// String names the ruling for logs.
func (r Ruling) String() string {
	return [...]string{"taken", "refused", "invalid", "unsupported", "missing", "elsewhere"}[r]
}

// Verdict answers a submission or a cancellation.
type Verdict struct {
	Ruling     Ruling       `json:"ruling"`
	Reason     string       `json:"reason,omitempty"`
	RetryAfter clock.Millis `json:"retry_after_ms,omitempty"` // with Refused
}

// Submit takes a job. The reply comes once the job is recorded, or at once
// when it is refused.
func (o *Owner) Submit(spec job.Spec, reply func(Verdict)) {
	if !o.enter() {
		reply(Verdict{Ruling: Elsewhere, Reason: "ownership lost"})
		return
	}
	if known := o.jobs[spec.ID]; known != nil {
		o.await(known, reply)
		return
	}
	if verdict := o.admit(spec); verdict.Ruling != Taken {
		o.options.Log.Info().Str("event", "job_refused").Str("job", string(spec.ID)).Str("queue", spec.Queue).
			Str("ruling", verdict.Ruling.String()).Str("reason", verdict.Reason).
			Int64("retry_after_ms", int64(verdict.RetryAfter)).Int64("store_silence_ms", int64(o.StoreSilence())).Send()
		o.options.Counts.Refused(verdict.Ruling.String())
		reply(verdict)
		return
	}
	spec.AcceptedMS = o.options.Wall()
	j := newJob(spec)
	j.newSpec = true
	j.takenAt = o.now
	j.movedAt = o.now
	j.free(o.now)
	j.objects = o.objective(j)
	o.jobs[spec.ID] = j
	o.touch(j)
	o.await(j, reply)
	o.placeDue = true
}

// await replies once a job is recorded.
func (o *Owner) await(j *jobState, reply func(Verdict)) {
	if j.durable {
		reply(Verdict{Ruling: Taken})
		return
	}
	j.waiters = append(j.waiters, reply)
	if len(j.waiters) > 1 {
		return
	}
	o.batch.then = append(o.batch.then, func() { o.accepted(j) })
}

func (o *Owner) accepted(j *jobState) {
	if o.jobs[j.spec.ID] != j {
		return // refused before it was sent to the store
	}
	o.options.Counts.Accepted.Inc()
	o.options.Counts.AcceptTime.Observe(o.now - j.takenAt)
	o.options.Log.Info().Str("event", "job_accepted").Str("job", string(j.spec.ID)).Str("queue", j.spec.Queue).
		Int("steps", len(j.spec.Steps)).Int64("epoch", o.options.Epoch).
		Int64("manifest", o.tables.Version).Int64("took_ms", int64(o.now-j.takenAt)).Send()
	o.answerAll(j, Verdict{Ruling: Taken})
}

func (o *Owner) answerAll(j *jobState, verdict Verdict) {
	waiters := j.waiters
	j.waiters = nil
	for _, reply := range waiters {
		reply(verdict)
	}
}

// admit decides whether a new job is taken.
func (o *Owner) admit(spec job.Spec) Verdict {
	if o.StoreSilence() > o.options.Times.StoreSlow {
		return Verdict{Ruling: Refused, Reason: "the store does not answer", RetryAfter: clock.Second}
	}
	queue, ok := o.tables.Queue(spec.Queue)
	if !ok {
		return Verdict{Ruling: Refused, Reason: "the route is not known here yet", RetryAfter: clock.Second}
	}
	if queue.Advised {
		return Verdict{Ruling: Unsupported, Reason: "queues with a recommendation service are not supported"}
	}
	if o.tooLarge(queue.Pools, spec) {
		return Verdict{Ruling: Invalid, Reason: "a task is larger than any worker of its pool"}
	}
	if o.crowded(queue.Pools, spec) {
		return Verdict{Ruling: Refused, Reason: "no room for more lasting tasks", RetryAfter: lastingRetry}
	}
	return Verdict{Ruling: Taken}
}

// tooLarge reports whether a step's tasks fit no worker of some pools, as far as
// any is known.
func (o *Owner) tooLarge(pools []string, spec job.Spec) bool {
	known := false
	fits := make([]bool, len(spec.Steps))
	for _, w := range o.ordered {
		if !slices.Contains(pools, w.entry.Service) {
			continue
		}
		known = true
		for i := range spec.Steps {
			fits[i] = fits[i] || within(need(&spec.Steps[i]), w.entry.Room)
		}
	}
	if !known {
		return false
	}
	for _, fit := range fits {
		if !fit {
			return true
		}
	}
	return false
}

// Cancel ends a job. The reply comes once the cancellation is recorded.
func (o *Owner) Cancel(id job.ID, reply func(Verdict)) {
	if !o.enter() {
		reply(Verdict{Ruling: Elsewhere, Reason: "ownership lost"})
		return
	}
	j := o.jobs[id]
	if j == nil {
		reply(o.missing())
		return
	}
	if !j.state.Final() {
		j.cancel = true
		o.finish(j, job.Cancelled, "cancelled by its caller")
		o.after(func() { o.stopRuns(j, "job cancelled") })
	}
	o.asked++
	number := o.asked
	o.cancels[number] = reply
	o.after(func() {
		delete(o.cancels, number)
		reply(Verdict{Ruling: Taken})
	})
}

// missing is the answer for an unknown job. Only an owner that is surely still
// the owner may say that there is none.
func (o *Owner) missing() Verdict {
	if o.Fresh() {
		return Verdict{Ruling: Missing, Reason: "no such job"}
	}
	return Verdict{Ruling: Refused, Reason: "ownership is not confirmed", RetryAfter: clock.Second}
}

// Finding answers a question for a job.
type Finding struct {
	Verdict Verdict   `json:"verdict"` // Taken: the state below holds
	State   job.State `json:"state"`
}

// Lookup returns what is recorded of a job.
func (o *Owner) Lookup(id job.ID) Finding {
	if !o.enter() {
		return Finding{Verdict: Verdict{Ruling: Elsewhere, Reason: "ownership lost"}}
	}
	j := o.jobs[id]
	if j == nil || !j.durable {
		return Finding{Verdict: o.missing()}
	}
	return Finding{State: j.shown}
}

// Waiting counts the recorded jobs of a queue of which nothing has started.
func (o *Owner) Waiting(queue string) int {
	count := 0
	for _, j := range o.jobs {
		if j.durable && !j.began && !j.state.Final() && j.spec.Queue == queue {
			count++
		}
	}
	return count
}

// finish gives a job its final state.
func (o *Owner) finish(j *jobState, state job.State, reason string) {
	j.state = state
	j.endedMS = o.options.Wall()
	o.harm.Forget(string(j.spec.ID))
	o.options.Log.Info().Str("event", "job_ended").Str("job", string(j.spec.ID)).Str("queue", j.spec.Queue).
		Str("state", state.String()).Str("reason", reason).Int64("age_ms", int64(o.now-j.takenAt)).
		Int("runs_left", j.runs).Send()
	o.touch(j)
}

// refuseAll answers the callers who still wait when the ownership is lost.
// Whether their jobs are recorded is for the next owner to say.
func (o *Owner) refuseAll() {
	for _, j := range o.jobs {
		o.answerAll(j, Verdict{Ruling: Elsewhere, Reason: "ownership lost"})
	}
	for _, reply := range o.cancels {
		reply(Verdict{Ruling: Elsewhere, Reason: "ownership lost"})
	}
	o.cancels = nil
	o.batch, o.inFlight = batch{}, nil
}

// RefuseUnsent refuses the submissions that no append has carried yet, because
// the store does not answer. They were never sent to it, so they never run.
func (o *Owner) refuseUnsent() {
	kept := o.batch.jobs[:0]
	for _, j := range o.batch.jobs {
		if !j.newSpec {
			kept = append(kept, j)
			continue
		}
		delete(o.jobs, j.spec.ID)
		o.options.Counts.Refused("store")
		o.options.Log.Info().Str("event", "job_refused").Str("job", string(j.spec.ID)).Str("queue", j.spec.Queue).
			Str("reason", "the store does not answer").Int64("store_silence_ms", int64(o.StoreSilence())).Send()
		o.answerAll(j, Verdict{Ruling: Refused, Reason: "the store does not answer", RetryAfter: clock.Second})
	}
	o.batch.jobs = kept
}

// forget removes a job's records.
func (o *Owner) forget(id job.ID) {
	o.batch.removed = append(o.batch.removed, journal.Record{Key: keyProgress + string(id)})
}
