package linkshard

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// ownAddress is the address of the owner's entry in a rig.
const ownAddress = "owner"

// rig is an owner's pool, links and workers without a network, in virtual time.
type rig struct {
	t       *testing.T
	ctx     context.Context
	group   *errgroup.Group
	pool    *Pool
	workers []Worker

	mu       sync.Mutex
	entries  []Entry
	shards   map[string]*Shard
	ends     map[string][]context.CancelFunc // of the connections to an entry
	mute     map[string]bool                 // nothing that the entry sends arrives
	frozen   map[string]clock.Millis         // batches reach the entry so much later
	twice    map[string]bool                 // batches arrive twice
	garbage  map[string]bool                 // what the entry sends is damaged
	unlinked map[string]bool                 // the entry reaches no worker
	silent   map[string]bool                 // the worker answers nobody
	slow     map[string]clock.Millis         // the worker answers an order after so long
	calls    []string                        // "entry worker kind"
}

// play runs a story with so many links in each of two failure domains and forty
// workers, for an owner that is too weak to call them itself.
func play(t *testing.T, links int, story func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &rig{
			t: t, ctx: ctx, group: new(errgroup.Group), shards: map[string]*Shard{}, ends: map[string][]context.CancelFunc{},
			mute: map[string]bool{}, frozen: map[string]clock.Millis{}, twice: map[string]bool{}, garbage: map[string]bool{},
			unlinked: map[string]bool{}, silent: map[string]bool{}, slow: map[string]clock.Millis{},
		}
		for _, domain := range []string{"a", "b"} {
			for i := range links {
				r.entries = append(r.entries, Entry{Address: fmt.Sprintf("%s%d", domain, i), Domain: domain, Cores: 0.8})
			}
		}
		for i := range 40 {
			r.workers = append(r.workers, Worker{ID: fmt.Sprintf("w%02d", i), Domain: string('a' + byte(i%2))})
		}
		r.pool = r.newPool(1)
		r.group.Go(func() error { return r.pool.Serve(ctx) })
		r.pool.SetWorkers(r.workers)
		time.Sleep(500 * time.Millisecond)
		r.forget()
		story(r)
		cancel()
		_ = r.group.Wait() // the context's own end
	})
}

func (r *rig) newPool(epoch int64) *Pool {
	return NewPool(PoolOptions{
		Clock: clock.New(), Logger: zerolog.Nop(), Epoch: epoch, Name: ownAddress, Cores: 0.1, Own: r.shard(ownAddress),
		Counts: NewCounts(metrics.NewSet()),
		Entries: func() []Entry {
			r.mu.Lock()
			defer r.mu.Unlock()
			return append([]Entry{}, r.entries...)
		},
		Dial: r.dial,
	})
}

// shard returns an entry's shard, whose calls the rig answers.
func (r *rig) shard(address string) *Shard {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.shards[address]; known != nil {
		return known
	}
	answer := func(ctx context.Context, to fleet.Address, kind string) fleet.Answer {
		return fleet.Answer{Outcome: r.call(ctx, address, to.ID, kind)}
	}
	made := NewShard(ShardOptions{Clock: clock.New(), Logger: zerolog.Nop(), Counts: NewCounts(metrics.NewSet()), Calls: fleet.Calls{
		Start: func(ctx context.Context, o fleet.Start) fleet.Answer { return answer(ctx, o.To, "start") },
		Stop:  func(ctx context.Context, o fleet.Stop) fleet.Answer { return answer(ctx, o.To, "stop") },
		Pace:  func(ctx context.Context, o fleet.Pace) fleet.Answer { return answer(ctx, o.To, "pace") },
		Hold: func(ctx context.Context, o fleet.Hold) fleet.Report {
			return fleet.Report{Outcome: r.call(ctx, address, o.To.ID, "hold")}
		},
	}})
	r.shards[address] = made
	return made
}

// call is a worker's answer to an entry, 1 ms later.
func (r *rig) call(ctx context.Context, entry, worker, kind string) fleet.Outcome {
	r.mu.Lock()
	r.calls = append(r.calls, entry+" "+worker+" "+kind)
	unreached, length := r.unlinked[entry] || r.silent[worker], r.slow[worker]
	r.mu.Unlock()
	if unreached {
		length = 400
	}
	if clock.New().Sleep(ctx, length+1) != nil || unreached {
		return fleet.Unanswered
	}
	return fleet.Accepted
}

