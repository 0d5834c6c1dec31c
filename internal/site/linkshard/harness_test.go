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

// ownerAddress is the address of the owner's entry.
const ownerAddress = "owner"

// harness runs an owner's pool, links and workers without a network, in virtual
// time. Faults are keyed by entry address or worker id.
type harness struct {
	t       *testing.T
	ctx     context.Context
	group   *errgroup.Group
	pool    *Pool
	workers []Worker

	mu           sync.Mutex
	entries      []Entry
	shards       map[string]*Shard
	cancels      map[string][]context.CancelFunc // close the connections to the entry
	muted        map[string]bool                 // batches from the entry are lost, and dialing it hangs
	delayed      map[string]clock.Millis         // delay of batches to the entry
	duplicated   map[string]bool                 // batches to the entry arrive twice
	corrupted    map[string]bool                 // batches from the entry are malformed
	cutOff       map[string]bool                 // calls from the entry reach no worker
	unresponsive map[string]bool                 // the worker answers no calls
	answerDelay  map[string]clock.Millis         // delay of the worker's answers
	calls        []string                        // "entry worker kind"
	acked        []string                        // "entry worker number" of the ends that holds acknowledge
}

// runWithLinks runs a scenario with the given number of links in each of two failure
// domains and forty workers, for an owner with too few cores to call them directly.
func runWithLinks(t *testing.T, links int, scenario func(r *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &harness{
			t: t, ctx: ctx, group: new(errgroup.Group), shards: map[string]*Shard{}, cancels: map[string][]context.CancelFunc{},
			muted: map[string]bool{}, delayed: map[string]clock.Millis{}, duplicated: map[string]bool{}, corrupted: map[string]bool{},
			cutOff: map[string]bool{}, unresponsive: map[string]bool{}, answerDelay: map[string]clock.Millis{},
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
		r.resetCalls()
		scenario(r)
		cancel()
		_ = r.group.Wait() // ends with the context's error
	})
}

func (r *harness) newPool(epoch int64) *Pool {
	return NewPool(PoolOptions{
		Clock: clock.New(), Logger: zerolog.Nop(), Epoch: epoch, Name: ownerAddress, Cores: 0.1, LocalShard: r.shard(ownerAddress),
		Metrics: NewMetrics(metrics.NewSet()),
		Entries: func() []Entry {
			r.mu.Lock()
			defer r.mu.Unlock()
			return append([]Entry{}, r.entries...)
		},
		Dial: r.dial,
	})
}

// shard returns an entry's shard. Its calls are answered by answerCall.
func (r *harness) shard(address string) *Shard {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.shards[address]; known != nil {
		return known
	}
	answer := func(ctx context.Context, to fleet.Address, kind string) fleet.Answer {
		return fleet.Answer{Outcome: r.answerCall(ctx, address, to.ID, kind)}
	}
	newShard := NewShard(ShardOptions{Clock: clock.New(), Logger: zerolog.Nop(), Metrics: NewMetrics(metrics.NewSet()), Calls: fleet.Calls{
		Start: func(ctx context.Context, o fleet.Start) fleet.Answer { return answer(ctx, o.To, "start") },
		Stop:  func(ctx context.Context, o fleet.Stop) fleet.Answer { return answer(ctx, o.To, "stop") },
		Pace:  func(ctx context.Context, o fleet.Pace) fleet.Answer { return answer(ctx, o.To, "pace") },
		Hold: func(ctx context.Context, o fleet.Hold) fleet.Report {
			r.setFaults(func() { r.acked = append(r.acked, fmt.Sprint(address, " ", o.To.ID, " ", o.Acked)) })
			return fleet.Report{Outcome: r.answerCall(ctx, address, o.To.ID, "hold")}
		},
	}})
	r.shards[address] = newShard
	return newShard
}

// answerCall records a call and returns the worker's answer after 1 ms and any
// configured delay.
func (r *harness) answerCall(ctx context.Context, entry, worker, kind string) fleet.Outcome {
	r.mu.Lock()
	r.calls = append(r.calls, entry+" "+worker+" "+kind)
	unanswered, delay := r.cutOff[entry] || r.unresponsive[worker], r.answerDelay[worker]
	r.mu.Unlock()
	if unanswered {
		delay = 400
	}
	if clock.New().Sleep(ctx, delay+1) != nil || unanswered {
		return fleet.Unanswered
	}
	return fleet.Accepted
}

