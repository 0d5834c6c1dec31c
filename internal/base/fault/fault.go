// Package fault is the project's error: what was being done, with whom, and
// whether the work it was part of may have run.
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

// The outcomes. A promise of NotRun is never given on a guess.
const (
	// NotSent: nothing of the request left this process.
	NotSent Outcome = "not_sent"
	// NotRun: the peer said that the work did not run and will not.
	NotRun Outcome = "not_run"
	// Unknown: the work may have run, or may still run.
	Unknown Outcome = "unknown"
	// Answered: the work ran and the answer is known.
	Answered Outcome = "answered"
)

// Certain reports whether the outcome promises that the work did not run.
func (o Outcome) Certain() bool { return o == NotSent || o == NotRun }

// Fault is an error with the step and the peer at which it arose.
type Fault struct {
	Outcome Outcome // whether the work ran
	Step    string  // what was being done, such as "connect"
	Peer    string  // the other side: VM name, stream or address; may be empty
	Cause   error   // may be nil
}

// New returns a Fault. The cause, when not nil, gets a stack trace.
func New(outcome Outcome, step, peer string, cause error) *Fault {
	if cause != nil {
		cause = errors.WithStack(cause)
	}
	return &Fault{Outcome: outcome, Step: step, Peer: peer, Cause: cause}
}

// Newf returns a Fault whose cause is made from a format and its values.
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

// Unwrap gives the cause to errors.Is and errors.As.
func (f *Fault) Unwrap() error { return f.Cause }

// OutcomeOf returns the outcome of the outermost Fault in err. An error that
// holds none counts as Unknown, the careful reading.
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
