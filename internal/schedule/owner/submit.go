package owner

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/quota"
)

// Ruling is the decision on a submission, cancellation or lookup.
type Ruling uint8

// The rulings.
const (
	Recorded    Ruling = iota // the request is recorded and durable; from admit: no objection
	Refused                   // not recorded, and never will be; may be retried
	Invalid                   // caller's error; not recorded
	Unsupported               // valid, but not supported by this version; not recorded
	NotFound                  // no such job
	NotOwner                  // this owner has lost the ownership; the caller must look up the new owner
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

// JobRef names a job on behalf of a customer, who sees its own jobs and those that
// belong to no customer.
type JobRef struct {
	ID       job.ID `json:"id"`
	Customer string `json:"customer,omitempty"` // empty: none
}

// belongsTo reports whether a customer may see a job. Without a customer, the name is
// empty and only jobs of no customer may be seen.
func (j *jobState) belongsTo(customer string) bool {
	return j.spec.Customer == "" || j.spec.Customer == customer
}

// find returns the job that is named, or nil if there is none that the customer may see.
func (o *Owner) find(ref JobRef) *jobState {
	j := o.jobs[ref.ID]
	if j == nil || !j.belongsTo(ref.Customer) {
		return nil
	}
	return j
}

// refuseForeignID returns the refusal of a submission with the id of another customer's
// job. It tells nothing about that job.
func (o *Owner) refuseForeignID(spec job.Spec) Verdict {
	verdict := Verdict{Ruling: Invalid, Reason: "the id cannot be used"}
	if !o.OwnershipFresh() {
		verdict = o.notFoundVerdict()
	}
	o.options.Log.Info().Str("event", "job_refused").Str("job", string(spec.ID)).Str("queue", spec.Queue).
		Str("customer", spec.Customer).Str("ruling", verdict.Ruling.String()).Str("reason", "the id is of another customer's job").Send()
	o.options.Metrics.Refused(verdict.Ruling.String())
	return verdict
}

// reasonStoreSilent is the reason of refusals while the store does not answer.
const reasonStoreSilent = "the store does not answer"

// Submit adds a job. It replies once the job is recorded, or when the job is refused:
// at once if it is certain that no later owner has recorded the job. A repeated
// submission of the same id joins the first.
func (o *Owner) Submit(spec job.Spec, reply func(Verdict)) { o.SubmitHeld(spec, 0, reply) }

// SubmitHeld is Submit for a job that an entry has held for a time, without an owner or a
// decision.
func (o *Owner) SubmitHeld(spec job.Spec, held clock.Millis, reply func(Verdict)) {
	if !o.beginInput() {
		reply(Verdict{Ruling: NotOwner, Reason: "ownership lost"})
		return
	}
	o.decide(submission{spec: spec, reply: reply, at: o.now, heldSince: o.now - max(held, 0)})
}

// decide accepts or refuses a submission, or leaves it undecided.
func (o *Owner) decide(s submission) {
	if known := o.jobs[s.spec.ID]; known != nil {
		if !known.belongsTo(s.spec.Customer) {
			s.reply(o.refuseForeignID(s.spec))
			return
		}
		o.replyWhenRecorded(known, s.reply)
		return
	}
	verdict := o.verdictOn(&s)
	switch {
	case verdict.Ruling == Recorded:
		o.accept(s.spec, s.reply)
	case o.certainlyUnrecorded(s):
		o.refuse(s, verdict)
	default:
		o.undecided = append(o.undecided, s)
	}
}

// verdictOn returns the verdict on a job that is not known yet; Recorded: it may be
// accepted.
func (o *Owner) verdictOn(s *submission) Verdict {
	if o.wasCancelledEarly(s) {
		return Verdict{Ruling: Refused, Reason: "the job was cancelled before it reached the owner", RetryAfter: clock.Second}
	}
	if verdict := o.admit(s.spec); verdict.Ruling != Recorded {
		return verdict
	}
	return o.admitRateOnce(s)
}

// refuse refuses a submission.
func (o *Owner) refuse(s submission, verdict Verdict) {
	withCustomer(o.options.Log.Info(), s.spec).Str("event", "job_refused").Str("job", string(s.spec.ID)).Str("queue", s.spec.Queue).
		Str("ruling", verdict.Ruling.String()).Str("reason", verdict.Reason).Int64("retry_after_ms", int64(verdict.RetryAfter)).
		Int64("store_silence_ms", int64(o.PendingAppendAge())).Int64("store_age_ms", int64(o.now-o.ownershipConfirmedAt)).
		Int64("no_later_owner_age_ms", int64(age(o.noLaterOwnerAt, o.now))).Send()
	reason := verdict.Ruling.String()
	if verdict.Reason == reasonStoreSilent {
		reason = "store"
	}
	o.options.Metrics.Refused(reason)
	s.reply(verdict)
}

// accept adds a job to the next append, and replies once it is recorded.
func (o *Owner) accept(spec job.Spec, reply func(Verdict)) {
	spec.AcceptedMS = o.options.WallClock()
	j := newJob(spec)
	j.account, j.excess = o.quotas.Account(spec.Customer), spec.Excess
	j.specUnsent = true
	j.submittedAt = o.now
	j.lastPlacementChangeAt = o.now
	j.setWaitingSince(o.now)
	j.deadlines = o.objective(j)
	o.jobs[spec.ID] = j
	o.noteAttempts(spec.Queue)
	o.countSizes(j)
	o.markChanged(j)
	o.replyWhenRecorded(j, reply)
	o.placementDue = true
}

// replyWhenRecorded replies to a submission once its job is recorded.
func (o *Owner) replyWhenRecorded(j *jobState, reply func(Verdict)) {
	if j.durable {
		reply(Verdict{Ruling: Recorded})
		return
	}
	j.acceptReplies = append(j.acceptReplies, reply)
	if len(j.acceptReplies) > 1 {
		return
	}
	o.batch.onAck = append(o.batch.onAck, func() { o.reportAccepted(j) })
}

// reportAccepted replies to the callers of a job that is now recorded.
func (o *Owner) reportAccepted(j *jobState) {
	if o.jobs[j.spec.ID] != j || j.refusals > 0 {
		return // refused before an append carried it, or by the store
	}
	o.options.Metrics.Accepted.Inc()
	if c := o.customerOf(j.account); c != nil {
		o.options.Metrics.Customer("jobs_accepted", c.label, 1)
	}
	o.options.Metrics.AcceptTime.Observe(o.now - j.submittedAt)
	withCustomer(o.options.Log.Info(), j.spec).Str("event", "job_accepted").Str("job", string(j.spec.ID)).Str("queue", j.spec.Queue).
		Int("steps", len(j.spec.Steps)).Int64("epoch", o.options.Epoch).
		Int64("manifest", o.tables.Version).Int64("took_ms", int64(o.now-j.submittedAt)).Send()
	o.replyAll(j, Verdict{Ruling: Recorded})
}

// replyAll answers all callers that wait for a job's record.
func (o *Owner) replyAll(j *jobState, verdict Verdict) {
	acceptReplies := j.acceptReplies
	j.acceptReplies = nil
	for _, reply := range acceptReplies {
		reply(verdict)
	}
}

// admit decides whether to accept a new job. Recorded means that nothing stands
// against it; the job is not recorded yet.
func (o *Owner) admit(spec job.Spec) Verdict {
	if verdict := o.objection(spec, o.quotas.Account(spec.Customer)); verdict.Ruling != Recorded {
		return verdict
	}
	if o.options.AdmitBytes != nil && !o.options.AdmitBytes(heldBytes(spec)) {
		return Verdict{Ruling: Refused, Reason: "the owner's memory for jobs is in use", RetryAfter: clock.Second}
	}
	return Verdict{Ruling: Recorded}
}

// objection returns what stands against a new job, besides the memory for jobs; Recorded:
// nothing. It changes no state.
func (o *Owner) objection(spec job.Spec, account *quota.Account) Verdict {
	if o.PendingAppendAge() > o.options.Times.StoreTimeout {
		return Verdict{Ruling: Refused, Reason: reasonStoreSilent, RetryAfter: clock.Second}
	}
	queue, ok := o.tables.Queue(spec.Queue)
	if !ok {
		return Verdict{Ruling: Refused, Reason: "the route is not known here yet", RetryAfter: clock.Second}
	}
	if queue.ExternallyPlaced {
		return Verdict{Ruling: Unsupported, Reason: "queues with a recommendation service are not supported"}
	}
	if err := spec.CheckRecordable(o.options.Limits.RecordBytes); err != nil {
		return Verdict{Ruling: Invalid, Reason: err.Error()}
	}
	if exceedsQuota(account, &spec) {
		return Verdict{Ruling: Invalid, Reason: "a task is larger than the limit of its customer"}
	}
	if o.tooLarge(queue.Pools, spec) {
		return Verdict{Ruling: Invalid, Reason: "a task is larger than any worker of its pool"}
	}
	if o.lacksLongRunningCapacity(queue.Pools, spec) {
		return Verdict{Ruling: Refused, Reason: "no room for more lasting tasks", RetryAfter: longRunningRetryAfter}
	}
	if o.lacksLongRunningQuota(account, &spec) {
		return Verdict{Ruling: Refused, Reason: "the customer's limit leaves no room for more lasting tasks", RetryAfter: longRunningRetryAfter}
	}
	return Verdict{Ruling: Recorded}
}

// Estimated memory of an accepted job and its encoded records.
const (
	taskBytes  = 200  // bytes of a task: its state, and a part of its record while it is encoded
	stepBytes  = 1024 // bytes of a step besides its tasks and texts
	textFactor = 2    // a text is held in the specification and in its record while that is encoded
)

// heldBytes estimates the memory of an accepted job.
func heldBytes(spec job.Spec) int64 {
	bytes := textFactor * len(spec.Text)
	for _, step := range spec.Steps {
		bytes += stepBytes + taskBytes*step.Count + textFactor*(len(step.Label)+len(step.Rack)+len(step.Image))
	}
	return int64(bytes)
}

// tooLarge reports whether some step's tasks fit on no known worker of some
// pools. It is false while no worker of these pools is known.
func (o *Owner) tooLarge(pools []string, spec job.Spec) bool {
	known := false
	fits := make([]bool, len(spec.Steps))
	for _, w := range o.sortedWorkers {
		if !slices.Contains(pools, w.entry.Service) {
			continue
		}
		known = true
		for i := range spec.Steps {
			fits[i] = fits[i] || committedRoom(&spec.Steps[i]).FitsIn(w.entry.Room)
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

// Cancel cancels a job. It replies once the cancellation is recorded.
func (o *Owner) Cancel(ref JobRef, reply func(Verdict)) {
	if !o.beginInput() {
		reply(Verdict{Ruling: NotOwner, Reason: "ownership lost"})
		return
	}
	j := o.find(ref)
	if j == nil {
		reply(o.cancelUnknown(ref))
		return
	}
	if !j.state.Final() {
		j.cancelled = true
		o.endJob(j, job.Cancelled, "cancelled by its caller")
		o.whenRecorded(func() { o.stopJob(j, "job cancelled") })
	}
	o.cancelCount++
	number := o.cancelCount
	o.cancelReplies[number] = reply
	o.whenRecorded(func() {
		delete(o.cancelReplies, number)
		reply(Verdict{Ruling: Recorded})
	})
}

// cancelUnknown returns the verdict on the cancellation of an unknown job, and remembers
// it if it is final.
func (o *Owner) cancelUnknown(ref JobRef) Verdict {
	verdict := o.notFoundVerdict()
	if verdict.Ruling == NotFound {
		o.earlyCancels.note(ref, o.now)
	}
	return verdict
}

// notFoundVerdict is the verdict on an unknown job. Only an owner whose
// ownership was confirmed recently may answer that the job does not exist.
func (o *Owner) notFoundVerdict() Verdict {
	if o.OwnershipFresh() {
		return Verdict{Ruling: NotFound, Reason: "no such job"}
	}
	return Verdict{Ruling: Refused, Reason: "ownership is not confirmed", RetryAfter: clock.Second}
}

// LookupResult is the result of a job lookup.
type LookupResult struct {
	Verdict Verdict   `json:"verdict"` // Recorded: State is valid
	State   job.State `json:"state"`
}

// Lookup returns the recorded state of a job.
func (o *Owner) Lookup(ref JobRef) LookupResult {
	if !o.beginInput() {
		return LookupResult{Verdict: Verdict{Ruling: NotOwner, Reason: "ownership lost"}}
	}
	j := o.find(ref)
	if j == nil || !j.durable {
		return LookupResult{Verdict: o.notFoundVerdict()}
	}
	return LookupResult{State: j.recordedState}
}

// CountWaiting counts the recorded jobs of a queue that have not started.
func (o *Owner) CountWaiting(queue string) int {
	count := 0
	for _, j := range o.jobs {
		if j.durable && !j.hasStarted && !j.state.Final() && j.spec.Queue == queue {
			count++
		}
	}
	return count
}

// endJob sets the final state of a job.
func (o *Owner) endJob(j *jobState, state job.State, reason string) {
	j.state = state
	j.endedMS, j.endedAt = o.options.WallClock(), o.now
	o.interference.ForgetGroup(string(j.spec.ID))
	o.options.Log.Info().Str("event", "job_ended").Str("job", string(j.spec.ID)).Str("queue", j.spec.Queue).
		Str("state", state.String()).Str("reason", reason).Int64("age_ms", int64(o.now-j.submittedAt)).
		Int("runs_left", j.runs).Send()
	o.markChanged(j)
}

// answerCallersNotOwner answers all waiting callers when the ownership is lost.
// Whether their jobs were recorded can be found out only from the next owner.
func (o *Owner) answerCallersNotOwner() {
	for _, j := range o.jobs {
		o.replyAll(j, Verdict{Ruling: NotOwner, Reason: "ownership lost"})
	}
	for _, s := range o.undecided {
		s.reply(Verdict{Ruling: NotOwner, Reason: "ownership lost"})
	}
	o.undecided = nil
	for _, reply := range o.cancelReplies {
		reply(Verdict{Ruling: NotOwner, Reason: "ownership lost"})
	}
	o.cancelReplies = nil
	o.batch, o.inFlight = batch{}, nil
}

// refuseUnsent takes back the submissions that no append has carried yet, because
// the store does not answer. The store never received them, so they are refused if it
// is certain that no later owner has recorded them. A job that was cancelled meanwhile is
// kept: its cancellation must be recorded before it is answered.
func (o *Owner) refuseUnsent() {
	remaining := o.batch.jobs[:0]
	for _, j := range o.batch.jobs {
		if !j.specUnsent || j.cancelled {
			remaining = append(remaining, j)
			continue
		}
		o.takeBack(j)
	}
	o.batch.jobs = remaining
}

// takeBack removes a job that no append has carried, and decides on it again for each of
// its callers.
func (o *Owner) takeBack(j *jobState) {
	delete(o.jobs, j.spec.ID)
	acceptReplies := j.acceptReplies
	j.acceptReplies = nil
	for _, reply := range acceptReplies {
		o.decide(submission{spec: j.spec, reply: reply, at: o.now, heldSince: j.submittedAt, rateCounted: true})
	}
}

// removeRecords deletes all records of a final job. Its specification is deleted already
// unless it holds the job's customer. The first record of its progress goes after the
// others, as it says that they are not valid.
func (o *Owner) removeRecords(j *jobState) {
	o.batch.removals = append(o.batch.removals, o.takeRemovals(j)...)
	o.batch.removals = append(o.batch.removals, journal.Record{Key: keyProgress + string(j.spec.ID)})
	if j.spec.Customer != "" {
		o.batch.removals = append(o.batch.removals, journal.Record{Key: keySpec + string(j.spec.ID)})
	}
}
