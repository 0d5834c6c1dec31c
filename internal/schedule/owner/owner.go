// Package owner schedules one cell of workers and jobs: it admits jobs, places
// their tasks, decides when a run has certainly ended, and completes jobs.
//
// It is a single-goroutine state machine. Inputs are its exported methods;
// outputs are the functions in [Effects], which must not block and whose
// answers arrive as inputs. It reads time only from the clocks in [Options] and
// does no I/O, so tests simulate whole days in virtual time.
//
//	Submit, Cancel ──┐                          ┌──> Effects.Append ──> Appended
//	Report ──────────┤                          │         │ durable
//	Started, Stopped ┼──> jobs, tasks, workers ─┤         v
//	Tick ────────────┤        │                 ├──> replies to callers
//	SetManifest ─────┘        └── placement ────┴──> Effects.Start, Stop, Pace, Hold
//
// These rules on sequence hold:
//
//   - A run is recorded, and the record acknowledged under the owner's epoch,
//     before its start order is sent. A later owner therefore finds every run in the records.
//   - The end of a run is recorded before its worker may discard it.
//   - A final job state is reported only after it is recorded.
//   - A run counts as ended only when its worker reports the end or has
//     restarted, or when its lease has certainly expired.
//
// # Usage
//
//	own := owner.New(options)
//	own.Fenced(attempts)
//	err := own.Load(records)
//	own.SetManifest(tables)
//	own.SetWorkers(entries)
//	...
//	own.Tick()
package owner

import (
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/duration"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/interference"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/internal/schedule/mix"
	"github.com/oriolepier/oriolepier/internal/schedule/quota"
)

// Effects are the owner's outputs. None of them may block.
type Effects struct {
	Append func(records []journal.Record) // answered by Appended
	Start  func(order fleet.Start)        // answered by Started
	Stop   func(order fleet.Stop)         // answered by Stopped
	Pace   func(order fleet.Pace)         // answered by Paced
	Hold   func(order fleet.Hold)         // answered by Report
	// Resign reports that the ownership is lost; the owner stops for good.
	Resign func(reason string)
}

// Options configure an owner.
type Options struct {
	Epoch         int64               // epoch of the ownership; orders carry it in their fencing token
	PreviousOwner string              // name of the previous owner, for log lines; empty: unknown
	Now           func() clock.Millis // monotonic clock; must include time spent suspended
	WallClock     func() int64        // Unix milliseconds; may jump, so it is used only for the age of jobs and final states across owners
	Times         Times
	Limits        journal.Limits // of the store; zero: the defaults
	Cores         float64        // processor cores of this process; 0: unknown
	Effects       Effects
	Log           zerolog.Logger
	Metrics       *Metrics
	StartsAtOnce  int                    // largest number of starts of the cell under way; 0: no bound
	AdmitBytes    func(count int64) bool // reports whether the process has memory for a job of count bytes; nil: always
	// PreviousRenewWindow is the renew window that the previous owner recorded, if it asked
	// this entry for a later owner; 0: unknown, or it did not.
	PreviousRenewWindow clock.Millis
}

