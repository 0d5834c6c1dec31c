package linkshard

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/rs/zerolog"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// Timeouts and periods of a pool.
const (
	checkPeriod       clock.Millis = 100              // between checks of the sessions
	firstLinksTimeout clock.Millis = 400              // bounds the wait of a new owner's first holds for links
	retireTimeout     clock.Millis = 2 * clock.Second // bounds the wait for the pending orders of a retired session
	openTimeout       clock.Millis = 600              // for opening a session; scaled by clock.TimeoutFactor of the link's cores
	reopenBackoff     clock.Millis = clock.Second     // before an entry is dialed again after its session ended
	directCallPeriod  clock.Millis = 5 * clock.Second // for which this entry calls a worker that only the link failed to reach
	recheckInterval   clock.Millis = 2 * clock.Second // before this entry again calls a worker that neither it nor the link reached
	orderRetryPeriod  clock.Millis = clock.Second     // for which this entry calls a worker whose link left a start, stop or pace unanswered
)

// PoolOptions configures a Pool.
type PoolOptions struct {
	Clock      clock.Clock // must include time for which the VM was suspended
	Logger     zerolog.Logger
	Epoch      int64
	Name       string  // of this entry
	Cores      float64 // of this process; 0 if unknown
	LocalShard *Shard  // of this entry
	Metrics    *Metrics
	// Entries lists the other entries that can serve as links now.
	Entries func() []Entry
	// Dial connects to an entry and opens a session there. Received is called
	// with each batch, from one goroutine; a session ends with its context.
	Dial func(ctx context.Context, entry Entry, query OpenRequest, received func([]byte)) (Connection, error)
}

// Connection is the owner's end of a session's connection.
type Connection struct {
	OpenReply OpenReply
	Send      func(batch []byte) error
	Done      <-chan struct{} // closed when the connection ends
	Close     func()
}

// Pool sends an owner's orders to workers, through links or directly from this entry.
type Pool struct {
	options PoolOptions

	mu             sync.Mutex
	group          *errgroup.Group
	ctx            context.Context // set by Serve; nil before
	ended          bool
	workers        []Worker
	sessions       map[string]*session
	active         map[string]bool         // by entry address: a session is open or being opened
	redialAfter    map[string]clock.Millis // by entry address: earliest time of the next dial
	assigned       map[string]string       // address of a worker's link
	failures       map[string]linkFailure  // by worker id
	reassign       bool                    // the assignment of workers is out of date
	parkedHolds    []func()                // holds that wait for the first links
	holdsReleased  bool                    // holds are no longer parked; see releaseHolds
	workersKnownAt clock.Millis            // when SetWorkers was first called; 0 before
	wake           chan struct{}           // starts the next check at once
}

// linkFailure records that a worker's link did not reach it.
type linkFailure struct {
	until        clock.Millis
	callDirectly bool // this entry calls the worker; false if it did not reach the worker either
}

// NewPool returns a pool without links.
func NewPool(options PoolOptions) *Pool {
	return &Pool{
		options: options, sessions: map[string]*session{}, active: map[string]bool{},
		redialAfter: map[string]clock.Millis{}, failures: map[string]linkFailure{}, wake: make(chan struct{}, 1),
	}
}

// Dispatch returns the pool's functions for an owner. They may be used while
// Serve runs.
func (p *Pool) Dispatch() fleet.Dispatch {
	return fleet.Dispatch{
		Start: func(o fleet.Start, answer func(fleet.Answer)) { p.order(o.To.ID, order{Start: &o}, answer) },
		Stop:  func(o fleet.Stop, answer func(fleet.Answer)) { p.order(o.To.ID, order{Stop: &o}, answer) },
		Pace:  func(o fleet.Pace, answer func(fleet.Answer)) { p.order(o.To.ID, order{Pace: &o}, answer) },
		Hold:  p.hold,
	}
}

// SetWorkers sets the workers that links are assigned to.
func (p *Pool) SetWorkers(workers []Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.workersKnownAt == 0 {
		p.workersKnownAt = p.options.Clock.Now()
	}
	if slices.Equal(workers, p.workers) {
		return
	}
	p.workers = workers
	p.wakeCheck()
	p.assignWorkers()
}

// wakeCheck makes Serve check the sessions now.
func (p *Pool) wakeCheck() {
	select {
	case p.wake <- struct{}{}:
	default: // a check is pending
	}
}

