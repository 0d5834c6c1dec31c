package witness

import (
	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Kind says what was seen.
type Kind string

// What workers see.
const (
	Booted      Kind = "worker_booted" // a VM started anew; whatever ran there is gone
	Halted      Kind = "worker_halted" // a VM stopped; whatever ran there is gone
	RequestRan  Kind = "request_ran"
	TaskStarted Kind = "task_started"
	TaskEnded   Kind = "task_ended"
)

// What callers see.
const (
	RequestSent     Kind = "request_sent"
	RequestAnswered Kind = "request_answered"
	RequestWrong    Kind = "request_wrong"   // an answer of another request, or not the whole one
	RequestRefused  Kind = "request_refused" // every attempt ended with "not run"
	RequestUnknown  Kind = "request_unknown"
	TaskAccepted    Kind = "task_accepted"
	TaskRefused     Kind = "task_refused" // told "not run"
	TaskCancelled   Kind = "task_cancelled"
)

// What operators see.
const (
	DomainOut  Kind = "domain_out" // the mark was accepted
	DomainBack Kind = "domain_back"
	VMOut      Kind = "vm_out" // marked out, or told to leave by the platform
	VMBack     Kind = "vm_back"
)

// Event is one observation. Only the members of its kind are set.
type Event struct {
	Kind       Kind          `json:"kind"`
	At         clock.Millis  `json:"at_ms"` // on the clock that all observers share
	Source     string        `json:"source,omitempty"`
	Sequence   int64         `json:"sequence,omitempty"` // of the source; 0 for none. A repeated one is dropped
	VM         string        `json:"vm,omitempty"`
	Domain     string        `json:"failure_domain,omitempty"`
	Request    string        `json:"request,omitempty"`
	Repeatable bool          `json:"repeatable,omitempty"`
	Job        string        `json:"job,omitempty"`
	Key        string        `json:"key,omitempty"` // of the caller; names the work whatever the job's id is
	Attempt    int           `json:"attempt,omitempty"`
	Size       amount.Amount `json:"size"`
	Phase      string        `json:"phase,omitempty"`      // how a task ended
	DoneMS     clock.Millis  `json:"done_ms,omitempty"`    // work done by then, with what was resumed
	SavedMS    clock.Millis  `json:"saved_ms,omitempty"`   // of it in the checkpoint
	Checkpoint string        `json:"checkpoint,omitempty"` // left at the end, or resumed at the start
}
