// Package owner decides for one cell of workers and jobs: what to accept, what
// runs where, when a run is certainly over, and when a job is done.
//
// It is a state machine of one goroutine. Inputs are its exported methods;
// outputs are the functions in [Effects], which must return at once and whose
// answers come back as inputs. It reads no clock but the one it is given and
// does no I/O, so tests play whole days in virtual time.
//
//	Submit, Cancel ──┐                          ┌──> Effects.Append ──> Appended
//	Report ──────────┤                          │         │ durable
//	Started, Stopped ┼──> jobs, tasks, workers ─┤         v
//	Tick ────────────┤        │                 ├──> replies to callers
//	SetManifest ─────┘        └── place ────────┴──> Effects.Start, Stop, Pace, Hold
//
// Order of things that keeps every promise:
//
//   - A run is recorded, and the record acknowledged under the owner's epoch,
//     before its order is sent. A later owner therefore knows of every run.
//   - An end is recorded before the worker may forget it.
//   - A final state is shown after its record.
//   - A run counts as over only when its worker says so, when its worker has
//     restarted, or when its lease has certainly run out.
//
// # Usage
//
//	own := owner.New(options)
//	err := own.Load(records)
//	own.SetManifest(tables)
//	own.SetWorkers(entries)
//	...
//	own.Tick()
package owner

import (
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/harm"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// Effects are what an owner asks of the outside. Each returns at once.
type Effects struct {
	Append func(records []journal.Record) // answered by Appended
	Start  func(order fleet.Start)        // answered by Started
	Stop   func(order fleet.Stop)         // answered by Stopped
	Pace   func(order fleet.Pace)         // answered by Paced
	Hold   func(order fleet.Hold)         // answered by Report
	// Resign tells that another owner exists; the owner does nothing more.
	Resign func(reason string)
}

// Options of an owner.
type Options struct {
	Epoch   int64               // of the ownership; the fencing token of all orders
	Now     func() clock.Millis // must also count suspended time
	Wall    func() int64        // Unix milliseconds; for ages that outlive an owner, and for nothing that must be true
	Times   Times
	Cores   float64 // of this process; 0: not known
	Effects Effects
	Log     zerolog.Logger
	Counts  *Counts
}

// Owner is the state of one cell. It is not safe for concurrent use.
type Owner struct {
	options Options
	now     clock.Millis // of the input being handled
	claimed clock.Millis // when the ownership was won

	tables  manifest.Manifest
	out     map[string]bool // failure domains out of service
	jobs    map[job.ID]*jobState
	workers map[string]*worker // by id
	ordered []*worker          // in order of id, so that decisions repeat

	batch    batch  // what the next append will keep
	inFlight *batch // what the current append keeps; nil: none
	sentAt   clock.Millis
	ackedAt  clock.Millis // when the newest acknowledged append was sent
	nextAt   clock.Millis // earliest time of the next append

	cancels map[int]func(Verdict) // replies to cancellations that are yet to be recorded
	asked   int                   // cancellations so far

	formerKnown bool           // the former owner's list of silent workers is at hand
	formerGone  bool           // the former owner renews no leases
	silenceAt   clock.Millis   // when the list of silent workers was last recorded
	silentRuns  []silentWorker // that list
	silenceDue  bool           // the list of silent workers is to be recorded
	heard       []*worker      // workers to be trusted again after that

	timers   timers
	harm     *harm.Estimator
	trials   map[trial]int          // pairs of images that are being tried
	tried    int                    // tasks that began such a trial
	ratings  []rating               // of the step that is being placed, by pool
	reserved int                    // workers that are kept for large tasks
	demands  map[string]shortDemand // by pool
	harmAt   clock.Millis           // of the next record of the estimates
	gone     bool                   // resigned
	placeDue bool                   // something changed that may let a task start
	nextPass clock.Millis           // of the next pass that only the time makes due
	sweepAt  clock.Millis
	drainAt  clock.Millis // of the next look for lasting tasks that must move
}

// New returns an owner without jobs or workers. Its ownership begins now.
func New(options Options) *Owner {
	now := options.Now()
	return &Owner{
		options: options,
		now:     now,
		claimed: now,
		ackedAt: now,
		out:     map[string]bool{},
		jobs:    map[job.ID]*jobState{},
		workers: map[string]*worker{},
		cancels: map[int]func(Verdict){},
		harm:    harm.New(),
		trials:  map[trial]int{},
		demands: map[string]shortDemand{},
	}
}

// Tick handles whatever is due by now. It is called every few milliseconds.
func (o *Owner) Tick() {
	if !o.enter() {
		return
	}
	o.timers.run(o.now)
	o.checkLeases()
	if o.StoreSilence() > o.options.Times.StoreSlow {
		o.refuseUnsent()
	}
	o.keepAlive()
	o.keepHarm()
	o.keepSilence()
	o.leaveDraining()
	o.sweep()
	o.flush()
}

// Flush starts an append if one is due; it is called after a group of inputs.
func (o *Owner) Flush() {
	if o.enter() {
		o.flush()
	}
}

// SetManifest takes a newer version of the tables.
func (o *Owner) SetManifest(tables manifest.Manifest) {
	if !o.enter() || tables.Version == o.tables.Version {
		return
	}
	o.options.Log.Info().Str("event", "manifest_taken").
		Int64("version", tables.Version).Int64("before", o.tables.Version).Send()
	o.tables = tables
	o.placeDue = true
}

// SetOut replaces the set of failure domains that are out of service.
func (o *Owner) SetOut(domains map[string]bool) {
	if !o.enter() {
		return
	}
	o.out = domains
	o.placeDue = true
}

// Fresh reports whether the store confirmed this ownership so recently that
// the absence of a job can be trusted.
func (o *Owner) Fresh() bool {
	return !o.gone && o.options.Now()-o.ackedAt < o.options.Times.Fresh
}

// StoreSilence returns for how long the store has confirmed nothing, although
// it was asked.
func (o *Owner) StoreSilence() clock.Millis {
	if o.inFlight == nil {
		return 0
	}
	return o.options.Now() - o.sentAt
}

// enter begins an input; it reports whether the owner still decides.
func (o *Owner) enter() bool {
	o.now = o.options.Now()
	return !o.gone
}

// resign gives the ownership up for good.
func (o *Owner) resign(reason string) {
	if o.gone {
		return
	}
	o.gone = true
	o.options.Log.Warn().Str("event", "ownership_lost").Int64("epoch", o.options.Epoch).Str("reason", reason).Send()
	o.refuseAll()
	o.options.Effects.Resign(reason)
}
