package owner

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	standin "github.com/oriolepier/oriolepier/internal/standin/worker"
)

// simulation runs a cell in virtual time: a store, workers, and a succession of
// owners, with faults drawn from a seed. Its checks use only what the workers
// executed and what the store recorded.
type simulation struct {
	t          *testing.T
	rng        *rand.Rand
	now        clock.Millis
	events     timerHeap
	eventCount int
	workers    map[string]*simWorker
	sortedIDs  []string    // of the workers
	entries    []*simEntry // through which orders travel; none: owners reach the workers themselves
	tables     manifest.Manifest
	tablesOld  manifest.Manifest // tables in force before, until tablesAt+configApply
	tablesAt   clock.Millis      // when tables were confirmed
	owners     []*simOwner
	times      Times
	audit      *leaseAudit
	trace      []string

	// store
	stored    map[string]journal.Record
	claims    int64 // owners that have claimed the cell
	epoch     int64 // of the newest owner that has fenced the earlier ones
	storeDown bool
	limits    journal.Limits // of the store and of each append; zero: none, and the defaults for owners

	// other entries
	drawNewEntry  func() bool  // draws simOwner.newEntry; nil: false
	entriesSilent bool         // they do not answer an owner's queries
	falseWindow   clock.Millis // renew window that owners record instead of theirs; 0: none

	// times between steps that are one instant by default
	drawTakeover func() takeoverSteps // steps of a takeover; nil: at one instant
	drawAppend   func() appendTimes   // nil: defaultAppendTimes

	// fault injection, as probabilities
	lostAnswers       float64 // orders that are executed, but whose answer is lost
	lateOrders        float64 // orders that get no answer and are executed 2 to 12 s later
	lostAppendAnswers float64 // appends that are stored, but whose first answer is lost
	failingRuns       float64 // runs that fail
	orderLatency      clock.Millis
	drawWork          func(task job.Task) standin.Work // work of a run

	// observations
	accepted           map[job.ID]bool
	refused            map[job.ID]bool
	cancelRequested    map[job.ID]bool
	cancelled          map[job.ID]clock.Millis // when the cancellation was confirmed
	done               map[job.Task]bool       // a run of it completed
	completionRecorded map[job.Task]bool       // a worker knows that the completion of a run of it is recorded
	specs              map[job.ID]job.Spec
	faults             []string
	seenFaults         map[string]bool // faults without their time
}

// simWorker is a worker with the faults of its connection to the owner.
type simWorker struct {
	*standin.Worker
	reachable      bool // orders of the owner reach it
	losesAnswers   bool // its answers do not arrive
	down           bool
	unlisted       bool         // its entry has expired
	lastEntry      fleet.Entry  // entry as last written
	entryWrittenAt clock.Millis // when it was written
	leaseUntil     int64        // end of the longest lease that it accepted, on its clock
	tokenSeen      int64        // highest fencing token that reached it
	startedAt      clock.Millis // when its incarnation began
	drawClock      func() int64 // draws what its clock reads at the start of an incarnation
	audit          *leaseAudit
}

// restart begins a new incarnation, whose entry is written entryPeriod later.
func (m *simWorker) restart(now clock.Millis) {
	m.down = false
	m.Restart(now)
	m.StartClockAt(m.drawClock())
	m.leaseUntil, m.tokenSeen = 0, 0
	delete(m.audit.grants, m.Entry.ID)
	m.entryWrittenAt, m.startedAt = now, now
}

// simOwner is an owner process. While frozen it handles no inputs.
type simOwner struct {
	owner            *Owner
	epoch            int64
	frozen           bool // it stands still
	freezes          int  // freezes that have not ended
	effectsToPause   int  // effects until it is paused; 0: no pause is planned
	pauseLength      clock.Millis
	down             bool
	resigned         bool
	newEntry         bool                    // no earlier owner asks its entry, and no other entry has heard of its claim
	loaded           bool                    // the recorded state is loaded
	claimedAt        clock.Millis            // when it claimed the cell
	fencedAt         clock.Millis            // when the store accepted its fence; 0: not yet
	delayedInputs    []func()                // inputs that arrived while frozen or before the state was loaded
	delayedEffects   []func()                // outputs that it had not delivered when it was paused
	storeUnreachable bool                    // its appends do not reach the store
	directUntil      map[string]clock.Millis // until when it calls a worker itself, by the worker's id
}

