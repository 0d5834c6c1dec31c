// Package cell is the state of one cell: jobs, attempts, workers and the owner,
// as a pure function of the cell's log stream.
//
// Every reader applies the same records in the same order and gets the same
// state. A record is valid or void by the state at its offset. The log's order
// settles every race: a claim is valid when its epoch is the next one, and a
// record that carries an older epoch than the one in force is void.
//
//	append ──> stream ──read──> Apply ──> valid: state changes, an Event
//	                                 └──> void: counted, nothing changes
//
// State is a mutable engine that one thread uses. It reads no clock: its time
// is the sum of the elapsed times that owners report in heartbeats.
//
// # Record versions
//
// A batch starts with a magic byte and a version. What lacks the magic byte, or
// does not decode, is void for every reader. A version or kind that this binary
// does not know makes its state untrusted: it goes on reading, but must not
// claim, order or renew, because newer readers may have understood the record.
// A release therefore first learns to read a new kind and only the release
// after it writes that kind.
//
// # Usage
//
//	state := cell.New("a.0")
//	for _, rec := range page.Records {
//		events := state.Apply(rec)
//	}
//	status, ok := state.Status(id)
package cell

import (
	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// Limits of the state.
const (
	// Memory is how long the key of an ended job is remembered, in cell time.
	Memory = 24 * clock.Hour
	// minMemory is kept even when more than maxEnded jobs ended within Memory.
	minMemory = 2 * clock.Hour
	maxEnded  = 200_000
	// maxWriters bounds the table of append sequences.
	maxWriters = 4096
	// maxAvoid is how many failed workers a job remembers.
	maxAvoid = 4
	// defaultAttempts parks a job whose route gives no bound.
	defaultAttempts = 5

	// MaxRecordBytes bounds one record of a batch.
	MaxRecordBytes = 1 << 20

	maxNameBytes    = 512
	maxPayloadBytes = 64 << 10
	maxReasonBytes  = 512
	maxBatch        = 8192
)

// Rules are the checks of Apply. Tests switch them off one at a time to show
// that each is needed.
type Rules struct {
	NoFence  bool // accept records of older epochs
	NoRoom   bool // accept starts beyond a worker's size
	NoDedupe bool // accept a key or an append twice
}

// Terms bound how long a lease can live without its owner.
type Terms struct {
	Hold  clock.Millis `cbor:"1,keyasint" json:"hold_ms"`
	Lease clock.Millis `cbor:"2,keyasint" json:"lease_ms"`
}

// Life is the longest time a lease lasts after the last proof of a full view.
func (t Terms) Life() clock.Millis { return t.Hold + t.Lease }

// Counters count what was applied.
type Counters struct {
	Valid      int64 `cbor:"1,keyasint" json:"valid"`
	Void       int64 `cbor:"2,keyasint" json:"void"`
	Duplicates int64 `cbor:"3,keyasint" json:"duplicates"`
	Malformed  int64 `cbor:"4,keyasint" json:"malformed"`
	Starts     int64 `cbor:"5,keyasint" json:"starts"`
	Finished   int64 `cbor:"6,keyasint" json:"finished"`
	Evicted    int64 `cbor:"7,keyasint" json:"evicted"`
	Failed     int64 `cbor:"8,keyasint" json:"failed"`
}

// State is a cell as its stream makes it. It is mutable.
type State struct {
	name  string
	rules Rules

	applied stream.Offset
	now     clock.Millis
	epoch   int64
	owner   string
	domain  string // failure domain of the owner
	heir    string // entry that a graceful handover named

	terms    Terms
	previous Terms        // longer terms that may still be in use
	until    clock.Millis // cell time up to which previous counts

	writers  map[string]seen
	jobs     map[string]*Job
	ended    []end // over jobs, oldest end first; some may be stale
	endCount int   // over jobs that are remembered
	endSeq   int64 // of the newest end
	vms      map[string]*VM
	snapshot progress
	count    Counters

	untrusted string  // why this reader must not act; not part of the shared state
	events    []Event // of the last Apply
}

// VM is what the state keeps of a worker.
type VM struct {
	Committed amount.Amount   // of all attempts that are not known over
	Jobs      map[string]bool // jobs with such an attempt
	Dropped   stream.Offset   // offset of the record that ended its renewals; 0 when in use
}

// New returns the state of a cell before its first record.
func New(name string) *State { return NewWith(name, Rules{}) }

// NewWith returns a state that applies other rules.
func NewWith(name string, rules Rules) *State {
	return &State{
		name:    name,
		rules:   rules,
		writers: map[string]seen{},
		jobs:    map[string]*Job{},
		vms:     map[string]*VM{},
	}
}

// Name returns the cell's name.
func (cell *State) Name() string { return cell.name }

// Applied returns the offset of the newest record applied, or 0.
func (cell *State) Applied() stream.Offset { return cell.applied }

// Now returns the cell's time.
func (cell *State) Now() clock.Millis { return cell.now }

// Epoch returns the epoch in force, or 0 before the first claim.
func (cell *State) Epoch() int64 { return cell.epoch }

// Owner returns the entry that owns the cell, or "", and its failure domain.
func (cell *State) Owner() (entry, domain string) { return cell.owner, cell.domain }

// Heir returns the entry that the last owner handed the cell to, or "".
func (cell *State) Heir() string { return cell.heir }

// Untrusted returns why this reader must not act on the state, or "".
func (cell *State) Untrusted() string { return cell.untrusted }

// Distrust marks the state as unfit to act on.
func (cell *State) Distrust(reason string) { cell.untrusted = reason }

// Terms returns the terms that renewals may use.
func (cell *State) Terms() Terms { return cell.terms }

// LongestTerms returns the terms that some renewal may still use.
func (cell *State) LongestTerms() Terms {
	if cell.now >= cell.until {
		return cell.terms
	}
	return Terms{Hold: max(cell.terms.Hold, cell.previous.Hold), Lease: max(cell.terms.Lease, cell.previous.Lease)}
}

// Counters returns counts of what was applied.
func (cell *State) Counters() Counters { return cell.count }

// SnapshotAt returns the position of the newest complete snapshot, or 0.
func (cell *State) SnapshotAt() stream.Offset { return cell.snapshot.Done }

// Job returns a job by id. It must not be changed.
func (cell *State) Job(id string) (*Job, bool) {
	found, ok := cell.jobs[id]
	return found, ok
}

// Jobs calls each with every job, in no order, until it returns false.
func (cell *State) Jobs(each func(*Job) bool) {
	for _, entry := range cell.jobs {
		if !each(entry) {
			return
		}
	}
}

// IDs returns the ids of all jobs, in order.
func (cell *State) IDs() []string { return cell.sortedIDs() }

// Len returns how many jobs are kept, ended ones included.
func (cell *State) Len() int { return len(cell.jobs) }

// Ended returns how many ended jobs are remembered.
func (cell *State) Ended() int { return cell.endCount }

// VM returns what is kept of a worker; nil when nothing is. It must not be changed.
func (cell *State) VM(name string) *VM { return cell.vms[name] }

// VMs calls each with every worker that has something kept.
func (cell *State) VMs(each func(name string, vm *VM)) {
	for name, vm := range cell.vms {
		each(name, vm)
	}
}

// Status returns what a caller is told of a job.
func (cell *State) Status(id string) (job.Status, bool) {
	found, ok := cell.jobs[id]
	if !ok {
		return job.Status{}, false
	}
	return found.status(cell.name), true
}

// Filter selects jobs for a list; empty fields select all.
type Filter struct {
	Caller string
	Phase  job.Phase
	Limit  int
}

// List returns the status of the jobs that a filter selects, in order of id.
func (cell *State) List(filter Filter) []job.Status {
	var found []job.Status
	for _, id := range cell.sortedIDs() {
		entry := cell.jobs[id]
		if filter.Limit > 0 && len(found) >= filter.Limit {
			break
		}
		if filter.Caller != "" && entry.Spec.Caller != filter.Caller {
			continue
		}
		if filter.Phase != "" && entry.Phase != filter.Phase {
			continue
		}
		found = append(found, entry.status(cell.name))
	}
	return found
}
