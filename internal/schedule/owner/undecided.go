package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// A refusal promises that the job is not recorded. But the caller may have sent the job
// before, and a later owner that this one does not know of may have recorded it. So a
// submission is refused only if no later owner can have accepted it before it arrived
// here; until that is certain it stays undecided.

// undecidedWait is how long a submission stays undecided. After that the entry that
// sent it tries again, and may know a later owner by then. It is longer than a round of
// queries to the other entries, which shows that there is none.
const undecidedWait clock.Millis = 600

// submission is a submission to decide on.
type submission struct {
	spec  job.Spec
	reply func(Verdict)
	at    clock.Millis // when it arrived at this owner
	// heldSince is when its entry received it, or up to its time on the way here later.
	heldSince clock.Millis
	// rateRefusal is the refusal for its customer's rate. Its ruling is Recorded while the
	// rate has not been checked or allows the submission.
	rateRefusal Verdict
	rateCounted bool // it is counted against its customer's rate
}

// NoLaterOwner records that all other entries were found to know no later owner, by
// answers to queries that were sent at a time or later.
func (o *Owner) NoLaterOwner(at clock.Millis) {
	if !o.beginInput() {
		return
	}
	o.noLaterOwnerAt = max(o.noLaterOwnerAt, at)
	o.decideUndecided()
}

// certainlyUnrecorded reports whether no later owner can have recorded a submission
// that is unknown here.
func (o *Owner) certainlyUnrecorded(s submission) bool {
	return o.OwnershipFresh() || o.noLaterOwnerAt >= s.at
}

// decideUndecided decides on the undecided submissions again. Those that stay undecided
// for undecidedWait are left to the next owner, or to another try.
func (o *Owner) decideUndecided() {
	undecided := o.undecided
	o.undecided = nil
	for _, s := range undecided {
		if o.now-s.at > undecidedWait && !o.certainlyUnrecorded(s) {
			o.leaveUndecided(s)
			continue
		}
		o.decide(s)
	}
}

func (o *Owner) leaveUndecided(s submission) {
	o.options.Log.Info().Str("event", "job_undecided").Str("job", string(s.spec.ID)).Str("queue", s.spec.Queue).
		Int64("waited_ms", int64(o.now-s.at)).Int64("store_silence_ms", int64(o.PendingAppendAge())).
		Int64("store_age_ms", int64(o.now-o.ownershipConfirmedAt)).
		Int64("no_later_owner_age_ms", int64(age(o.noLaterOwnerAt, o.now))).Send()
	o.options.Metrics.Refused("undecided")
	s.reply(Verdict{Ruling: NotOwner, Reason: "the ownership is not confirmed"})
}
