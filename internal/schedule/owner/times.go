package owner

import "github.com/oriolepier/oriolepier/internal/base/clock"

// Times are the periods and limits that an owner works with.
type Times struct {
	Lease      clock.Millis // granted with each renewal; lost work is free again after it
	HoldTime   clock.Millis // leases are renewed so long after the store's last confirmation
	Slack      clock.Millis // added where another clock's reading is relied on
	Wait       clock.Millis // that a worker may wait for an end before it reports
	ReportGap  clock.Millis // between a report and the next request for one; gathers ends
	Retry      clock.Millis // between tries of an unanswered order
	AppendGap  clock.Millis // least time between two appends; gathers records
	Heartbeat  clock.Millis // the store is written at least so often, which shows who owns
	Fresh      clock.Millis // a confirmation younger than this proves ownership
	StoreSlow  clock.Millis // an append that takes longer makes new submissions wait no more
	StatusKept clock.Millis // for which a final state is remembered
}

// Tries of an order before its run is given up and marked as never to begin.
const startTries = 3

// driftPercent bounds by how much a worker's clock may run slow.
const driftPercent = 2

// DefaultTimes returns times for a platform whose workers grant leases of up to
// the given length and which wants final states remembered for so long.
func DefaultTimes(longestLease, statusKept clock.Millis) Times {
	return Times{
		Lease:      min(5*clock.Second, longestLease),
		HoldTime:   6 * clock.Second,
		Slack:      300,
		Wait:       800,
		ReportGap:  25,
		Retry:      100,
		AppendGap:  20,
		Heartbeat:  500,
		Fresh:      1500,
		StoreSlow:  900,
		StatusKept: statusKept,
	}
}
