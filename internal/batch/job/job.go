// Package job is a task as its caller submits it and as the system answers
// for it.
//
// A job is named by its caller and a key of the caller's; the same pair always
// means the same job. Its id is made from the home cell and a hash of the
// pair, so that any entry can find the cell from the id.
//
// # Usage
//
//	cell := job.Home(spec.Caller, spec.Key, cells)
//	id := job.ID(cell, spec.Caller, spec.Key)
package job

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Spec is what a caller asks for.
type Spec struct {
	Caller      string        `cbor:"1,keyasint" json:"caller"`
	Key         string        `cbor:"2,keyasint" json:"key"`
	Route       string        `cbor:"3,keyasint" json:"route"`
	Team        string        `cbor:"4,keyasint" json:"team"`
	Class       route.Class   `cbor:"5,keyasint" json:"class"`
	Pools       []string      `cbor:"6,keyasint" json:"pools"`          // in order of preference, from the route
	Kind        string        `cbor:"7,keyasint,omitempty" json:"kind"` // what it runs; noise is estimated per kind
	Payload     string        `cbor:"8,keyasint,omitempty" json:"payload"`
	Size        amount.Amount `cbor:"9,keyasint" json:"size"`
	RunMS       clock.Millis  `cbor:"10,keyasint,omitempty" json:"run_ms"` // declared; not trusted
	MaxAttempts int           `cbor:"11,keyasint,omitempty" json:"max_attempts"`
}

// Phase is where a job stands.
type Phase string

// The phases.
const (
	Queued    Phase = "queued"
	Running   Phase = "running"
	Evicting  Phase = "evicting" // stop ordered, end not yet known
	Handed    Phase = "handed"   // another cell runs it
	Finished  Phase = "finished"
	Cancelled Phase = "cancelled"
	Parked    Phase = "parked"   // will not be tried again; Reason says why
	Returned  Phase = "returned" // given back to the home cell by the one that was to run it
)

// Over reports whether the phase is final.
func (p Phase) Over() bool { return p == Finished || p == Cancelled || p == Parked }

// Status is what a caller is told of a job.
type Status struct {
	ID       string `json:"id"`
	Caller   string `json:"caller"`
	Key      string `json:"key"`
	Phase    Phase  `json:"phase"`
	Attempt  int    `json:"attempt"`
	VM       string `json:"vm,omitempty"`
	Cell     string `json:"cell"`
	Evicted  int    `json:"evicted"` // times it was moved
	Failures int    `json:"failures"`
	Reason   string `json:"reason,omitempty"`
}

// Home returns the home cell of a job: a stable choice among all configured
// cells, live or not. Cells must be in order of name and not empty.
func Home(caller, key string, cells []string) string {
	return rendezvous.New(cells, xxhash.Sum64String).Lookup(caller + "\x00" + key)
}

// ID returns the id of a job.
func ID(cell, caller, key string) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(caller)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	return fmt.Sprintf("%s-%016x", cell, digest.Sum64())
}

// CellOf returns the home cell that an id names, or false for a malformed id.
func CellOf(id string) (string, bool) {
	at := strings.LastIndexByte(id, '-')
	if at <= 0 || len(id)-at != 17 {
		return "", false
	}
	return id[:at], true
}

// CellName names a cell of a failure domain; index starts at 0.
func CellName(domain string, index int) string { return fmt.Sprintf("%s.%d", domain, index) }

// DomainOf returns the failure domain in a cell's name.
func DomainOf(cell string) string {
	at := strings.LastIndexByte(cell, '.')
	if at < 0 {
		return cell
	}
	return cell[:at]
}

// StreamName names the log stream of a cell.
func StreamName(cell string) string { return "cell." + cell }
