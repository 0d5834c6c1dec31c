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

// Times of a pool.
const (
	keepPeriod  clock.Millis = 100              // between looks at the sessions
	settleLimit clock.Millis = 400              // a new owner's first holds wait so long for links
	retireLimit clock.Millis = 2 * clock.Second // a retired link has so long for what is under way
	openTimeout clock.Millis = 600              // of opening a session
	openAgain   clock.Millis = clock.Second     // after a session that failed
	ownSpan     clock.Millis = 5 * clock.Second // this entry calls a worker that its link does not reach
	checkSpan   clock.Millis = 2 * clock.Second // a worker that this entry did not reach either is not tried again
	startSpan   clock.Millis = clock.Second     // this entry calls a worker whose link left a start unanswered
)

// PoolOptions are what a pool works with.
type PoolOptions struct {
	Clock  clock.Clock // must also count suspended time
	Logger zerolog.Logger
	Epoch  int64
	Name   string  // of this entry
	Cores  float64 // of this process; 0: not known
	Own    *Shard  // of this entry
	Counts *Counts
	// Entries lists the other entries that could be links now.
	Entries func() []Entry
	// Dial connects to an entry and opens a session there. Received is called
	// with each batch, from one goroutine; a session ends with its context.
	Dial func(ctx context.Context, entry Entry, query Query, received func([]byte)) (Connection, error)
}

// Connection is an open session's way to the link.
type Connection struct {
	Opening Opening
	Send    func(batch []byte) error
	Done    <-chan struct{} // closed when the connection has ended
	Close   func()
}

// Pool carries an owner's orders to workers.
type Pool struct {
	options PoolOptions

	mu       sync.Mutex
	group    *errgroup.Group
	ctx      context.Context // of Serve; nil before
	ended    bool
	workers  []Worker
	sessions map[string]*session
	opening  map[string]bool
	restless map[string]clock.Millis // until when an entry is not dialled again
	assigned map[string]string       // address of a worker's link
	doubts   map[string]doubt        // of workers, by id
	changed  bool                    // the assignment is to be made anew
	parked   []func()                // holds that wait until the first links are open
	settled  bool                    // they are, or there will be none
	since    clock.Millis            // when the first workers were known; 0: not yet
	wake     chan struct{}           // ends a pause between two looks
}

// doubt notes that a worker's link did not reach it.
type doubt struct {
	until clock.Millis
	own   bool // this entry reaches it, or may
}

// NewPool returns a pool without links.
func NewPool(options PoolOptions) *Pool {
	return &Pool{
		options: options, sessions: map[string]*session{}, opening: map[string]bool{},
		restless: map[string]clock.Millis{}, doubts: map[string]doubt{}, wake: make(chan struct{}, 1),
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

// SetWorkers tells which workers need links.
func (p *Pool) SetWorkers(workers []Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.since == 0 {
		p.since = p.options.Clock.Now()
	}
	if slices.Equal(workers, p.workers) {
		return
	}
	p.workers = workers
	p.look()
	p.assign()
}

// look makes the next look at the sessions happen now.
func (p *Pool) look() {
	select {
	case p.wake <- struct{}{}:
	default: // it is planned already
	}
}

// assign gives the workers to the links that are open and stay. Lock held.
func (p *Pool) assign() {
	p.changed = false
	var links []Entry
	for _, address := range slices.Sorted(maps.Keys(p.sessions)) {
		if s := p.sessions[address]; !s.retired {
			links = append(links, s.entry)
		}
	}
	p.assigned = Assign(p.workers, links)
}

// Serve opens and watches sessions until the context ends, and waits for the
// calls that this entry makes.
func (p *Pool) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	group := new(errgroup.Group)
	p.mu.Lock()
	p.group, p.ctx = group, ctx
	p.mu.Unlock()
	for ctx.Err() == nil {
		p.keep()
		if p.options.Clock.Pause(ctx, keepPeriod, p.wake) != nil {
			break
		}
	}
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	cancel()
	return group.Wait()
}

// spawn starts a goroutine of the pool, unless the pool has ended.
func (p *Pool) spawn(act func(ctx context.Context)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || p.ctx == nil {
		return false
	}
	ctx := p.ctx
	p.group.Go(func() error {
		act(ctx)
		return nil
	})
	return true
}

// keep opens the sessions that are wanted and missing, and retires those whose
// entries are not heard any more or are leaving.
func (p *Pool) keep() {
	entries := p.options.Entries()
	p.retire(entries)
	for _, entry := range p.missing(entries) {
		if !p.spawn(func(ctx context.Context) { p.run(ctx, entry) }) {
			return
		}
	}
	p.settle()
}

func (p *Pool) retire(entries []Entry) {
	heard := lo.SliceToMap(entries, func(entry Entry) (string, bool) { return entry.Address, true })
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.sessions {
		if !s.retired && !heard[address] {
			s.retired = true
			p.changed = true
		}
	}
	if p.changed {
		p.assign()
	}
}

// missing returns the entries that should be links and have no session, and
// notes them as being opened.
func (p *Pool) missing(entries []Entry) []Entry {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, known := range p.doubts {
		if now > known.until {
			delete(p.doubts, id)
		}
	}
	if direct(len(p.workers), p.options.Cores) {
		return nil
	}
	usable := lo.Filter(entries, func(entry Entry, _ int) bool { return now >= p.restless[entry.Address] })
	wanted := lo.Reject(Choose(usable, p.workers), func(entry Entry, _ int) bool { return p.opening[entry.Address] })
	for _, entry := range wanted {
		p.opening[entry.Address] = true
	}
	return wanted
}

// settle lets the parked holds go once the first links are open.
func (p *Pool) settle() {
	p.mu.Lock()
	late := p.since != 0 && p.options.Clock.Now()-p.since > settleLimit
	open := p.since != 0 && len(p.opening) == len(p.sessions)
	if p.settled || !open && !late {
		p.mu.Unlock()
		return
	}
	p.settled = true
	parked := p.parked
	p.parked = nil
	p.assign()
	p.mu.Unlock()
	for _, act := range parked {
		act()
	}
}

// park keeps an act until the first links are open. It reports false when they are.
func (p *Pool) park(act func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.settled || p.ended {
		return false
	}
	p.parked = append(p.parked, act)
	return true
}

// Status is what an owner knows of a link, for operators.
type Status struct {
	Address string       `json:"address"`
	Domain  string       `json:"failure_domain"`
	Cores   float64      `json:"cores"`
	Workers int          `json:"workers"`
	Open    int          `json:"open_orders"`
	Age     clock.Millis `json:"heard_ms"` // since the link last sent something
	Leaving bool         `json:"leaving"`  // it gets no new orders
}

// Status lists the links in order of address.
func (p *Pool) Status() []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	workers := lo.CountValues(lo.Values(p.assigned))
	var all []Status
	for _, address := range slices.Sorted(maps.Keys(p.sessions)) {
		s := p.sessions[address]
		open, age := s.state()
		all = append(all, Status{
			Address: address, Domain: s.entry.Domain, Cores: s.entry.Cores, Workers: workers[address],
			Open: open, Age: age, Leaving: s.retired,
		})
	}
	return all
}
