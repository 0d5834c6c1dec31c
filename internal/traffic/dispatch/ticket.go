package dispatch

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/balance"
)

// Ticket is a request in a pool: waiting in the queue, or sent to a server.
type Ticket struct {
	Route      string
	MaxQueued  int // requests of the route that may wait
	Deadline   clock.Millis
	Repeatable bool
	Exclude    []*balance.Server // servers of earlier attempts
	Ready      chan struct{}     // not used by this package: the caller signals on it that ServeQueue returned the ticket

	Server      *balance.Server // set when granted
	waiting     bool
	queuedSince clock.Millis // start of the first wait
}

// Verdict is the result of queueing a ticket.
type Verdict string

// The verdicts.
const (
	Granted   Verdict = "granted"
	Waiting   Verdict = "waiting"
	NoServer  Verdict = "no_server" // none is in service
	QueueFull Verdict = "no_place"  // the route's queue is full
	TooLate   Verdict = "too_late"  // the answer is expected after the deadline
)

// Refusal is the verdict on a ticket and, if it was refused, when to retry.
type Refusal struct {
	Verdict    Verdict
	RetryAfter clock.Millis
}

// Results lists all results.
var Results = []Result{Answered, ServerError, Refused, Failed, TimedOut, Abandoned}

// Result is how an attempt ended.
type Result string

// The results.
const (
	Answered    Result = "answered"
	ServerError Result = "erred"     // answered with a server error; fast errors must not attract requests
	Refused     Result = "refused"   // refused by the guard; did not run
	Failed      Result = "failed"    // no answer, a truncated one or one that fails a check
	TimedOut    Result = "timed_out" // no answer by the deadline
	Abandoned   Result = "abandoned" // cancelled by the entry, for no fault of the server
)