// stopped reports whether the owner's process acts no more.
func (s *simOwner) stopped() bool { return s.down || s.resigned }

var testQueue = manifest.Queue{
	Name: "q", Host: "h", PathPrefix: "/q/", Pools: []string{"pool"}, Priority: 0, MaxFailures: 4, ObjectiveFactor: 2, ObjectiveAllowance: 500,
}

func newSimulation(t *testing.T, seed uint64, workers int) *simulation {
	t.Helper()
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 17)), now: clock.Hour, workers: map[string]*simWorker{},
		stored: map[string]journal.Record{}, accepted: map[job.ID]bool{}, refused: map[job.ID]bool{},
		cancelRequested: map[job.ID]bool{}, cancelled: map[job.ID]clock.Millis{}, done: map[job.Task]bool{}, completionRecorded: map[job.Task]bool{}, specs: map[job.ID]job.Spec{}, seenFaults: map[string]bool{},
		orderLatency: 5, times: DefaultTimes(standin.MaxLease, 120*clock.Second),
		audit: newLeaseAudit(),
	}
	sim.drawWork = sim.drawShortWork
	sim.tables = manifest.New(1, []manifest.Queue{testQueue}, []manifest.Pool{{Name: "pool", RefusesOvercommit: true}}, manifest.Limits{})
	const clockRange = 10_000_000 // a worker's clock starts below it, in ms
	clocks := rand.New(rand.NewPCG(seed, 18))
	for i := range workers {
		id := fmt.Sprintf("w%02d-%c", i, 'a'+byte(i%3))
		simulated := &simWorker{reachable: true, audit: sim.audit, Worker: standin.New(fleet.Entry{
			ID: id, Service: "pool", Address: id + ":1", Domain: "d-" + id[len(id)-1:],
			Room: fleet.Room{MilliCPU: 8000, MemoryMB: 16000}, Labels: []string{"a"},
		}, sim.now)}
		simulated.SlowClock = i%2 == 0
		simulated.drawClock = func() int64 { return clocks.Int64N(clockRange) }
		simulated.StartClockAt(simulated.drawClock())
		simulated.DrawWork = func(task job.Task) standin.Work { return sim.drawWork(task) }
		simulated.OnEnd = func(task job.Task, cause fleet.EndCause) { sim.done[task] = sim.done[task] || cause == fleet.EndDone }
		simulated.OnAcknowledged = func(task job.Task) { sim.completionRecorded[task] = true }
		sim.workers[id] = simulated
	}
	return sim
}

// drawShortWork draws a run shorter than a lease, and whether it fails.
func (sim *simulation) drawShortWork(job.Task) standin.Work {
	return sim.work(200 + clock.Millis(sim.rng.IntN(1500)))
}

// work returns the work of a run of a length, and draws whether it fails.
func (sim *simulation) work(length clock.Millis) standin.Work {
	return standin.Work{
		Length: length, Fails: sim.rng.Float64() < sim.failingRuns,
		Room: fleet.Room{MilliCPU: 1000, MemoryMB: 1000},
	}
}

// at schedules an event.
func (sim *simulation) at(delay clock.Millis, action func()) {
	sim.eventCount++
	heap.Push(&sim.events, timer{at: sim.now + delay, sequence: sim.eventCount, action: action})
}

// run advances the simulation by a length of time.
func (sim *simulation) run(length clock.Millis) {
	end := sim.now + length
	for len(sim.events) > 0 && sim.events[0].at <= end {
		due, _ := heap.Pop(&sim.events).(timer)
		sim.now = due.at
		due.action()
	}
	sim.now = end
}

// simOwner starts a new owner, which claims the cell, fences the previous owners,
// loads its state, and ticks until it is down.
func (sim *simulation) simOwner() *simOwner {
	sim.claims++
	s := &simOwner{epoch: sim.claims, claimedAt: sim.now, directUntil: map[string]clock.Millis{}}
	s.newEntry = sim.drawNewEntry != nil && sim.drawNewEntry()
	sim.owners = append(sim.owners, s)
	s.owner = New(Options{
		Epoch: s.epoch, Now: func() clock.Millis { return sim.now }, WallClock: func() int64 { return 1_700_000_000_000 + int64(sim.now) },
		Times: sim.times, Limits: sim.limits, Log: sim.logOf(s).With().Int64("epoch", s.epoch).Logger(), Metrics: NewMetrics(metrics.NewSet()),
		Effects: sim.effects(s), PreviousRenewWindow: sim.previousRenewWindow(s),
	})
	if sim.limits.RecordBytes > 0 {
		s.owner.undividedBytes = dividedAbove
	}
	sim.takeOver(s)
	return s
}

