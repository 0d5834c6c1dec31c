package access

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/internal/site/tables"
	"github.com/oriolepier/oriolepier/internal/standin/store"
)

const (
	leaseTopic  = "keyed.tables"
	leaseRevoke = 5 * clock.Second
	configApply = 3 * clock.Second

	leasePingPeriod clock.Millis = 500 // of weak entries, which is the longer one
)

// leaseEntry is an entry with faults in its reads of the store and its pings.
type leaseEntry struct {
	watcher *tables.Watcher
	guard   *Guard
	cutOff  atomic.Bool  // answers of the store are lost
	slow    atomic.Int64 // longest delay, in ms, before a request is carried out and after it
	rng     *rand.Rand   // of the goroutine that reads the store
}

func newLeaseEntry(log journal.Log, clk clock.Clock, seed uint64) *leaseEntry {
	e := &leaseEntry{rng: rand.New(rand.NewPCG(seed, 2))}
	read := log.Read
	log.Read = func(ctx context.Context, call journal.Read) journal.Page {
		e.delay(e.rng)
		page := read(ctx, call)
		e.delay(e.rng)
		if e.cutOff.Load() {
			return journal.Page{Outcome: journal.Unknown}
		}
		return page
	}
	e.watcher = tables.New(tables.Options{
		Topic: leaseTopic, Clock: clk, Log: log, Logger: zerolog.Nop(), Contact: 3000, Revoke: leaseRevoke, Decode: decodeLeaseTables,
	})
	e.guard = New(Options{
		Rules: NewRules(true, leaseRevoke, configApply), Clock: clk, Logger: zerolog.Nop(), Metrics: metrics.NewSet(),
		Manifest: func() manifest.Manifest { return e.watcher.Current().Manifest }, ProvenAt: e.watcher.ProvenAt,
	})
	return e
}

// delay waits as a slow network, or a suspended process, does.
func (e *leaseEntry) delay(rng *rand.Rand) {
	if slow := e.slow.Load(); slow > 0 {
		time.Sleep(time.Duration(rng.Int64N(slow)) * time.Millisecond)
	}
}

// decodeLeaseTables decodes a version, whose only key is that of leaseSecret.
func decodeLeaseTables(record journal.Record) (tables.Change, error) {
	version, err := strconv.ParseInt(string(record.Value), 10, 64)
	if err != nil {
		return tables.Change{}, errors.Wrap(err, "version")
	}
	next := manifest.New(version, nil, nil, manifest.Limits{}).
		WithCustomers([]manifest.Customer{{Name: "a", Keys: []manifest.Key{manifest.NewKey(leaseSecret(version))}}})
	return tables.Change{Manifest: &next}, nil
}

func leaseSecret(version int64) string { return fmt.Sprint("key-of-version-", version) }

// leaseRun applies faults to the owner's entry and another one, which pings it.
type leaseRun struct {
	t           *testing.T
	seed        uint64
	rng         *rand.Rand
	now         func() clock.Millis
	standin     *store.Store
	owner, peer *leaseEntry
	linkCut     atomic.Bool // pings are lost
	version     int64
	removedAt   map[int64]clock.Millis // by version, when the next one was confirmed
	faultyAt    clock.Millis           // newest time with a fault
	decided     map[Outcome]int
	calmCalls   int // calls long after the last fault
}

// publish confirms the next version of the tables, without the key of the last one.
func (r *leaseRun) publish() {
	record := journal.Record{Key: "config", Value: strconv.AppendInt(nil, r.version+1, 10)}
	r.standin.Log().Append(context.Background(), journal.Append{Topic: leaseTopic, ExpectedEnd: -1, Records: []journal.Record{record}})
	r.removedAt[r.version] = r.now()
	r.version++
}

// ping passes the owner's proof to the other entry, as package daemon does.
func (r *leaseRun) ping(rng *rand.Rand) {
	sent := r.now()
	r.peer.delay(rng)
	proof := r.owner.watcher.Proof()
	age := r.now() - proof.At
	r.owner.delay(rng)
	if proof.At == 0 || r.linkCut.Load() {
		return
	}
	r.peer.watcher.Confirm(tables.Proof{End: proof.End, At: sent - age})
	if proof.End > r.peer.watcher.End() && rng.IntN(20) == 0 { // its snapshot is late, or lost
		r.peer.watcher.Restore("owner", r.owner.watcher.Snapshot())
	}
}

// changeFaults sets each fault at random, or ends all of them.
func (r *leaseRun) changeFaults() {
	end := r.rng.IntN(2) == 0
	for _, e := range []*leaseEntry{r.owner, r.peer} {
		e.cutOff.Store(!end && r.rng.IntN(2) == 0)
		e.slow.Store(0)
		if !end && r.rng.IntN(2) == 0 {
			e.slow.Store(1 + r.rng.Int64N(6000))
		}
	}
	r.linkCut.Store(!end && r.rng.IntN(2) == 0)
}