// Owner is the state of one cell. It is not safe for concurrent use.
type Owner struct {
	options   Options
	now       clock.Millis // time of the input being handled
	claimedAt clock.Millis // when the ownership was won
	fenced    bool         // Fenced was called
	restarts  int64        // restarts of workers that this owner has learned of, which fencing tokens count
	fencedAt  clock.Millis // when the store confirmed that earlier owners are fenced; claimedAt before

	// For log lines only; 0: not yet.
	firstHoldAt    clock.Millis // when the first hold was sent
	leaseGrantedAt clock.Millis // when a lease was last granted, on any worker

	tables        manifest.Manifest // queues, pools and limits in force
	domainsOut    map[string]bool   // failure domains out of service
	jobs          map[job.ID]*jobState
	workers       map[string]*worker // by id
	sortedWorkers []*worker          // sorted by id, so that decisions are deterministic
	workersKnown  bool               // a list of workers was received

	undividedBytes       int    // size up to which the progress of a job is one record, as earlier versions write and read it
	batch                batch  // changes for the next append
	inFlight             *batch // changes in the append under way; nil: none
	appendSentAt         clock.Millis
	ownershipConfirmedAt clock.Millis // send time of the newest acknowledged append
	nextAppendAt         clock.Millis // earliest time of the next append

	undecided      []submission // submissions that could be refused, but not yet with certainty
	noLaterOwnerAt clock.Millis // when no other entry knew a later owner; 0: not known

	earlyCancels  earlyCancels          // newest cancellations of jobs that were not known
	cancelReplies map[int]func(Verdict) // replies to cancellations that are not recorded yet
	cancelCount   int                   // cancellations received; numbers cancelReplies

	loadedList              loadedList           // summary of the list that was loaded
	unresponsiveListCurrent bool                 // the loaded list of unresponsive workers was written by the directly preceding owner
	previousOwnerStopped    bool                 // the previous owner no longer renews leases
	unresponsiveEncodedAt   clock.Millis         // when the list of unresponsive workers was last encoded; its append may be pending
	encodedUnresponsive     []unresponsiveWorker // the list as last encoded
	unresponsiveChanged     bool                 // the list must be recorded again
	listRecords             int                  // records of the list beyond the first that may be stored
	listsEncoded            int                  // number of the newest encoded list of unresponsive workers; 0: the loaded one
	listsRecorded           int                  // number of the newest acknowledged one

	timers                   timers
	interference             *interference.Estimator
	keptModels               map[string]keptModel // interference with images of long-running tasks that are over their target, as known before
	durations                *duration.Estimator
	nextDurationsRecordAt    clock.Millis              // earliest next record of the durations
	trials                   map[trial]int             // tasks placed to learn an unknown pair of images, by pair
	trialsStarted            int                       // trials begun so far, one for each unknown pair beside a placed task
	ratings                  []rating                  // worker scores for the step being placed, by pool
	relocations              map[*taskState]relocating // long-running tasks on the way to another worker
	nextRelocationAt         clock.Millis              // earliest next plan of relocations
	reservations             reservations
	sizes                    *mix.Mix               // of the batch tasks that were submitted recently
	totalRoom                fleet.Room             // of all listed workers
	batchDemands             map[string]batchDemand // recent demand of batch tasks, by pool
	nextInterferenceRecordAt clock.Millis           // earliest next record of the interference estimates
	blocked                  blockedTasks           // what the last placement pass left waiting
	loggedReason             rejection              // leading reason in the last log line on it
	nextBlockedLogAt         clock.Millis           // earliest next such line
	failureRate              failureRate
	nextOutcomesCheckAt      clock.Millis            // earliest next removal of old outcomes
	outcomes                 map[runSource]*outcomes // ends of the runs of jobs and images that have failed lately
	attempts                 map[string]int          // failed runs of a task after which its job fails, by queue, as the tables last had it
	quotas                   *quota.Ledger           // what customers may have running
	customers                map[string]*customer    // by name
	turn                     turn                    // of the customer whose job is being placed
	waitingWork              map[string]waitingWork  // by pool, while there are customers
	resigned                 bool                    // the ownership is lost; no input is handled any more
	starts                   startCounts             // starts of all workers under way; retries are not counted
	silentOpen               int                     // open starts on silent workers, as of the last tick or pass and sent since
	startsHeldBack           bool                    // the last placement pass left tasks waiting for a bound of starts
	passes                   int                     // placement passes with usable workers
	passCost                 int                     // cost of the present pass so far
	sweep                    int                     // number of the present sweep over all waiting jobs
	offersPass               int                     // pass in which worker.lastOffer was read
	hasBlockedSearches       bool                    // a step may be skipped in the next pass
	placementDue             bool                    // a placement pass is due because some input may let a task start
	nextPassAt               clock.Millis            // next placement pass that is due by time alone
	nextExpiryAt             clock.Millis            // next removal of expired final states
	nextDrainCheckAt         clock.Millis            // next check for long-running tasks on draining workers
}