// assignWorkers assigns the workers to the open links that are not retired. The
// caller holds the mutex.
func (p *Pool) assignWorkers() {
	p.reassign = false
	var links []Entry
	for _, address := range slices.Sorted(maps.Keys(p.sessions)) {
		if s := p.sessions[address]; !s.retired {
			links = append(links, s.entry)
		}
	}
	p.assigned = AssignLinks(p.workers, links)
}

// Serve opens and watches sessions until the context ends, then waits for the
// sessions and for the calls in progress from this entry.
func (p *Pool) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	group := new(errgroup.Group)
	p.mu.Lock()
	p.group, p.ctx = group, ctx
	p.mu.Unlock()
	for ctx.Err() == nil {
		p.checkSessions()
		if p.options.Clock.Pause(ctx, checkPeriod, p.wake) != nil {
			break
		}
	}
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	cancel()
	return group.Wait()
}

// spawn starts a goroutine that Serve waits for. It returns false if Serve is not
// running.
func (p *Pool) spawn(task func(ctx context.Context)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || p.ctx == nil {
		return false
	}
	ctx := p.ctx
	p.group.Go(func() error {
		task(ctx)
		return nil
	})
	return true
}

// checkSessions starts missing sessions, and retires sessions whose entries are
// leaving or no longer listed.
func (p *Pool) checkSessions() {
	entries := p.options.Entries()
	p.retireSessions(entries)
	for _, entry := range p.takeMissingLinks(entries) {
		if !p.spawn(func(ctx context.Context) { p.runSession(ctx, entry) }) {
			return
		}
	}
	p.releaseHolds()
}

// retireSessions retires the sessions of entries that are not listed, and reassigns
// workers if sessions were added or retired.
func (p *Pool) retireSessions(entries []Entry) {
	listed := lo.SliceToMap(entries, func(entry Entry) (string, bool) { return entry.Address, true })
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.sessions {
		if !s.retired && !listed[address] {
			s.retired = true
			p.reassign = true
		}
	}
	if p.reassign {
		p.assignWorkers()
	}
}

// takeMissingLinks returns the entries that should be links and have no session, and
// marks them active. It also deletes expired link failures.
func (p *Pool) takeMissingLinks(entries []Entry) []Entry {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, known := range p.failures {
		if now > known.until {
			delete(p.failures, id)
		}
	}
	if callsDirectly(len(p.workers), p.options.Cores) {
		return nil
	}
	usable := lo.Filter(entries, func(entry Entry, _ int) bool { return now >= p.redialAfter[entry.Address] })
	wanted := lo.Reject(ChooseLinks(usable, p.workers), func(entry Entry, _ int) bool { return p.active[entry.Address] })
	for _, entry := range wanted {
		p.active[entry.Address] = true
	}
	return wanted
}

// releaseHolds dispatches the parked holds once all links being opened are open, no
// link is needed, or firstLinksTimeout has passed.
func (p *Pool) releaseHolds() {
	p.mu.Lock()
	timedOut := p.workersKnownAt != 0 && p.options.Clock.Now()-p.workersKnownAt > firstLinksTimeout
	allOpen := p.workersKnownAt != 0 && len(p.active) == len(p.sessions)
	if p.holdsReleased || !allOpen && !timedOut {
		p.mu.Unlock()
		return
	}
	p.holdsReleased = true
	parkedHolds := p.parkedHolds
	p.parkedHolds = nil
	p.assignWorkers()
	p.mu.Unlock()
	for _, hold := range parkedHolds {
		hold()
	}
}

// parkHold queues a hold until the first links are open. It returns false if holds
// are no longer parked.
func (p *Pool) parkHold(hold func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holdsReleased || p.ended {
		return false
	}
	p.parkedHolds = append(p.parkedHolds, hold)
	return true
}

// Status describes one link for operators.
type Status struct {
	Address string       `json:"address"`
	Domain  string       `json:"failure_domain"`
	Cores   float64      `json:"cores"`
	Workers int          `json:"workers"`
	Open    int          `json:"open_orders"`
	Age     clock.Millis `json:"heard_ms"` // since the link last sent a batch
	Leaving bool         `json:"leaving"`  // it is assigned no workers
}

// Status lists the links, sorted by address.
func (p *Pool) Status() []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	workers := lo.CountValues(lo.Values(p.assigned))
	var statuses []Status
	for _, address := range slices.Sorted(maps.Keys(p.sessions)) {
		s := p.sessions[address]
		open, age := s.status()
		statuses = append(statuses, Status{
			Address: address, Domain: s.entry.Domain, Cores: s.entry.Cores, Workers: workers[address],
			Open: open, Age: age, Leaving: s.retired,
		})
	}
	return statuses
}