// dial connects a pool to an entry's shard, with the rig's faults between them.
func (r *rig) dial(ctx context.Context, entry Entry, query Query, received func([]byte)) (Connection, error) {
	r.mu.Lock()
	broken := r.mute[entry.Address]
	r.mu.Unlock()
	if broken {
		<-ctx.Done()
		return Connection{}, errors.Wrap(ctx.Err(), "dial "+entry.Address)
	}
	shard := r.shard(entry.Address)
	living, end := context.WithCancel(r.ctx)
	r.mu.Lock()
	r.ends[entry.Address] = append(r.ends[entry.Address], end)
	r.mu.Unlock()
	in := make(chan []byte, 64)
	openings := make(chan Opening, 1)
	r.group.Go(func() error {
		defer end()
		_ = shard.Serve(living, query, Line{ // the pool sees that the connection ends
			In:   in,
			Send: func(batch []byte) error { return r.arrive(living, entry.Address, batch, received) },
			Open: func(opening Opening) bool { openings <- opening; return true },
		})
		return nil
	})
	return Connection{
		Opening: <-openings,
		Send:    func(batch []byte) error { return r.deliver(living, entry.Address, batch, in) },
		Done:    living.Done(), Close: end,
	}, nil
}

// arrive hands a link's batch to the pool.
func (r *rig) arrive(ctx context.Context, address string, batch []byte, received func([]byte)) error {
	r.mu.Lock()
	mute, garbage := r.mute[address], r.garbage[address]
	r.mu.Unlock()
	switch {
	case mute:
	case garbage:
		received([]byte("no batch"))
	default:
		received(batch)
	}
	return ctx.Err()
}

// deliver hands the pool's batch to a link.
func (r *rig) deliver(ctx context.Context, address string, batch []byte, in chan<- []byte) error {
	r.mu.Lock()
	late, twice := r.frozen[address], r.twice[address]
	r.mu.Unlock()
	r.group.Go(func() error {
		if clock.New().Sleep(ctx, late) == nil { // else the connection has ended
			in <- batch
		}
		if twice {
			in <- batch
		}
		return nil
	})
	return ctx.Err()
}

// set changes the rig's faults.
func (r *rig) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// kill ends an entry's process.
func (r *rig) kill(address string) {
	r.set(func() {
		for _, end := range r.ends[address] {
			end()
		}
		delete(r.shards, address)
		r.entries = removed(r.entries, address)
	})
}

func removed(entries []Entry, address string) []Entry {
	var kept []Entry
	for _, entry := range entries {
		if entry.Address != address {
			kept = append(kept, entry)
		}
	}
	return kept
}

// link returns the address that a worker's calls come from.
func (r *rig) link(worker string) string {
	if s := r.pool.route(worker); s != nil {
		return s.entry.Address
	}
	return ownAddress
}

// forget drops the calls seen so far.
func (r *rig) forget() { r.set(func() { r.calls = nil }) }

// seen counts the calls that match.
func (r *rig) seen(call string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, known := range r.calls {
		if known == call {
			count++
		}
	}
	return count
}

// hold asks for a report and tells its outcome and how long it took.
func (r *rig) hold(worker string) (fleet.Outcome, clock.Millis) {
	started := time.Now()
	reports := make(chan fleet.Report, 2)
	r.pool.Dispatch().Hold(fleet.Hold{To: fleet.Address{ID: worker}, WaitMS: 0}, func(report fleet.Report) { reports <- report })
	return (<-reports).Outcome, clock.Of(time.Since(started))
}

// start orders a run and tells the outcome.
func (r *rig) start(worker string) fleet.Outcome {
	answers := make(chan fleet.Answer, 2)
	r.pool.Dispatch().Start(fleet.Start{To: fleet.Address{ID: worker}, Run: 1}, func(answer fleet.Answer) { answers <- answer })
	return (<-answers).Outcome
}