// New returns an owner without jobs or workers. Its ownership counts from now.
func New(options Options) *Owner {
	options.Limits = options.Limits.OrDefault()
	now := options.Now()
	return &Owner{
		options:              options,
		undividedBytes:       options.Limits.RecordBytes,
		now:                  now,
		claimedAt:            now,
		fencedAt:             now,
		loadedList:           unresponsiveList{}.summary(),
		ownershipConfirmedAt: now,
		domainsOut:           map[string]bool{},
		jobs:                 map[job.ID]*jobState{},
		workers:              map[string]*worker{},
		cancelReplies:        map[int]func(Verdict){},
		interference:         interference.New(),
		sizes:                mix.New(),
		durations:            duration.New(),
		trials:               map[trial]int{},
		keptModels:           map[string]keptModel{},
		failureRate:          initialFailureRate,
		quotas:               quota.New(),
		customers:            map[string]*customer{},
		outcomes:             map[runSource]*outcomes{},
		attempts:             map[string]int{},
		batchDemands:         map[string]batchDemand{},
		relocations:          map[*taskState]relocating{},
		sweep:                1,
	}
}

// Tick runs due timers, leases and periodic work. Call it about
// every 25 ms; holds and retries are no more exact than that.
func (o *Owner) Tick() {
	if !o.beginInput() {
		return
	}
	o.countSilent()
	o.timers.runDue(o.now)
	o.checkLeases()
	if o.PendingAppendAge() > o.options.Times.StoreTimeout {
		o.refuseUnsent()
	}
	o.decideUndecided()
	o.scheduleHeartbeat()
	o.recordInterference()
	o.recordDurations()
	o.recordUnresponsive()
	o.expireRelocations()
	o.moveOffDraining()
	o.removeExpiredJobs()
	o.checkCustomers()
	o.options.Metrics.StartsUnderWay.Set(float64(o.startsUnderWay()))
	o.flush()
}

// Flush starts an append if one is due. Call it after a group of inputs.
func (o *Owner) Flush() {
	if o.beginInput() {
		o.flush()
	}
}

// SetManifest replaces the tables if their version differs.
func (o *Owner) SetManifest(tables manifest.Manifest) {
	if !o.beginInput() || tables.Version == o.tables.Version {
		return
	}
	o.options.Log.Info().Str("event", "manifest_taken").
		Int64("version", tables.Version).Int64("before", o.tables.Version).Send()
	before := o.tables
	o.tables = tables
	o.setCustomers()
	o.noteAttemptsOfJobs()
	o.completeObjectives(before)
	o.placementDue = true
}

// SetDomainsOut replaces the set of failure domains that are out of service.
func (o *Owner) SetDomainsOut(domains map[string]bool) {
	if !o.beginInput() {
		return
	}
	o.domainsOut = domains
	o.placementDue = true
}

// OwnershipFresh reports whether the store confirmed this ownership so recently
// that no later owner can have accepted a job that is unknown here.
func (o *Owner) OwnershipFresh() bool {
	return !o.resigned && o.options.Now()-o.ownershipConfirmedAt < o.options.Times.OwnershipFresh
}

// PendingAppendAge returns how long the append under way has been
// unacknowledged, or 0 without one.
func (o *Owner) PendingAppendAge() clock.Millis {
	if o.inFlight == nil {
		return 0
	}
	return o.options.Now() - o.appendSentAt
}

// beginInput sets the time of an input and reports whether to handle it: after
// the ownership is lost, no input is handled.
func (o *Owner) beginInput() bool {
	o.now = o.options.Now()
	return !o.resigned
}

// resign gives up the ownership, which cannot be regained.
func (o *Owner) resign(reason string) {
	if o.resigned {
		return
	}
	o.resigned = true
	o.options.Log.Warn().Str("event", "ownership_lost").Int64("epoch", o.options.Epoch).Str("reason", reason).
		Int64("store_age_ms", int64(o.now-o.ownershipConfirmedAt)).Int64("lease_age_ms", int64(age(o.leaseGrantedAt, o.now))).
		Int64("owned_for_ms", int64(o.now-o.claimedAt)).Send()
	o.answerCallersNotOwner()
	o.options.Effects.Resign(reason)
}
