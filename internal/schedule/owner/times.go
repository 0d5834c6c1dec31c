package owner

import "github.com/oriolepier/oriolepier/internal/base/clock"

// Times are the periods and time limits of an owner.
type Times struct {
	LongestLease   clock.Millis // that workers accept; a longer one is cut to it
	Lease          clock.Millis // length of a lease, granted anew with each renewal; bounds how long the tasks of a lost worker wait
	RenewWindow    clock.Millis // how long after the last proof that there was no later owner leases are renewed; the next owner may rely on it
	RenewLimit     clock.Millis // how long after the store's last confirmation of the ownership leases are renewed at most
	ClockSlack     clock.Millis // added to the end of a lease when it is compared with the estimate of a worker's clock
	HoldWait       clock.Millis // wait of a hold for a run to end, on a worker that has runs and enough headroom
	ReportGap      clock.Millis // least time between a report and the next hold; batches ends
	OrderRetry     clock.Millis // between attempts of a failed order
	AppendGap      clock.Millis // least time between two appends; batches records
	Heartbeat      clock.Millis // age of the last acknowledged append from which an empty one is sent, by which other entries see the owner
	OwnershipFresh clock.Millis // age up to which the store's last confirmation proves the ownership
	StoreTimeout   clock.Millis // age of an append in flight above which submissions are refused
	StatusKept     clock.Millis // retention time of final states
}

// maxStartsSent bounds the start orders sent for a run; after that the run is
// abandoned, and stopped if it could still begin.
const maxStartsSent = 3

// driftPercent is the percentage by which a worker's clock may run slower than
// the owner's.
const driftPercent = 2

// DefaultTimes returns the times for a platform whose workers accept leases of
// up to longestLease and which requires final states to be kept for statusKept.
func DefaultTimes(longestLease, statusKept clock.Millis) Times {
	return Times{
		LongestLease:   longestLease,
		Lease:          min(5*clock.Second, longestLease),
		RenewWindow:    1500,
		RenewLimit:     6 * clock.Second,
		ClockSlack:     300,
		HoldWait:       800,
		ReportGap:      25,
		OrderRetry:     100,
		AppendGap:      20,
		Heartbeat:      500,
		OwnershipFresh: 1500,
		StoreTimeout:   900,
		StatusKept:     statusKept,
	}
}
