package cell

import (
	"strings"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// Job is a job as its cell keeps it. A guest is a job of another home cell
// that this cell runs.
type Job struct {
	ID       string        `cbor:"1,keyasint" json:"id"`
	Spec     job.Spec      `cbor:"2,keyasint" json:"spec"`
	Phase    job.Phase     `cbor:"3,keyasint" json:"phase"`
	Attempt  int           `cbor:"4,keyasint,omitempty" json:"attempt"` // newest one started, 0 before any
	VM       string        `cbor:"5,keyasint,omitempty" json:"vm"`      // of the newest attempt
	Boot     string        `cbor:"6,keyasint,omitempty" json:"boot"`
	NotAfter worker.Time   `cbor:"7,keyasint,omitempty" json:"not_after"` // latest start of the newest attempt
	Failures int           `cbor:"8,keyasint,omitempty" json:"failures"`
	Evicted  int           `cbor:"9,keyasint,omitempty" json:"evicted"`
	Resume   string        `cbor:"10,keyasint,omitempty" json:"resume"` // checkpoint for the next attempt
	Avoid    []string      `cbor:"11,keyasint,omitempty" json:"avoid"`  // workers that failed it, newest last
	Cancel   bool          `cbor:"12,keyasint,omitempty" json:"cancel"` // its caller wants it ended
	Reason   string        `cbor:"13,keyasint,omitempty" json:"reason"`
	Since    clock.Millis  `cbor:"14,keyasint,omitempty" json:"since"` // cell time of submission
	EndedAt  clock.Millis  `cbor:"15,keyasint,omitempty" json:"ended_at"`
	Begun    stream.Offset `cbor:"21,keyasint,omitempty" json:"begun"`  // offset of the newest start's record
	EndSeq   int64         `cbor:"20,keyasint,omitempty" json:"-"`      // order of ends in the cell
	Hand     int           `cbor:"16,keyasint,omitempty" json:"hand"`   // number of the newest hand-over between cells
	To       string        `cbor:"17,keyasint,omitempty" json:"to"`     // cell that runs it while handed
	From     string        `cbor:"18,keyasint,omitempty" json:"from"`   // home cell of a guest
	Result   bool          `cbor:"19,keyasint,omitempty" json:"result"` // a guest's end is not yet with its home cell
}

// Active reports whether the newest attempt is not known to be over.
func (entry *Job) Active() bool { return entry.Phase == job.Running || entry.Phase == job.Evicting }

// over reports whether the job is ended for this cell.
func (entry *Job) over() bool { return entry.Phase.Over() || entry.Phase == job.Returned }

func (entry *Job) maxAttempts() int {
	if entry.Spec.MaxAttempts > 0 {
		return entry.Spec.MaxAttempts
	}
	return defaultAttempts
}

func (entry *Job) avoid(vm string) {
	if vm == "" {
		return
	}
	entry.Avoid = append(entry.Avoid, vm)
	if len(entry.Avoid) > maxAvoid {
		entry.Avoid = append([]string(nil), entry.Avoid[len(entry.Avoid)-maxAvoid:]...)
	}
}

func (entry *Job) status(cell string) job.Status {
	at := cell
	if entry.Phase == job.Handed {
		at = entry.To
	}
	vm := ""
	if entry.Active() || entry.Phase == job.Finished {
		vm = entry.VM
	}
	return job.Status{
		ID: entry.ID, Caller: entry.Spec.Caller, Key: entry.Spec.Key,
		Phase: entry.Phase, Attempt: entry.Attempt, VM: vm, Cell: at,
		Evicted: entry.Evicted, Failures: entry.Failures, Reason: entry.Reason,
	}
}

func cut(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return strings.ToValidUTF8(text[:limit], "")
}
