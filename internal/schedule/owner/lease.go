package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// Timing of holds.
const (
	unresponsiveHoldPeriod       clock.Millis = 300  // between holds of an unresponsive worker
	missedHoldsToUnresponsive                 = 2    // consecutive unanswered holds after which leases are no longer renewed
	idleHoldWait                 clock.Millis = 1500 // wait of a hold on a worker without runs
	reportGapPerWorker                        = 200  // µs per worker of the cell between a report and the next hold
	lowHeadroomHoldWaitPerWorker              = 1000 // least wait of such a hold in µs per worker of the cell; bounds the reports of a large cell
)

// checkLeases sends due holds, and ends the runs whose leases have certainly
// expired.
func (o *Owner) checkLeases() {
	for _, w := range o.sortedWorkers {
		if !w.holdInFlight && o.now >= w.nextHoldAt && w.entry.Address != "" {
			o.sendHold(w)
		}
		if len(w.runs) > 0 && !w.leasesLapsed && o.leasesExpired(w) {
			o.endLapsedRuns(w)
		}
	}
}

// sendHold sends a hold, which requests a worker's report and renews the lease
// of its runs unless leaseBlock forbids it.
func (o *Owner) sendHold(w *worker) {
	o.noteFirstHold()
	order := fleet.Hold{To: w.address(), Token: w.token}
	// After a missed hold, or a start that a new incarnation may have executed, the
	// worker may number its ends from the start again, so none are acknowledged.
	if w.missedHolds == 0 && w.incarnationUnprovenAt == 0 {
		order.Acked = w.endsRecorded
	}
	if w.lastReportAt != 0 && w.missedHolds == 0 {
		order.WaitMS = int64(o.options.Times.HoldWait)
		switch {
		case len(w.runs) == 0:
			order.WaitMS = int64(idleHoldWait)
		case w.usesLowHeadroomWait:
			order.WaitMS = int64(max(minLowHeadroomHoldWait, o.scaleByWorkers(lowHeadroomHoldWaitPerWorker)))
		}
	}
	if w.skipHoldWait {
		order.WaitMS = 0
		w.skipHoldWait = false
	}
	if o.leaseBlock(w) == leaseAllowed {
		order.UntilMS = o.grantLease(w)
	}
	w.holdInFlight = true
	w.holdSentAt, w.holdAddress, w.holdUntilMS, w.holdToken = o.now, w.entry.Address, order.UntilMS, order.Token
	o.options.Effects.Hold(order)
}

// scaleByWorkers returns a number of microseconds for each worker, times the
// timeout factor of this process's cores, so that handling reports does not
// saturate the owner.
func (o *Owner) scaleByWorkers(micros int) clock.Millis {
	const microsPerMilli = 1000
	return clock.Millis(len(o.sortedWorkers) * micros / microsPerMilli).Scale(clock.TimeoutFactor(o.options.Cores))
}

// noteFirstHold logs the first hold of an ownership, with which its takeover of the
// workers begins.
func (o *Owner) noteFirstHold() {
	if o.firstHoldAt != 0 {
		return
	}
	o.firstHoldAt = o.now
	o.options.Log.Info().Str("event", "holds_begun").Int64("epoch", o.options.Epoch).
		Int64("since_claim_ms", int64(o.now-o.claimedAt)).Int64("since_fence_ms", int64(age(o.fencedAt, o.now))).
		Int("workers", len(o.sortedWorkers)).Send()
}

// leaseBlock is a reason why no lease may be granted on a worker.
type leaseBlock uint8

const (
	leaseAllowed        leaseBlock = iota
	clockUnknown                   // the worker's clock is unknown
	holdsMissed                    // it misses holds
	workerListed                   // it is unresponsive, so the next owner may end its runs after the recorded time
	delistingUnrecorded            // the recorded list of unresponsive workers names it, or one that may be recorded yet
	renewWindowOver                // a later owner may exist and count the leases as expired
)

func (b leaseBlock) String() string {
	return [...]string{"none", "clock_unknown", "holds_missed", "worker_listed", "delisting_unrecorded", "renew_window_over"}[b]
}

// leaseBlock returns the first reason why no lease may be granted on a worker, by a
// hold or by a start: a lease must not outlive what the records and the renew window
// promise to the next owner.
func (o *Owner) leaseBlock(w *worker) leaseBlock {
	switch {
	case w.clockReadAt == 0:
		return clockUnknown
	case w.missedHolds >= missedHoldsToUnresponsive:
		return holdsMissed
	case w.unresponsive:
		return workerListed
	case !o.isDelistingRecorded(w):
		return delistingUnrecorded
	case !o.inRenewWindow():
		return renewWindowOver
	}
	return leaseAllowed
}

