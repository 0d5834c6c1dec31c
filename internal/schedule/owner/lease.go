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
// of its runs. No lease is renewed while the worker's clock is unknown, it misses
// holds or is unresponsive, its removal from the list of unresponsive workers is
// not recorded yet, or mayRenewLeases is false.
func (o *Owner) sendHold(w *worker) {
	order := fleet.Hold{To: w.address(), Token: o.options.Epoch}
	// After a missed hold the worker may have restarted and number its ends from
	// the start again, so none are acknowledged.
	if w.missedHolds == 0 {
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
	if w.clockReadAt != 0 && w.missedHolds < missedHoldsToUnresponsive && !w.unresponsive && w.delistingRecorded && o.mayRenewLeases() {
		order.UntilMS = o.grantLease(w)
	}
	w.holdInFlight = true
	w.holdSentAt = o.now
	o.options.Effects.Hold(order)
}

// scaleByWorkers returns a number of microseconds for each worker, times the
// timeout factor of this process's cores, so that handling reports does not
// saturate the owner.
func (o *Owner) scaleByWorkers(micros int) clock.Millis {
	const microsPerMilli = 1000
	return clock.Millis(len(o.sortedWorkers) * micros / microsPerMilli).Scale(clock.TimeoutFactor(o.options.Cores))
}

// grantLease returns the end of a lease granted now, on the worker's clock, and
// records it in the worker's state.
func (o *Owner) grantLease(w *worker) int64 {
	until := w.clockLowerBound(o.now) + int64(o.options.Times.Lease)
	w.leaseUntilMS = max(w.leaseUntilMS, until)
	return until
}

// mayRenewLeases reports whether the store confirmed the ownership recently
// enough to grant leases. A later owner waits longer than that before it ends
// the runs of a worker that it cannot reach, unless the previous owner has
// stopped or has listed the worker as unresponsive.
func (o *Owner) mayRenewLeases() bool {
	return o.now-o.ownershipConfirmedAt < o.options.Times.RenewWindow
}

// leasesExpired reports whether every lease that was granted on a worker has
// certainly expired.
func (o *Owner) leasesExpired(w *worker) bool {
	if w.lastReportAt != 0 {
		return w.clockLowerBound(o.now) > w.leaseUntilMS+int64(o.options.Times.ClockSlack)
	}
	return o.now > w.runsEndBy
}

// endLapsedRuns ends all runs of a worker whose leases have expired.
func (o *Owner) endLapsedRuns(w *worker) {
	w.leasesLapsed = true
	o.options.Metrics.Lapses.Inc()
	o.options.Log.Warn().Str("event", "lease_lapsed").Str("worker", w.id).Int("runs", len(w.runs)).
		Int64("contact_age_ms", int64(o.contactAge(w))).Int64("until_ms", w.leaseUntilMS).
		Int64("clock_ms", w.clockLowerBound(o.now)).Int("misses", w.missedHolds).Send()
	for _, r := range w.sortedRuns() {
		o.endRun(r, endLeaseLapsed, "")
	}
	o.markResponsive(w) // no runs are left there, so the next owner has no lease to wait for
}
