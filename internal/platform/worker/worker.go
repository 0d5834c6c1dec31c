// Package worker is what the system asks of the agent that runs tasks on a
// backend server VM.
//
// A task runs under a lease that the agent ends by its own clock. Times that
// cross the wire are readings of the worker's clock, never of ours: an order
// that arrives late is refused by the agent. An unanswered call may have been
// obeyed.
//
// # Usage
//
//	answer, err := agent.Start(ctx, vm.Agent, worker.StartOrder{...})
//	report, err := agent.Renew(ctx, vm.Agent, worker.RenewOrder{...})
package worker

import (
	"context"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Time is a reading of a worker's own monotonic clock. It starts anew when the
// VM restarts; Boot tells one life of the agent from the next.
type Time clock.Millis

// Phase is where a task stands on its worker.
type Phase string

// The phases. Running is the only one that uses the VM.
const (
	Running   Phase = "running"
	Finished  Phase = "finished"  // ran to its end
	Failed    Phase = "failed"    // ended by itself without success
	Stopped   Phase = "stopped"   // ended by a stop order
	Lapsed    Phase = "lapsed"    // ended because its lease ran out
	Tombstone Phase = "tombstone" // stopped before it started; a late start is refused
)

// Over reports whether the task will not run again under this attempt.
func (p Phase) Over() bool { return p != Running }

// Task is what an agent says of one attempt that it knows of.
type Task struct {
	Job        string        `cbor:"1,keyasint" json:"job"`
	Attempt    int           `cbor:"2,keyasint" json:"attempt"`
	Cell       string        `cbor:"3,keyasint" json:"cell"`
	Phase      Phase         `cbor:"4,keyasint" json:"phase"`
	Checkpoint string        `cbor:"5,keyasint,omitempty" json:"checkpoint,omitempty"` // newest complete one
	Throttled  bool          `cbor:"6,keyasint,omitempty" json:"throttled,omitempty"`
	Size       amount.Amount `cbor:"7,keyasint" json:"size"`
	Reason     string        `cbor:"8,keyasint,omitempty" json:"reason,omitempty"`
}

// Report is all that an agent says of itself.
type Report struct {
	Boot  string `json:"boot"` // changes when the VM restarts; no task survives that
	Now   Time   `json:"now"`
	Tasks []Task `json:"tasks"` // running ones and over ones that were not yet forgotten
}

// StartOrder asks an agent to run one attempt of a job.
type StartOrder struct {
	Job        string        `json:"job"`
	Attempt    int           `json:"attempt"`
	Cell       string        `json:"cell"`
	Epoch      int64         `json:"epoch"`
	Boot       string        `json:"boot"`      // refused when it is not the agent's
	NotAfter   Time          `json:"not_after"` // refused when the agent's clock is past it
	LeaseUntil Time          `json:"lease_until"`
	Size       amount.Amount `json:"size"`
	Kind       string        `json:"kind"`
	Payload    string        `json:"payload"`
	Resume     string        `json:"resume,omitempty"` // checkpoint to go on from
}

// RenewOrder extends the leases of all tasks of one cell on a worker.
type RenewOrder struct {
	Cell       string `json:"cell"`
	Boot       string `json:"boot"`
	LeaseUntil Time   `json:"lease_until"` // never shortens a lease
}

// StopOrder ends an attempt. An agent that does not know it keeps a tombstone.
type StopOrder struct {
	Job        string `json:"job"`
	Attempt    int    `json:"attempt"`
	Cell       string `json:"cell"`
	Checkpoint bool   `json:"checkpoint"` // save progress first
}

// ThrottleOrder slows a task or lets it run freely again.
type ThrottleOrder struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	Slow    bool   `json:"slow"`
}

// ForgetOrder lets an agent drop over attempts whose end is in the log.
type ForgetOrder struct {
	Cell string `json:"cell"`
	Jobs []Task `json:"jobs"` // only job and attempt are read
}

// Agent is a client of task agents; address is that of one agent. Errors are
// *fault.Fault; one whose outcome is Unknown may have been obeyed.
type Agent struct {
	Start    func(ctx context.Context, address string, order StartOrder) (Task, error)
	Renew    func(ctx context.Context, address string, order RenewOrder) (Report, error)
	Stop     func(ctx context.Context, address string, order StopOrder) (Task, error)
	Throttle func(ctx context.Context, address string, order ThrottleOrder) (Task, error)
	Forget   func(ctx context.Context, address string, order ForgetOrder) error
	// Look returns the report and changes nothing.
	Look func(ctx context.Context, address string) (Report, error)
}

// Usage is a lagging measurement of one VM.
type Usage struct {
	VM        string        `json:"vm"`
	AgeMS     clock.Millis  `json:"age_ms"` // how old the measurement is
	Used      amount.Amount `json:"used"`
	Services  []Service     `json:"services"`
	TaskUsage []TaskUsage   `json:"tasks"`
}

// Service is the measured behaviour of one latency-critical service on a VM.
type Service struct {
	Name         string       `json:"name"`
	P99MS        clock.Millis `json:"p99_ms"`
	SlowdownPerc int          `json:"slowdown_percent"` // against running alone; 100 is none
}

// TaskUsage is the measured use of one task.
type TaskUsage struct {
	Job      string        `json:"job"`
	Attempt  int           `json:"attempt"`
	Kind     string        `json:"kind"`
	Used     amount.Amount `json:"used"`
	Progress int           `json:"progress_percent"`
}

// Usages is a client of the platform's usage reports.
type Usages struct {
	// Fetch returns the newest report of each VM of a failure domain.
	Fetch func(ctx context.Context, domain string) ([]Usage, error)
}