// dial connects a pool to an entry's shard, with the harness's faults in between.
func (r *harness) dial(ctx context.Context, entry Entry, query OpenRequest, received func([]byte)) (Connection, error) {
	r.mu.Lock()
	unreachable := r.muted[entry.Address]
	r.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return Connection{}, errors.Wrap(ctx.Err(), "dial "+entry.Address)
	}
	shard := r.shard(entry.Address)
	connected, disconnect := context.WithCancel(r.ctx)
	r.mu.Lock()
	r.cancels[entry.Address] = append(r.cancels[entry.Address], disconnect)
	r.mu.Unlock()
	in := make(chan []byte, 64)
	openings := make(chan OpenReply, 1)
	r.group.Go(func() error {
		defer disconnect()
		_ = shard.Serve(connected, query, ServerConn{ // the pool gets the end through Connection.Done
			In:   in,
			Send: func(batch []byte) error { return r.deliverToPool(connected, entry.Address, batch, received) },
			Open: func(opening OpenReply) bool { openings <- opening; return true },
		})
		return nil
	})
	return Connection{
		OpenReply: <-openings,
		Send:      func(batch []byte) error { return r.deliverToLink(connected, entry.Address, batch, in) },
		Done:      connected.Done(), Close: disconnect,
	}, nil
}

// deliverToPool passes a batch from a link to the pool.
func (r *harness) deliverToPool(ctx context.Context, address string, batch []byte, received func([]byte)) error {
	r.mu.Lock()
	muted, corrupted := r.muted[address], r.corrupted[address]
	r.mu.Unlock()
	switch {
	case muted:
	case corrupted:
		received([]byte("no batch"))
	default:
		received(batch)
	}
	return ctx.Err()
}

// deliverToLink passes a batch from the pool to a link.
func (r *harness) deliverToLink(ctx context.Context, address string, batch []byte, in chan<- []byte) error {
	r.mu.Lock()
	delay, duplicated := r.delayed[address], r.duplicated[address]
	r.mu.Unlock()
	r.group.Go(func() error {
		if clock.New().Sleep(ctx, delay) == nil { // the connection is open
			in <- batch
		}
		if duplicated {
			in <- batch
		}
		return nil
	})
	return ctx.Err()
}

// setFaults changes faults with the mutex held.
func (r *harness) setFaults(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// kill closes an entry's connections, discards its shard and removes it from the
// list of entries.
func (r *harness) kill(address string) {
	r.setFaults(func() {
		for _, end := range r.cancels[address] {
			end()
		}
		delete(r.shards, address)
		r.entries = withoutEntry(r.entries, address)
	})
}

func withoutEntry(entries []Entry, address string) []Entry {
	var remaining []Entry
	for _, entry := range entries {
		if entry.Address != address {
			remaining = append(remaining, entry)
		}
	}
	return remaining
}

// link returns the address of the entry that calls the worker: its link's or the
// owner's.
func (r *harness) link(worker string) string {
	if s := r.pool.linkSession(worker); s != nil {
		return s.entry.Address
	}
	return ownerAddress
}

// resetCalls deletes the recorded calls.
func (r *harness) resetCalls() { r.setFaults(func() { r.calls, r.acked = nil, nil }) }

// countCalls returns how often a call was recorded.
func (r *harness) countCalls(call string) int {
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

// hold sends a hold and returns the outcome and the time until the report.
func (r *harness) hold(worker string) (fleet.Outcome, clock.Millis) {
	return r.holdWith(fleet.Hold{To: fleet.Address{ID: worker}, WaitMS: 0})
}

// holdWith sends a hold and returns the outcome and how long that took.
func (r *harness) holdWith(order fleet.Hold) (fleet.Outcome, clock.Millis) {
	started := time.Now()
	reports := make(chan fleet.Report, 2)
	r.pool.Dispatch().Hold(order, func(report fleet.Report) { reports <- report })
	return (<-reports).Outcome, clock.FromDuration(time.Since(started))
}

// start orders a run and returns the outcome.
func (r *harness) start(worker string) fleet.Outcome {
	answers := make(chan fleet.Answer, 2)
	r.pool.Dispatch().Start(fleet.Start{To: fleet.Address{ID: worker}, Run: 1}, func(answer fleet.Answer) { answers <- answer })
	return (<-answers).Outcome
}
