package owner

import "github.com/oriolepier/oriolepier/internal/base/clock"

// evidence is what shows that a run has ended. Log lines carry it, so that an end
// that was concluded wrongly can be traced to what was concluded from.
type evidence uint8

const (
	evidenceReported                evidence = iota // the worker's report lists the end
	evidenceLeaseGranted                            // the worker's clock has passed every lease that this owner granted or took over
	evidenceRecordedRest                            // the time that a previous owner recorded as remaining of the leases is over
	evidenceRenewWindow                             // a lease that a previous owner could renew without a record is over
	evidencePreviousOwnerStopped                    // the same, counted from the time at which it was known to have stopped
	evidenceRestartUnreported                       // the worker restarted, and its new incarnation has not reported for as long as an order may be in transit, and its lease last
	evidenceWorkerRestartedListed                   // the list of workers has a newer incarnation
	evidenceWorkerRestartedReported                 // a newer incarnation reported
	evidenceWorkerRestartedRecorded                 // a later run was recorded on a newer incarnation
	evidenceOtherIncarnation                        // another incarnation answered at the worker's address
	evidenceNeverSent                               // no start order can have reached the worker
	evidenceRefused                                 // the worker refused the start
	evidenceStopConfirmed                           // the worker confirmed the stop, and its next report does not list the run
)

func (e evidence) String() string {
	return [...]string{
		"reported", "lease_granted", "recorded_rest", "renew_window", "previous_owner_stopped", "restart_unreported",
		"worker_restarted_listed", "worker_restarted_reported", "worker_restarted_recorded",
		"other_incarnation", "never_sent", "refused", "stop_confirmed",
	}[e]
}

// proof is the evidence for the end of a run, with the time of the observation
// that it rests on. Where the end follows from the passing of time, that is the
// time from which it is counted.
type proof struct {
	evidence evidence
	at       clock.Millis // 0: unknown
}

// lapseProof returns the proof of an expiry that leasesExpired reports.
func (w *worker) lapseProof() proof {
	if w.lastReportAt != 0 {
		return proof{evidence: evidenceLeaseGranted, at: w.clockReadAt}
	}
	return w.runsEndProof
}

// restartProof returns the proof that the incarnations before a worker's
// present one no longer exist.
func (w *worker) restartProof() proof {
	return proof{evidence: w.incarnationFrom, at: w.incarnationKnownAt}
}

// limitRunsEnd sets runsEndBy to a span after the time that a proof counts from,
// unless it is earlier already.
func (w *worker) limitRunsEnd(by proof, span clock.Millis) {
	if end := by.at + span; end < w.runsEndBy {
		w.runsEndBy, w.runsEndProof = end, by
	}
}