// effects are the outputs of an owner, which a pause may delay.
func (sim *simulation) effects(s *simOwner) Effects {
	return Effects{
		Append: func(records []journal.Record) { sim.emit(s, func() { sim.append(s, records) }) },
		Start: func(order fleet.Start) {
			sim.checkGrant(s, order.To, order.UntilMS, "start")
			sim.emit(s, func() { sim.deliverStart(s, order) })
		},
		Stop: func(order fleet.Stop) { sim.emit(s, func() { sim.deliverStop(s, order) }) },
		Pace: func(fleet.Pace) {},
		Hold: func(order fleet.Hold) {
			sim.checkGrant(s, order.To, order.UntilMS, "hold")
			sim.emit(s, func() { sim.deliverHold(s, order) })
		},
		Resign: func(string) { sim.emit(s, func() { s.resigned = true }) },
	}
}

// tick delivers an owner's periodic inputs.
func (sim *simulation) tick(s *simOwner) {
	if s.stopped() {
		return
	}
	if !s.frozen || sim.drawTakeover == nil { // a real ticker drops ticks that nobody takes
		sim.deliver(s, func() { sim.periodicInputs(s) })
	}
	sim.at(25, func() { sim.tick(s) })
}

func (sim *simulation) periodicInputs(s *simOwner) {
	s.owner.SetWorkers(sim.liveEntries())
	if sim.drawTakeover != nil && sim.previousOwnerStopped(s) {
		s.owner.PreviousOwnerStopped(StopReleased)
	}
	if !sim.entriesSilent && !sim.entriesKnowLaterOwner(s) {
		s.owner.NoLaterOwner(sim.now) // the other entries answer its queries
	}
	s.owner.Tick()
}

// entryPeriod is the time between writes of a worker's entry.
const entryPeriod clock.Millis = 1100

func (sim *simulation) liveEntries() []fleet.Entry {
	var entries []fleet.Entry
	for _, id := range sim.workerIDs() {
		if m := sim.workers[id]; !m.down && !m.unlisted {
			if m.entryWrittenAt == 0 || sim.now-m.entryWrittenAt >= entryPeriod {
				m.lastEntry, m.entryWrittenAt = m.Entry, sim.now
			}
			entries = append(entries, m.lastEntry)
		}
	}
	return entries
}

// workerIDs returns the ids of the workers in sorted order.
func (sim *simulation) workerIDs() []string {
	if len(sim.sortedIDs) != len(sim.workers) {
		sim.sortedIDs = slices.Sorted(maps.Keys(sim.workers))
	}
	return sim.sortedIDs
}

// deliver passes an input to an owner, or queues it while the owner is frozen or
// has not loaded its state.
func (sim *simulation) deliver(s *simOwner, input func()) {
	switch {
	case s.down:
	case s.frozen || !s.loaded:
		if len(s.delayedInputs) < 2000 {
			s.delayedInputs = append(s.delayedInputs, input)
		}
	default:
		input()
		if s.frozen { // paused within the input
			s.delayedInputs = slices.Insert(s.delayedInputs, 0, s.owner.Flush)
			return
		}
		s.owner.Flush()
	}
}

// submit submits a job to an owner and records its ruling.
func (sim *simulation) submit(s *simOwner, spec job.Spec) {
	spec.Customer = sim.drawCustomer(spec)
	sim.specs[spec.ID] = spec
	sim.deliver(s, func() {
		s.owner.Submit(spec, func(verdict Verdict) {
			switch verdict.Ruling {
			case Recorded:
				sim.accepted[spec.ID] = true
			case Refused:
				sim.refused[spec.ID] = true
			}
		})
	})
}

// cancel cancels a job at an owner and records when that was confirmed.
func (sim *simulation) cancel(s *simOwner, id job.ID) {
	sim.cancelRequested[id] = true
	sim.deliver(s, func() {
		s.owner.Cancel(JobRef{ID: id, Customer: sim.specs[id].Customer}, func(verdict Verdict) {
			if verdict.Ruling == Recorded {
				sim.cancelled[id] = sim.now
			}
		})
	})
}
