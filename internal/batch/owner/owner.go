// Package owner is what one entry does for one cell: it follows the cell's
// stream, renews its share of the leases and, while it owns the cell, schedules.
//
//	Read ──> cell state ──> events ─┬─> signs, silence ──> claim
//	                                ├─> renewals (every entry of the domain)
//	                                └─> scheduler (the owner alone)
//	                                      queue ─> place ─> start record ─read back─> start order
//
// An [Owner] is a mutable engine of the control thread. It starts no goroutine,
// reads only the clock it was given, and acts through the function fields of
// [Agent] and the journal, whose answers come back on the control thread.
//
// What it does never depends on a message between entries: orders to workers
// follow from records that were read back, and facts about workers go into the
// stream before anything is built on them.
//
// # Usage
//
//	one := owner.New(owner.Options{Cell: "a.0", Entry: "a-e-1", Domain: "a", ...})
//	one.SetWorld(world)           // whenever configuration, VMs or peers changed
//	page := read(one.Next())      // all the time
//	one.Read(page, sentAt)
//	one.Tick()                    // every 50 ms
package owner

import (
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/agenda"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/batch/journal"
	"github.com/oriolepier/oriolepier/internal/batch/lease"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// Agent sends orders to the agent at an address. Done is called on the control
// thread, at most once; an order without an answer within a few seconds must be
// reported as a fault of outcome Unknown.
type Agent struct {
	Start    func(address string, order worker.StartOrder, done func(worker.Task, error))
	Renew    func(address string, order worker.RenewOrder, done func(worker.Report, error))
	Stop     func(address string, order worker.StopOrder, done func(worker.Task, error))
	Throttle func(address string, order worker.ThrottleOrder, done func(worker.Task, error))
	Forget   func(address string, order worker.ForgetOrder, done func(error))
	Look     func(address string, done func(worker.Report, error))
}

// Options are what an owner needs.
type Options struct {
	Cell    string
	Entry   string // this entry
	Domain  string // failure domain of this entry
	Clock   clock.Clock
	Seed    uint64
	Journal *journal.Journal
	Agent   Agent
	Log     zerolog.Logger
	// LogRetention is how long the log keeps a record; 0: for half an hour or more.
	LogRetention clock.Millis
}

// Peer is an entry, as membership sees it.
type Peer struct {
	Name   string `json:"name"`
	Domain string `json:"failure_domain"`
	Live   bool   `json:"live"`
}

// World is what the owner must know from outside the cell's stream.
type World struct {
	Config       ledger.Config
	ConfigReadAt clock.Millis // start of the newest read of the config stream that reached its end
	VMs          []inventory.VM
	Entries      []Peer // this entry included
}

// breaks switches a safeguard off, so that tests can show what it prevents.
type breaks struct {
	noReadBack  bool // order starts when their record is added
	noFreshness bool // start whatever the age of the configuration
	noWorkerEnd bool // call a lease over by the owner's clock alone, at once
	noYield     bool // go on as owner although another has claimed the cell
	rules       cell.Rules
}

// Owner is one entry's part in one cell. It is mutable.
type Owner struct {
	options Options
	domain  string // failure domain of the cell
	stream  string
	broken  breaks

	state *cell.State
	view  view
	world World
	plant plant

	signs    lease.Signs
	nextSign clock.Millis
	peers    *lease.Peers
	claims   claims

	share    lease.Share
	readings map[string]lease.Reading
	renewals *agenda.Agenda // workers, by when to renew
	checks   map[string]*check
	forgets  map[string]map[string]overdue // by worker, job and attempt
	saved    map[string]string             // newest checkpoint seen of a running job
	facts    map[factKey]fact              // on their way to the stream

	ownEpoch int64 // epoch of this process's own newest valid claim
	ownSince clock.Millis
	leaving  bool
	sched    *scheduler // nil while another owns the cell
	count    Counters
}

// Counters count what an owner did.
type Counters struct {
	Claims       int64 `json:"claims"`
	Takeovers    int64 `json:"takeovers"`
	Starts       int64 `json:"starts"`
	StartsStale  int64 `json:"starts_stale"` // held back for want of fresh configuration
	Stops        int64 `json:"stops"`
	Renewals     int64 `json:"renewals"`
	RenewalsLost int64 `json:"renewals_lost"`
	RenewalsHeld int64 `json:"renewals_held"` // not sent because the hold time was over
	Looks        int64 `json:"looks"`
	Evictions    int64 `json:"evictions"`
	Drops        int64 `json:"drops"`
	Hands        int64 `json:"hands"`
	Throttles    int64 `json:"throttles"`
	Snapshots    int64 `json:"snapshots"`
	VoidOwn      int64 `json:"void_own"` // own records that had no effect
}

// New returns an owner that has read nothing.
func New(options Options) *Owner { return newWith(options, breaks{}) }

func newWith(options Options, broken breaks) *Owner {
	owner := &Owner{
		options:  options,
		domain:   job.DomainOf(options.Cell),
		stream:   job.StreamName(options.Cell),
		broken:   broken,
		readings: map[string]lease.Reading{},
		renewals: agenda.New(),
		checks:   map[string]*check{},
		forgets:  map[string]map[string]overdue{},
		saved:    map[string]string{},
		facts:    map[factKey]fact{},
	}
	owner.claims = newClaims(options)
	owner.restart()
	return owner
}

// Tick does what is due. Call it about every 50 ms.
func (owner *Owner) Tick() {
	now := owner.now()
	if !owner.view.ready || owner.state.Untrusted() != "" {
		return
	}
	owner.sign(now)
	owner.renew(now)
	owner.claim(now)
	if owner.Owns() {
		owner.sched.tick(now)
	}
}

// Owns reports whether this process owns the cell, as far as it has read.
func (owner *Owner) Owns() bool {
	if owner.broken.noYield {
		return owner.sched != nil
	}
	name, _ := owner.state.Owner()
	return owner.sched != nil && name == owner.options.Entry && owner.ownEpoch == owner.state.Epoch()
}

// Status returns what a caller is told of a job, as far as it was read.
func (owner *Owner) Status(id string) (job.Status, bool) { return owner.state.Status(id) }

// List returns the status of jobs, in order of id.
func (owner *Owner) List(filter cell.Filter) []job.Status { return owner.state.List(filter) }

// QueueLength returns how many jobs wait, or 0 while another owns the cell.
func (owner *Owner) QueueLength() int {
	if owner.sched == nil {
		return 0
	}
	return owner.sched.waiting.Len() + owner.sched.delayed.Len()
}

// Counters returns counts of what was done.
func (owner *Owner) Counters() Counters { return owner.count }

// Usage takes in lagging measurements of workers.
func (owner *Owner) Usage(reports []worker.Usage) {
	if owner.Owns() {
		owner.sched.observe(owner.now(), reports)
	}
}

func (owner *Owner) now() clock.Millis { return owner.options.Clock.Now() }

// add puts a record into the cell's stream.
func (owner *Owner) add(record []byte, done journal.Done) {
	owner.options.Journal.Add(owner.stream, record, done)
}

// mine reports whether an event's record was written by this process.
func (owner *Owner) mine(event cell.Event) bool {
	return event.Writer == owner.options.Journal.Writer()
}

// Next returns the offset from which to read on in the cell's stream.
func (owner *Owner) Next() stream.Offset { return owner.view.next }
