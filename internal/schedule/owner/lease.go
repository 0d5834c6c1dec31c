package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// Holds that find a worker silent.
const (
	silentHoldPeriod clock.Millis = 300 // between holds of a worker that does not answer
	missesToDoubt                 = 2   // unanswered holds after which leases are no longer renewed
	idleWait         clock.Millis = 1500
	gapSpread                     = 200  // microseconds for each worker between a report and the next request
	quickSpread                   = 1000 // ... that a worker may wait with its report while a headroom is low
)

// checkLeases sends the holds that are due and counts runs as over whose
// leases have certainly run out.
func (o *Owner) checkLeases() {
	for _, w := range o.ordered {
		if !w.holding && o.now >= w.nextHold && w.entry.Address != "" {
			o.hold(w)
		}
		if len(w.runs) > 0 && !w.lapsed && o.leaseOver(w) {
			o.lapse(w)
		}
	}
}

// hold asks a worker for its report and, while the ownership is confirmed and
// the worker answers, renews its lease.
func (o *Owner) hold(w *worker) {
	order := fleet.Hold{To: w.address(), Token: o.options.Epoch}
	if w.misses == 0 {
		order.Acked = w.acked // else it may reach another incarnation, whose ends have the same numbers
	}
	if w.contactAt != 0 && w.misses == 0 {
		order.WaitMS = int64(o.options.Times.Wait)
		switch {
		case len(w.runs) == 0:
			order.WaitMS = int64(idleWait)
		case w.watched:
			order.WaitMS = int64(max(quickWait, o.perWorker(quickSpread)))
		}
	}
	if w.hurry {
		order.WaitMS = 0
		w.hurry = false
	}
	if w.clockAt != 0 && w.misses < missesToDoubt && !w.silent && w.trusted && o.mayRenew() {
		order.UntilMS = o.lease(w)
	}
	w.holding = true
	w.holdSent = o.now
	o.options.Effects.Hold(order)
}

// perWorker is a time for each worker of the cell, so that the reports of many
// workers do not use up the owner's processor.
func (o *Owner) perWorker(micros int) clock.Millis {
	const microsPerMilli = 1000
	return clock.Millis(len(o.ordered) * micros / microsPerMilli).Stretch(clock.Patience(o.options.Cores))
}

// lease returns the end of a lease granted now, on the worker's clock, and
// remembers it.
func (o *Owner) lease(w *worker) int64 {
	until := w.clockNow(o.now) + int64(o.options.Times.Lease)
	w.untilMS = max(w.untilMS, until)
	return until
}

// mayRenew reports whether the store confirmed the ownership recently enough to
// grant leases. A later owner waits for longer than that before it counts the
// runs of a worker that it cannot reach as over.
func (o *Owner) mayRenew() bool { return o.now-o.ackedAt < o.options.Times.HoldTime }

// leaseOver reports whether nothing can run on a worker under any lease that
// was granted.
func (o *Owner) leaseOver(w *worker) bool {
	if w.contactAt != 0 {
		return w.clockNow(o.now) > w.untilMS+int64(o.options.Times.Slack)
	}
	return o.now > w.bound
}

// lapse counts all runs of a worker as over.
func (o *Owner) lapse(w *worker) {
	w.lapsed = true
	o.options.Counts.Lapses.Inc()
	o.options.Log.Warn().Str("event", "lease_lapsed").Str("worker", w.id).Int("runs", len(w.runs)).
		Int64("contact_age_ms", int64(o.contactAge(w))).Int64("until_ms", w.untilMS).
		Int64("clock_ms", w.clockNow(o.now)).Int("misses", w.misses).Send()
	for _, r := range w.sorted() {
		o.over(r, endLapsed, "")
	}
	o.noteHeard(w) // nothing runs there any more, so the next owner need not know
}
