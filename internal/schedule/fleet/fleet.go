// Package fleet defines the orders that the scheduler sends to workers, and
// their answers and reports, as typed values. The adapter translates them, the
// owner decides by them, and entries exchange them in the encoding given by the
// tags.
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

// FitsIn reports whether an amount fits in the room that is free.
func (r Room) FitsIn(free Room) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.GPUs <= free.GPUs
}

// Plus returns the room increased by a multiple of another; a negative multiple
// decreases it.
func (r Room) Plus(other Room, times int64) Room {
	return Room{
		MilliCPU: r.MilliCPU + times*other.MilliCPU,
		MemoryMB: r.MemoryMB + times*other.MemoryMB,
		GPUs:     r.GPUs + times*other.GPUs,
	}
}

// Entry is a worker's own entry in the list of workers.
type Entry struct {
	ID              string
	Incarnation     int64  // Unix milliseconds of its start; tells two incarnations of an id apart
	Service         string // name of its pool
	Address         string // host:port
	Domain          string // failure domain
	Draining        bool
	Room            Room
	Labels          []string     // its kind and its rack
	ClockMS         int64        // its own clock when it wrote the entry
	WarmupRemaining clock.Millis // time after ClockMS during which it runs tasks more slowly
	RemainingMS     int64        // while draining: the shortest time that it keeps running
}

// Address is the endpoint of one incarnation of a worker.
type Address struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"` // host:port
}

// Start orders a worker to start a run.
type Start struct {
	To         Address  `cbor:"1,keyasint,omitempty"`
	Task       job.Task `cbor:"2,keyasint,omitempty"`
	Run        int      `cbor:"3,keyasint,omitempty"`
	Text       string   `cbor:"4,keyasint,omitempty"`
	Checkpoint string   `cbor:"5,keyasint,omitempty"`
	UntilMS    int64    `cbor:"6,keyasint,omitempty"` // end of the lease, on the worker's clock
	Token      int64    `cbor:"7,keyasint,omitempty"` // fencing token
}

// Stop orders a worker to end a run, or never to start it.
type Stop struct {
	To    Address  `cbor:"1,keyasint,omitempty"`
	Task  job.Task `cbor:"2,keyasint,omitempty"`
	Run   int      `cbor:"3,keyasint,omitempty"`
	Token int64    `cbor:"4,keyasint,omitempty"`
}

// Pace orders a worker to limit the speed of a run.
type Pace struct {
	To      Address  `cbor:"1,keyasint,omitempty"`
	Task    job.Task `cbor:"2,keyasint,omitempty"`
	Run     int      `cbor:"3,keyasint,omitempty"`
	Percent int      `cbor:"4,keyasint,omitempty"` // of full speed; 0 pauses the run
	Token   int64    `cbor:"5,keyasint,omitempty"`
}

// Hold renews the lease of all runs of a worker and requests its report.
type Hold struct {
	To      Address `cbor:"1,keyasint,omitempty"`
	UntilMS int64   `cbor:"2,keyasint,omitempty"` // end of the lease, on the worker's clock; 0: unchanged
	Acked   int64   `cbor:"3,keyasint,omitempty"` // ends up to this number are recorded, and the worker may discard them
	WaitMS  int64   `cbor:"4,keyasint,omitempty"` // how long the worker may wait for a run to end before it reports
	Token   int64   `cbor:"5,keyasint,omitempty"`
}

// WithoutAck returns the order without an acknowledgement of ends.
func (h Hold) WithoutAck() Hold {
	h.Acked = 0
	return h
}

// Outcome is the outcome of an order.
type Outcome uint8

// The outcomes of an order.
const (
	Accepted         Outcome = iota
	Unanswered               // it may have been carried out, or may be some seconds later
	NotSent                  // nothing reached the worker
	Fenced                   // the worker has seen a newer owner
	RunSuperseded            // a run of the task with this or a higher number was stopped or has ended there; also the answer to a repeated start of a run that has ended
	LeaseExpired             // the lease in the order had expired
	NoRoom                   // the worker has no room and did nothing
	NoTicket                 // the worker requires a ticket and did nothing
	OtherIncarnation         // another incarnation of the worker answers at this address
	Unhealthy                // the worker refused and did nothing
	Malformed                // the worker could not interpret the order
)

// Known reports whether the value is a defined outcome.
func (o Outcome) Known() bool { return o <= Malformed }

// MaybeUnreachable reports whether the outcome may be due to an unresponsive worker or
// to the network, so that a retry over another path may succeed.
func (o Outcome) MaybeUnreachable() bool { return o == Unanswered || o == NotSent }

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{
		"accepted", "unanswered", "not_sent", "fenced", "old", "late", "no_room",
		"no_ticket", "other_life", "unhealthy", "malformed",
	}[o]
}

// Calls are the synchronous calls to workers.
type Calls struct {
	Start func(ctx context.Context, order Start) Answer
	Stop  func(ctx context.Context, order Stop) Answer
	Pace  func(ctx context.Context, order Pace) Answer
	Hold  func(ctx context.Context, order Hold) Report
}

// Dispatch sends orders asynchronously. Its functions return at once; the
// answer is passed to the callback later, from any goroutine, and at most once.
type Dispatch struct {
	Start func(order Start, answer func(Answer))
	Stop  func(order Stop, answer func(Answer))
	Pace  func(order Pace, answer func(Answer))
	Hold  func(order Hold, report func(Report))
}

// Answer is a worker's answer to an order.
type Answer struct {
	Outcome Outcome `cbor:"1,keyasint"`
	ClockMS int64   `cbor:"2,keyasint,omitempty"` // the worker's clock; 0 if the answer has none
}

// Run is a run that a worker reports as present.
type Run struct {
	Task       job.Task `cbor:"1,keyasint,omitempty"`
	Run        int      `cbor:"2,keyasint,omitempty"`
	Checkpoint string   `cbor:"3,keyasint,omitempty"`
	Percent    int      `cbor:"4,keyasint,omitempty"` // share of its work that is done
	Usage      int64    `cbor:"5,keyasint,omitempty"` // of a task with a target: its tail latency in ms; of others: milli-CPU in use
}

// EndCause is the cause of a run's end.
type EndCause uint8

// The causes of an end.
const (
	EndDone EndCause = iota
	EndFailed
	EndStopped
	EndLeaseLapsed    // its lease expired
	EndGangBroken     // another member of its gang ended
	EndGangIncomplete // the other members of its gang did not start
)

// Known reports whether the value is a defined cause.
func (c EndCause) Known() bool { return c <= EndGangIncomplete }

// String returns the cause's name in logs.
func (c EndCause) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}[c]
}

// End is a run that a worker reports as over. Numbers rise within an
// incarnation of the worker and start anew with each.
type End struct {
	Number     int64    `cbor:"1,keyasint,omitempty"`
	Task       job.Task `cbor:"2,keyasint,omitempty"`
	Run        int      `cbor:"3,keyasint,omitempty"`
	Cause      EndCause `cbor:"4,keyasint"`
	Checkpoint string   `cbor:"5,keyasint,omitempty"`
}

// Report is a worker's answer to a Hold.
type Report struct {
	Outcome     Outcome `cbor:"1,keyasint"`
	ClockMS     int64   `cbor:"2,keyasint,omitempty"`
	Incarnation int64   `cbor:"3,keyasint,omitempty"`
	Running     []Run   `cbor:"4,keyasint,omitempty"` // runs present
	Ended       []End   `cbor:"5,keyasint,omitempty"` // ends that no hold has acknowledged
	Truncated   bool    `cbor:"6,keyasint,omitempty"` // the list of ends was truncated
}
