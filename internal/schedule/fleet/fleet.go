// Package fleet holds what the scheduler says to workers and hears from them,
// as typed values. The adapter translates them; the owner decides by them, and
// entries hand them to each other in the encoding that the tags give.
//
// # Usage
//
//	answer := orders.Start(ctx, fleet.Start{To: address, Task: task, Run: 2})
//	switch answer.Outcome {
//	case fleet.Accepted: // the run is there
//	case fleet.Unanswered: // it may be there, now or some seconds later
//	}
package fleet

import (
	"context"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// Room is an amount of a worker's resources.
type Room struct {
	MilliCPU int64
	MemoryMB int64
	GPUs     int64
}

// Entry is what a worker says of itself in the list of workers.
type Entry struct {
	ID          string
	Born        int64 // Unix milliseconds of its start; tells two incarnations of one id apart
	Service     string
	Address     string // host:port
	Domain      string // failure domain
	Draining    bool
	Room        Room
	Labels      []string     // its kind and its rack
	ClockMS     int64        // its own clock when it wrote the entry
	ColdFor     clock.Millis // how much longer it is slow after its start
	RemainingMS int64        // while draining: the least time that is left
}

// Address is how to reach one incarnation of a worker.
type Address struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"` // host:port
}

// Start orders a run.
type Start struct {
	To         Address  `cbor:"1,keyasint,omitempty"`
	Task       job.Task `cbor:"2,keyasint,omitempty"`
	Run        int      `cbor:"3,keyasint,omitempty"`
	Text       string   `cbor:"4,keyasint,omitempty"`
	Checkpoint string   `cbor:"5,keyasint,omitempty"`
	UntilMS    int64    `cbor:"6,keyasint,omitempty"` // lease, on the worker's clock
	Token      int64    `cbor:"7,keyasint,omitempty"` // fencing token
}

// Stop orders a run to end, or never to begin.
type Stop struct {
	To    Address  `cbor:"1,keyasint,omitempty"`
	Task  job.Task `cbor:"2,keyasint,omitempty"`
	Run   int      `cbor:"3,keyasint,omitempty"`
	Token int64    `cbor:"4,keyasint,omitempty"`
}

// Pace orders the share of its speed at which a run works.
type Pace struct {
	To      Address  `cbor:"1,keyasint,omitempty"`
	Task    job.Task `cbor:"2,keyasint,omitempty"`
	Run     int      `cbor:"3,keyasint,omitempty"`
	Percent int      `cbor:"4,keyasint,omitempty"`
	Token   int64    `cbor:"5,keyasint,omitempty"`
}

// Hold renews the lease of all runs of a worker and asks for its report.
type Hold struct {
	To      Address `cbor:"1,keyasint,omitempty"`
	UntilMS int64   `cbor:"2,keyasint,omitempty"` // 0: the lease is left as it is
	Acked   int64   `cbor:"3,keyasint,omitempty"` // ends up to this number are recorded and may be forgotten
	WaitMS  int64   `cbor:"4,keyasint,omitempty"` // the worker may wait so long for an end
	Token   int64   `cbor:"5,keyasint,omitempty"`
}

// Outcome of an order.
type Outcome uint8

// The outcomes of an order.
const (
	Accepted   Outcome = iota
	Unanswered         // it may have been carried out, or may be some seconds later
	NotSent            // nothing reached the worker
	Fenced             // the worker knows a newer owner
	Old                // a run that is not lower was stopped or has ended there
	Late               // the lease in the order was over
	NoRoom             // the worker has no room, and did nothing
	NoTicket           // the worker wants a ticket, and did nothing
	OtherLife          // another incarnation answers at this address
	Unhealthy          // the worker refused and did nothing
	Malformed          // the worker does not understand the order
)

// Known reports whether the value is one of the outcomes.
func (o Outcome) Known() bool { return o <= Malformed }

// Doubtful reports whether a worker's silence or the way to it explains an
// outcome, so that another way may do better.
func (o Outcome) Doubtful() bool { return o == Unanswered || o == NotSent }

// String names the outcome for logs.
func (o Outcome) String() string {
	return [...]string{
		"accepted", "unanswered", "not_sent", "fenced", "old", "late", "no_room",
		"no_ticket", "other_life", "unhealthy", "malformed",
	}[o]
}

// Calls are the calls to workers. Each waits for the worker's answer.
type Calls struct {
	Start func(ctx context.Context, order Start) Answer
	Stop  func(ctx context.Context, order Stop) Answer
	Pace  func(ctx context.Context, order Pace) Answer
	Hold  func(ctx context.Context, order Hold) Report
}

// Dispatch sends orders on their way. Its functions return at once; the answer
// is handed over later, from any goroutine, and at most once.
type Dispatch struct {
	Start func(order Start, answer func(Answer))
	Stop  func(order Stop, answer func(Answer))
	Pace  func(order Pace, answer func(Answer))
	Hold  func(order Hold, report func(Report))
}

// Answer is a worker's answer to an order.
type Answer struct {
	Outcome Outcome `cbor:"1,keyasint"`
	ClockMS int64   `cbor:"2,keyasint,omitempty"` // the worker's clock; 0 when it was not given
}

// Run is a run that a worker lists as present.
type Run struct {
	Task       job.Task `cbor:"1,keyasint,omitempty"`
	Run        int      `cbor:"2,keyasint,omitempty"`
	Checkpoint string   `cbor:"3,keyasint,omitempty"`
	Percent    int      `cbor:"4,keyasint,omitempty"` // of its work
	Usage      int64    `cbor:"5,keyasint,omitempty"` // of a task with a target: its tail latency in ms; of others: milli-CPU in use
}

// EndCause says how a run ended.
type EndCause uint8

// The causes of an end.
const (
	EndDone EndCause = iota
	EndFailed
	EndStopped
	EndLapsed // its lease ran out
	EndBroken // another member of its gang ended
	EndAlone  // the others of its gang did not come
)

// Known reports whether the value is one of the causes.
func (c EndCause) Known() bool { return c <= EndAlone }

// String names the cause for logs.
func (c EndCause) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}[c]
}

// End is a run that a worker lists as over. Numbers rise within an incarnation.
type End struct {
	Number     int64    `cbor:"1,keyasint,omitempty"`
	Task       job.Task `cbor:"2,keyasint,omitempty"`
	Run        int      `cbor:"3,keyasint,omitempty"`
	Cause      EndCause `cbor:"4,keyasint"`
	Checkpoint string   `cbor:"5,keyasint,omitempty"`
}

// Report is a worker's answer to a Hold.
type Report struct {
	Outcome Outcome `cbor:"1,keyasint"`
	ClockMS int64   `cbor:"2,keyasint,omitempty"`
	Born    int64   `cbor:"3,keyasint,omitempty"`
	Running []Run   `cbor:"4,keyasint,omitempty"`
	Ended   []End   `cbor:"5,keyasint,omitempty"`
	More    bool    `cbor:"6,keyasint,omitempty"` // the list of ends was cut off
}