// inRenewWindow reports whether leases may be renewed, which takes a recent proof that no
// later owner had fenced this one. The store's confirmation proves it for the time at which
// the append was sent. The answers of all other entries prove it for a later owner that is
// one of them; any other later owner assumes that leases are renewed until RenewLimit.
func (o *Owner) inRenewWindow() bool {
	t := o.options.Times
	proven := max(o.ownershipConfirmedAt, o.noLaterOwnerAt)
	return o.now-proven < t.RenewWindow && o.now-o.ownershipConfirmedAt < t.RenewLimit
}

// grantLease returns the end of a lease granted now, on the worker's clock, and
// records it in the worker's state. leaseBlock must allow it.
func (o *Owner) grantLease(w *worker) int64 {
	o.leaseGrantedAt = o.now
	until := w.clockLowerBound(o.now) + int64(o.options.Times.Lease)
	w.leaseUntilMS = max(w.leaseUntilMS, until)
	return until
}

// countAnsweredGrant counts the lease of an answered start that was meant for an earlier
// incarnation of a worker, as the present one may have executed it. Two cases are counted
// elsewhere: grantLease counts starts for the present incarnation, and its reports until
// it fences earlier orders count everything that it executed before.
func (o *Owner) countAnsweredGrant(w *worker, untilMS int64) {
	if w == nil || w.lastReportAt == 0 || w.earlierFenced || untilMS <= w.leaseUntilMS {
		return
	}
	w.leaseUntilMS = max(w.leaseUntilMS, min(untilMS, w.clockUpperBound(o.now)+int64(o.options.Times.LongestLease)))
}

// leasesExpired reports whether every lease that was granted on a worker has
// certainly expired. What the records say of a worker that has not reported to this
// owner counts only once it was asked: its report is better evidence, and a
// previous owner of an older version may have granted leases that it did not record.
func (o *Owner) leasesExpired(w *worker) bool {
	if w.lastReportAt != 0 {
		return w.clockLowerBound(o.now) > w.leaseUntilMS+int64(o.options.Times.ClockSlack) && o.now > o.uncertainLeaseEnd(w)
	}
	return o.now > w.runsEndBy && o.wasAsked(w)
}

// uncertainLeaseEnd returns when the leases of unanswered orders to a worker's earlier
// incarnations have certainly expired in the present one, or 0 if there are none, or if it
// executes none of these orders any more. The leases of orders to the present incarnation
// are counted as they are granted.
func (o *Owner) uncertainLeaseEnd(w *worker) clock.Millis {
	if w.earlierFenced || w.uncertainGrant.at == 0 || w.uncertainGrant.untilMS <= w.leaseUntilMS {
		return 0
	}
	return w.uncertainGrant.at + uncertainStartTTL + o.longestLeaseSpan()
}

// wasAsked reports whether a worker has left a hold of this owner unanswered, or
// is not listed and cannot be asked.
func (o *Owner) wasAsked(w *worker) bool {
	return w.missedHolds > 0 || o.workersKnown && !w.listed
}

// endLapsedRuns ends all runs of a worker whose leases have expired.
func (o *Owner) endLapsedRuns(w *worker) {
	w.leasesLapsed = true
	by := w.lapseProof()
	o.options.Metrics.Lapses.Inc()
	o.options.Log.Warn().Str("event", "lease_lapsed").Str("worker", w.id).Int("runs", len(w.runs)).
		Int64("contact_age_ms", int64(o.contactAge(w))).Int64("until_ms", w.leaseUntilMS).
		Int64("clock_ms", w.clockLowerBound(o.now)).Int("misses", w.missedHolds).
		Str("evidence", by.evidence.String()).Int64("evidence_age_ms", int64(age(by.at, o.now))).
		Int64("epoch", o.options.Epoch).Int64("list_epoch", o.loadedList.epoch).Int64("recorded_rest_ms", int64(w.recordedRest)).
		Int64("since_claim_ms", int64(o.now-o.claimedAt)).Int64("since_fence_ms", int64(age(o.fencedAt, o.now))).Send()
	for _, r := range w.sortedRuns() {
		o.endRun(r, endLeaseLapsed, by, "")
	}
	o.markResponsive(w) // no runs are left there, so the next owner has no lease to wait for
}
