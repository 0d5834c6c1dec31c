package owner

import "github.com/oriolepier/oriolepier/internal/base/clock"

// A cancellation can overtake its job, which an entry holds while it has no owner or no
// decision. "No such job" is final for the caller that cancels, so a job that reached an
// entry before that answer must not be accepted after it.

// Limits of what is remembered.
const (
	earlyCancelRetention clock.Millis = 10 * clock.Second // longer than an entry holds a job
	maxEarlyCancels                   = 4096              // the oldest are forgotten first
	// earlyCancelSlack allows for the time of a job on its way from its entry, which the
	// time for which the entry held it does not include.
	earlyCancelSlack clock.Millis = 500
)

// earlyCancel is a cancellation that was answered with NotFound.
type earlyCancel struct {
	ref JobRef
	at  clock.Millis
}

// earlyCancels remembers the newest cancellations that were answered with NotFound.
type earlyCancels struct {
	newest map[JobRef]clock.Millis // when the newest of a job was answered
	queue  []earlyCancel           // all of them, oldest first
}

// note remembers a cancellation that is answered now.
func (c *earlyCancels) note(ref JobRef, now clock.Millis) {
	if c.newest == nil {
		c.newest = map[JobRef]clock.Millis{}
	}
	c.newest[ref] = now
	c.queue = append(c.queue, earlyCancel{ref: ref, at: now})
	c.forget(now)
}

// forget drops the cancellations that are older than the retention time or too many.
func (c *earlyCancels) forget(now clock.Millis) {
	for len(c.queue) > 0 && (len(c.queue) > maxEarlyCancels || now-c.queue[0].at > earlyCancelRetention) {
		oldest := c.queue[0]
		c.queue = c.queue[1:]
		if c.newest[oldest.ref] == oldest.at {
			delete(c.newest, oldest.ref)
		}
	}
}

// overtook reports whether the cancellation of a job may have been answered after an entry
// received the job.
func (c *earlyCancels) overtook(ref JobRef, heldSince clock.Millis) bool {
	at, known := c.newest[ref]
	return known && heldSince <= at+earlyCancelSlack
}

// wasCancelledEarly reports whether the cancellation of a job may have overtaken it.
func (o *Owner) wasCancelledEarly(s *submission) bool {
	return o.earlyCancels.overtook(JobRef{ID: s.spec.ID, Customer: s.spec.Customer}, s.heldSince)
}
