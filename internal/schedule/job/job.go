// Package job defines what callers submit and what the scheduler records of it:
// specifications, tasks and their phases. It holds data only; the state
// transitions are in package owner.
//
// A job has steps, a step has tasks. A step starts after the steps that it
// names in After. Each start of a task is a run with an increasing number, by
// which a worker and a later owner tell an old run from the current one.
//
// # Usage
//
//	spec := job.Spec{ID: "5c0e7a21d94b36f8", Queue: "rations", Steps: steps}
//	if err := spec.Check(); err != nil {
//		// the caller's mistake, with a reason of one line
//	}
//	record, err := job.EncodeSpec(spec)
package job

import (
	"github.com/pkg/errors"
	"github.com/samber/lo"
)

// ID identifies a job: 16 hexadecimal digits, chosen by the caller.
type ID string

// Limits of a submission.
const (
	idDigits     = 16
	MaxTextBytes = 4000 // length of the opaque specification
	MaxSteps     = 64   // steps of one job
	MaxTasks     = 4096 // tasks of one step
)

// Spec is an accepted submission. It is immutable.
type Spec struct {
	ID          ID     `cbor:"1,keyasint"`
	Queue       string `cbor:"2,keyasint"`           // name of the queue that accepted it
	Text        string `cbor:"3,keyasint,omitempty"` // opaque, passed on to workers
	Steps       []Step `cbor:"4,keyasint"`
	AcceptedMS  int64  `cbor:"5,keyasint"`            // Unix time; used only for the age of the job after a change of owner
	Repetitions int    `cbor:"6,keyasint,omitempty"`  // number of occurrences; 0: runs once, at once
	FirstMS     int64  `cbor:"7,keyasint,omitempty"`  // Unix time at which occurrence 0 is due
	IntervalMS  int64  `cbor:"8,keyasint,omitempty"`  // time between occurrences
	Customer    string `cbor:"9,keyasint,omitempty"`  // name of the customer that submitted it; empty: none
	Excess      bool   `cbor:"10,keyasint,omitempty"` // its customer had sent more submissions than its rate when it was accepted; set by the owner
}

// Step is a group of tasks with the same requirements.
type Step struct {
	Count         int    `cbor:"1,keyasint"`
	MilliCPU      int64  `cbor:"2,keyasint,omitempty"`
	MemoryMB      int64  `cbor:"3,keyasint,omitempty"`
	GPUs          int64  `cbor:"4,keyasint,omitempty"`
	EstimateMS    int64  `cbor:"5,keyasint,omitempty"` // the caller's estimate of a task's duration
	After         []int  `cbor:"6,keyasint,omitempty"` // indexes of earlier steps that must be done
	Checkpointing bool   `cbor:"7,keyasint,omitempty"`
	Gang          bool   `cbor:"8,keyasint,omitempty"`  // the tasks run all together or not at all
	SameRack      bool   `cbor:"9,keyasint,omitempty"`  // the tasks are slow when spread over racks
	Label         string `cbor:"10,keyasint,omitempty"` // label that a worker must have
	Rack          string `cbor:"11,keyasint,omitempty"` // rack of the data; the tasks are slow elsewhere
	PerWorker     int    `cbor:"12,keyasint,omitempty"` // largest number of tasks of the step on a worker; 0: no limit
	Speculative   bool   `cbor:"13,keyasint,omitempty"` // several copies of a task may run at a time
	Lasting       bool   `cbor:"14,keyasint,omitempty"` // long-running: runs until cancelled, restarted however a run ends
	Image         string `cbor:"15,keyasint,omitempty"` // tasks of the same image behave alike
	TargetMS      int64  `cbor:"16,keyasint,omitempty"` // tail latency that a long-running task must keep
	Fills         bool   `cbor:"17,keyasint,omitempty"` // best-effort: uses the processors that other tasks leave idle
	MayMiss       int    `cbor:"18,keyasint,omitempty"` // number of tasks that may be without a run at a time; 0: no limit; above 0: runs of long-running tasks are not stopped because their worker seems stalled
}

// Task identifies a task of a job.
type Task struct {
	Job        ID  `cbor:"1,keyasint"`
	Occurrence int `cbor:"2,keyasint,omitempty"`
	Step       int `cbor:"3,keyasint,omitempty"`
	Index      int `cbor:"4,keyasint,omitempty"`
}

// State is the state of a job as callers see it.
type State uint8

// The states of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// String returns the state's name in logs.
func (s State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[s]
}

// Final reports whether a job in this state starts no more runs.
func (s State) Final() bool { return s >= Completed }

// ErrUnsupported marks a well-formed submission that needs a feature that this
// version does not have.
var ErrUnsupported = errors.New("not supported by this version")

// CheckID returns an error unless an id has the form of a job id.
func CheckID(id ID) error {
	if len(id) != idDigits || !lo.EveryBy([]byte(id), isHex) {
		return errors.Errorf("job id %q is not %d hexadecimal digits", id, idDigits)
	}
	return nil
}

func isHex(c byte) bool { return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F' }

// Check returns the first error of a submission, worded for its caller. The
// error wraps [ErrUnsupported] if the submission is valid but cannot be run.
func (s Spec) Check() error {
	if err := CheckID(s.ID); err != nil {
		return err
	}
	if len(s.Text) > MaxTextBytes {
		return errors.Errorf("specification has %d bytes, the limit is %d", len(s.Text), MaxTextBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return errors.Errorf("job has %d steps, 1 to %d are allowed", len(s.Steps), MaxSteps)
	}
	for i, step := range s.Steps {
		if err := step.check(i); err != nil {
			return errors.WithMessagef(err, "step %d", i)
		}
	}
	if s.Repetitions > 0 {
		return errors.WithMessage(ErrUnsupported, "repeated jobs")
	}
	return nil
}

func (s Step) check(number int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return errors.Errorf("count is %d, 1 to %d are allowed", s.Count, MaxTasks)
	}
	if s.MilliCPU < 0 || s.MemoryMB < 0 || s.GPUs < 0 || s.EstimateMS < 0 || s.PerWorker < 0 {
		return errors.New("an amount is negative")
	}
	for _, predecessor := range s.After {
		if predecessor < 0 || predecessor >= number {
			return errors.Errorf("after names step %d, which is not an earlier one", predecessor)
		}
	}
	if s.Gang {
		return errors.WithMessage(ErrUnsupported, "gangs")
	}
	return nil
}
