// Package fault defines the project's error type: the failed step, the peer, and
// whether the work that the step was part of may have run.
//
// # Usage
//
//	return fault.New(fault.NotRun, "connect", vm.Name, err)
//	...
//	if fault.OutcomeOf(err) == fault.NotRun { retry() }
package fault

import (
	"fmt"

	"github.com/pkg/errors"
)

// Outcome says whether the work behind a failed step ran.
type Outcome string

// The outcomes. NotRun is a guarantee and never an assumption.
const (
	// NotSent: no part of the request was sent.
	NotSent Outcome = "not_sent"
	// NotRun: the peer reported that the work did not run and will not run.
	NotRun Outcome = "not_run"
	// Unknown: the work may have run or may still run.
	Unknown Outcome = "unknown"
	// Answered: the work ran and its response was received.
	Answered Outcome = "answered"
)

// Errors of reads of the body of a caller's request. The request has not run.
var (
	// ErrNoMemory marks a body for which the entry has no memory.
	ErrNoMemory = errors.New("the entry's memory for bodies is in use")
	// ErrTooSlow marks a body that arrives below the lowest rate.
	ErrTooSlow = errors.New("the body arrives too slowly")
)

// DidNotRun reports whether the outcome guarantees that the work did not run.
func (o Outcome) DidNotRun() bool { return o == NotSent || o == NotRun }

// Fault is an error with the step that failed and the peer of that step.
type Fault struct {
	Outcome Outcome // whether the work ran
	Step    string  // failed step, such as "connect"
	Peer    string  // VM name, stream or address of the peer; may be empty
	Cause   error   // may be nil
}

// New returns a Fault. A cause that is not nil gets a stack trace.
func New(outcome Outcome, step, peer string, cause error) *Fault {
	if cause != nil {
		cause = errors.WithStack(cause)
	}
	return &Fault{Outcome: outcome, Step: step, Peer: peer, Cause: cause}
}

// Newf returns a Fault with a formatted cause.
func Newf(outcome Outcome, step, peer, format string, values ...any) *Fault {
	return New(outcome, step, peer, errors.Errorf(format, values...))
}

// Error implements error.
func (f *Fault) Error() string {
	where := f.Step
	if f.Peer != "" {
		where += " " + f.Peer
	}
	if f.Cause == nil {
		return fmt.Sprintf("%s: %s", where, f.Outcome)
	}
	return fmt.Sprintf("%s: %s (%s)", where, f.Cause, f.Outcome)
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (f *Fault) Unwrap() error { return f.Cause }

// OutcomeOf returns the outcome of the outermost Fault in err. An error without a
// Fault counts as Unknown, the conservative choice.
func OutcomeOf(err error) Outcome {
	var f *Fault
	if errors.As(err, &f) {
		return f.Outcome
	}
	return Unknown
}

// StepOf returns the step of the outermost Fault in err, or "".
func StepOf(err error) string {
	var f *Fault
	if errors.As(err, &f) {
		return f.Step
	}
	return ""
}
