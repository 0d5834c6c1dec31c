package dispatch

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/choice"
)

// Ticket is a request's place in a pool: waiting, or at a server.
type Ticket struct {
	Route      string
	MaxQueued  int // requests of the route that may wait
	Deadline   clock.Millis
	Repeatable bool
	Tried      []*choice.Server // servers of earlier attempts
	Ready      chan struct{}    // for the caller's use: told when a waiting ticket is settled

	Server  *choice.Server // set when granted
	waiting bool
	since   clock.Millis // start of the wait
}

// Verdict is what became of a ticket.
type Verdict string

// The verdicts.
const (
	Granted  Verdict = "granted"
	Waiting  Verdict = "waiting"
	NoServer Verdict = "no_server" // all are out or ejected
	NoPlace  Verdict = "no_place"  // the queue is full
	TooLate  Verdict = "too_late"  // the wait would outlast the deadline
)

// Refusal says why a ticket was not taken and when to come back.
type Refusal struct {
	Verdict    Verdict
	RetryAfter clock.Millis
}

// Results lists all results.
var Results = []Result{Answered, Erred, Refused, Failed, TimedOut, Abandoned}

// Result is how an attempt ended.
type Result string

// The results.
const (
	Answered  Result = "answered"
	Erred     Result = "erred"     // answered with a server error: fast ones must not attract requests
	Refused   Result = "refused"   // by the guard: not run
	Failed    Result = "failed"    // no answer, a cut one or a false one
	TimedOut  Result = "timed_out" // no answer by the deadline
	Abandoned Result = "abandoned" // given up here, for no fault of the server
)