func (r *leaseRun) faulty() bool {
	return r.linkCut.Load() || r.owner.cutOff.Load() || r.peer.cutOff.Load() || r.owner.slow.Load()+r.peer.slow.Load() > 0
}

// check calls both entries with the newest keys.
func (r *leaseRun) check() {
	if r.faulty() {
		r.faultyAt = r.now()
	}
	const settle = 8 * clock.Second // until the last delayed call before the end of the faults has ended
	calm := r.now()-r.faultyAt > settle && r.now()-r.removedAt[r.version-1] > configApply
	for name, e := range map[string]*leaseEntry{"owner": r.owner, "other entry": r.peer} {
		for version := max(r.version-3, 1); version <= r.version; version++ {
			header := http.Header{"Authorization": {"Bearer " + leaseSecret(version)}}
			outcome := e.guard.Check(e.guard.View(r.now()), keyed, header).Outcome
			r.decided[outcome]++
			if calm {
				r.calmCalls++
			}
			removed, gone := r.removedAt[version]
			switch {
			case outcome == Allowed && gone && r.now()-removed > leaseRevoke:
				r.t.Fatalf("seed %d: the %s accepts a key %d ms after its removal", r.seed, name, r.now()-removed)
			case version == r.version && outcome != Allowed && calm:
				r.t.Fatalf("seed %d: the %s answers %v to the newest key %d ms after the last fault", r.seed, name, outcome, r.now()-r.faultyAt)
			}
		}
	}
}

// runLease runs test on two entries that follow the store, the second also by pings.
func runLease(t *testing.T, seed uint64, test func(r *leaseRun)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		clk, standin := clock.New(), store.New()
		r := &leaseRun{
			t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), now: clk.Now, standin: standin, decided: map[Outcome]int{}, removedAt: map[int64]clock.Millis{},
			owner: newLeaseEntry(standin.Log(), clk, seed), peer: newLeaseEntry(standin.Log(), clk, seed+1000),
		}
		r.publish()
		ctx, cancel := context.WithCancel(t.Context())
		group := new(errgroup.Group)
		defer func() {
			cancel()
			_ = group.Wait() // ends with the context's error
		}()
		group.Go(func() error { return r.owner.watcher.Serve(ctx) })
		group.Go(func() error { return r.peer.watcher.Serve(ctx) })
		group.Go(func() error {
			rng := rand.New(rand.NewPCG(seed, 3))
			for clk.Sleep(ctx, leasePingPeriod) == nil {
				r.ping(rng)
			}
			return nil
		})
		test(r)
	})
}

// No entry accepts a key later than the bound after its removal, whatever is cut off,
// delayed or suspended, and without faults each accepts the key in force.
func TestLeaseUnderFaults(t *testing.T) {
	decided, calmCalls := map[Outcome]int{}, 0
	for seed := range uint64(20) {
		runLease(t, seed, func(r *leaseRun) {
			for step := range 120 * 20 { // of 50 ms
				if step%60 == 59 {
					r.changeFaults()
				}
				if r.rng.IntN(80) == 0 {
					r.publish()
				}
				time.Sleep(50 * time.Millisecond)
				synctest.Wait()
				r.check()
			}
			calmCalls += r.calmCalls
			for outcome, count := range r.decided {
				decided[outcome] += count
			}
		})
	}
	if calmCalls < 1000 {
		t.Errorf("%d calls without faults, too few for the test to show anything", calmCalls)
	}
	for _, outcome := range []Outcome{Allowed, Unauthorized, Stale} {
		if decided[outcome] < 1000 {
			t.Errorf("%d calls were decided as %v, too few for the test to show anything: %v", decided[outcome], outcome, decided)
		}
	}
}

// Entries that lose all contact at once serve calls for most of the bound, and refuse
// them before its end.
func TestLeaseAfterContact(t *testing.T) {
	for phase := range 25 {
		runLease(t, uint64(phase), func(r *leaseRun) {
			for _, e := range []*leaseEntry{r.owner, r.peer} {
				e.slow.Store(50)
			}
			time.Sleep(5*time.Second + time.Duration(phase)*40*time.Millisecond)
			r.owner.cutOff.Store(true)
			r.peer.cutOff.Store(true)
			r.linkCut.Store(true)
			header := http.Header{"Authorization": {"Bearer " + leaseSecret(r.version)}}
			for cut := r.now(); r.now()-cut <= leaseRevoke; time.Sleep(50 * time.Millisecond) {
				for name, e := range map[string]*leaseEntry{"owner": r.owner, "other entry": r.peer} {
					outcome, after := e.guard.Check(e.guard.View(r.now()), keyed, header).Outcome, r.now()-cut
					if outcome != Allowed && after <= leaseRevoke*6/10 || outcome != Stale && after >= leaseRevoke*9/10+100 {
						t.Fatalf("phase %d: the %s answers %v %d ms after the last contact", phase, name, outcome, after)
					}
				}
			}
		})
	}
}
