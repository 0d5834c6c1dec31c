package ownership

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/site/peer"
	"github.com/oriolepier/oriolepier/internal/standin/store"
)

// deployment is a set of electors that share one store, without a network.
type deployment struct {
	mu       sync.Mutex
	store    *store.Store
	electors map[string]*Elector // by address
	owners   []string            // "EPOCH NAME" of each ownership, by epoch
	dead     map[string]bool     // refuses connections
	hung     map[string]bool     // accepts connections, but does not answer
	cut      map[[2]string]bool  // calls from the first to the second entry time out
	storeAge clock.Millis        // reported by entry a in its ping answers
	cores    map[string]float64  // by entry name; 0: all alike
}

func newDeployment() *deployment {
	return &deployment{
		store: store.New(), electors: map[string]*Elector{}, dead: map[string]bool{}, hung: map[string]bool{},
		cut: map[[2]string]bool{}, cores: map[string]float64{},
	}
}

// addElector returns a new elector that is not started yet.
func (r *deployment) addElector(name string, rank float64) *Elector {
	e := New(Options{
		Cell: "0", Name: name, Address: name, Incarnation: name, Topic: "keyed.owners", Clock: clock.New(),
		Log: r.store.Log(), Logger: zerolog.Nop(), Rank: rank, Cores: r.cores[name],
		RecentPeers: func() []peer.Entry { return r.entries() },
		Ping: func(ctx context.Context, address string, _ peer.PingQuery) (peer.PingAnswer, error) {
			return r.ping(ctx, name, address)
		},
		OwnerContact: func(ctx context.Context, address string, query peer.OwnerContactQuery) (peer.OwnerContactAnswer, error) {
			if _, err := r.ping(ctx, name, address); err != nil {
				return peer.OwnerContactAnswer{}, err
			}
			var age clock.Millis
			r.update(func() { age = r.electors[address].OwnerContactAge(query.Epoch) })
			return peer.OwnerContactAnswer{Age: age}, nil
		},
		OnOwnerAnswer: func(context.Context, string, peer.PingAnswer) {},
		RunOwnership: func(ctx context.Context, epoch int64, _ PreviousOwner) error {
			r.mu.Lock()
			r.owners = append(r.owners, fmt.Sprintf("%d %s", epoch, name))
			r.mu.Unlock()
			<-ctx.Done()
			return nil
		},
	})
	r.update(func() { r.electors[name] = e })
	return e
}

func (r *deployment) ping(ctx context.Context, from, to string) (peer.PingAnswer, error) {
	r.mu.Lock()
	dead, unresponsive, age := r.dead[to], r.hung[to] || r.cut[[2]string{from, to}], r.storeAge
	r.mu.Unlock()
	if dead {
		return peer.PingAnswer{}, fault.New(fault.NotSent, "dial", to, nil)
	}
	if unresponsive {
		<-ctx.Done()
		return peer.PingAnswer{}, fault.New(fault.Unknown, "ping", to, ctx.Err())
	}
	r.mu.Lock()
	e := r.electors[to]
	r.mu.Unlock()
	answer := peer.PingAnswer{Owner: e.ClaimedEpoch() != 0, Epoch: max(e.ClaimedEpoch(), e.Current().Epoch), StateLoaded: true, Peers: r.entries()}
	if to == "a" {
		answer.StoreAge = age
	}
	return answer, nil
}

// entries lists the entries whose processes have not ended.
func (r *deployment) entries() []peer.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var entries []peer.Entry
	for _, name := range slices.Sorted(maps.Keys(r.electors)) {
		if !r.dead[name] {
			entries = append(entries, peer.Entry{Address: name, Cores: r.cores[name]})
		}
	}
	return entries
}

func (r *deployment) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// otherEntry replaces the name of any owner other than a.
const otherEntry = "another"

// ownersAfter starts electors a, b and c, of which a claims first. It injects a
// fault after three seconds and returns the owners until ten seconds later.
func ownersAfter(t *testing.T, inject func(r *deployment)) []string {
	t.Helper()
	return ownersAfterWithCores(t, nil, inject)
}

// ownersAfterWithCores is ownersAfter with cores set for each entry.
func ownersAfterWithCores(t *testing.T, cores map[string]float64, inject func(r *deployment)) []string {
	t.Helper()
	var owners []string
	synctest.Test(t, func(t *testing.T) {
		r := newDeployment()
		maps.Copy(r.cores, cores)
		ctx, cancel := context.WithCancel(t.Context())
		group := new(errgroup.Group)
		for i, name := range []string{"a", "b", "c"} {
			e := r.addElector(name, float64(i)/2)
			group.Go(func() error { return e.Serve(ctx) })
		}
		time.Sleep(3 * time.Second)
		inject(r)
		time.Sleep(10 * time.Second)
		cancel()
		_ = group.Wait() // the contexts' own end
		owners = r.owners
	})
	for i, who := range owners {
		if !strings.HasSuffix(who, " a") {
			owners[i] = strings.Fields(who)[0] + " " + otherEntry
		}
	}
	return owners
}

func TestElectsOneOwnerWithoutFaults(t *testing.T) {
	if diff := cmp.Diff([]string{"1 a"}, ownersAfter(t, func(*deployment) {})); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

func TestReplacesUnresponsiveOwner(t *testing.T) {
	got := ownersAfter(t, func(r *deployment) { r.update(func() { r.hung["a"] = true }) })
	if diff := cmp.Diff([]string{"1 a", "2 " + otherEntry}, got); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

func TestReplacesOwnerThatRefusesConnections(t *testing.T) {
	got := ownersAfter(t, func(r *deployment) { r.update(func() { r.dead["a"] = true }) })
	if diff := cmp.Diff([]string{"1 a", "2 " + otherEntry}, got); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

// A busy process may accept connections too late; only a refused connection
// shows that the process has ended.
func TestConnectionTimeoutIsNotRefusal(t *testing.T) {
	dial := func(cause error) error { return fault.New(fault.NotSent, "dial peer", "a", cause) }
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	got := []bool{connectionRefused(dial(syscall.ECONNREFUSED)), connectionRefused(dial(timeout)), connectionRefused(dial(context.DeadlineExceeded)), connectionRefused(nil)}
	if diff := cmp.Diff([]bool{true, false, false, false}, got); diff != "" {
		t.Errorf("refused, late, out of time, answered (-want +got):\n%s", diff)
	}
}

func TestKeepsOwnerReachableByAnotherEntry(t *testing.T) {
	got := ownersAfter(t, func(r *deployment) { r.update(func() { r.cut[[2]string{"b", "a"}] = true }) })
	if diff := cmp.Diff([]string{"1 a"}, got); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

func TestReplacesOwnerCutOffFromStore(t *testing.T) {
	got := ownersAfter(t, func(r *deployment) {
		r.update(func() { r.storeAge = storeAgeLimit + 1 })
	})
	if diff := cmp.Diff([]string{"1 a", "2 " + otherEntry}, got); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

func TestKeepsOwnerWhileStoreIsDown(t *testing.T) {
	got := ownersAfter(t, func(r *deployment) {
		r.store.SetDown(true)
		r.update(func() { r.storeAge = storeAgeLimit + 1 })
		time.Sleep(5 * time.Second)
		r.store.SetDown(false)
		time.Sleep(storelessLimit.Duration() / 2) // until the owner's own append gets through
		r.update(func() { r.storeAge = 0 })
	})
	if diff := cmp.Diff([]string{"1 a"}, got); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

func TestRetireHandsOver(t *testing.T) {
	got := ownersAfter(t, func(r *deployment) { r.electors["a"].Retire() })
	if diff := cmp.Diff([]string{"1 a", "2 " + otherEntry}, got); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

// The owner makes all scheduling decisions on its own processor, so an owner
// with few cores must hand over to an entry with many.
func TestWeakOwnerHandsOverToStrongEntry(t *testing.T) {
	got := ownersAfterWithCores(t, map[string]float64{"a": 0.192, "b": 0.192, "c": 0.8}, func(*deployment) {})
	if diff := cmp.Diff([]string{"1 a", "2 " + otherEntry}, got); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

func TestWeakEntryClaimsWithoutStrongEntry(t *testing.T) {
	got := ownersAfterWithCores(t, map[string]float64{"a": 0.8, "b": 0.192, "c": 0.192}, func(r *deployment) {
		r.update(func() { r.dead["a"] = true })
	})
	if diff := cmp.Diff([]string{"1 a", "2 " + otherEntry}, got); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

// Guards against repeated handovers to a strong entry that answers but does not
// claim.
func TestWeakOwnerStaysWhenStrongEntryDoesNotClaim(t *testing.T) {
	got := ownersAfterWithCores(t, map[string]float64{"a": 0.192, "b": 0.192, "c": 0.8}, func(r *deployment) {
		r.electors["c"].Retire()
	})
	if len(got) != 3 {
		t.Errorf("owners %v, want a, then the strong entry, then an owner that stays", got)
	}
}

// When the answer to a claim is lost, a read of the topic shows that it
// succeeded, and the claim is not repeated.
func TestClaimWithLostAnswerIsMadeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newDeployment()
		e := r.addElector("a", 0)
		log := r.store.Log()
		inner := log.Append
		appends := 0
		e.options.Log.Append = func(ctx context.Context, call journal.Append) journal.Answer {
			inner(ctx, call)
			appends++
			return journal.Answer{Outcome: journal.Unknown}
		}
		ctx, cancel := context.WithCancel(t.Context())
		group := new(errgroup.Group)
		group.Go(func() error { return e.Serve(ctx) })
		time.Sleep(2 * time.Second)
		claims := make(chan int, 1)
		r.update(func() { claims <- len(r.owners) })
		cancel()
		_ = group.Wait() // ends with the context's error
		if diff := cmp.Diff([]string{"1 a"}, r.owners); diff != "" || <-claims != 1 || appends != 2 {
			t.Errorf("%d appends, want a claim and its release; owners (-want +got):\n%s", appends, diff)
		}
	})
}

// Each entry queries a few others about the owner, and never itself, and each
// entry receives the same number of queries.
func TestNeighboursSpreadQueriesEvenly(t *testing.T) {
	var all []peer.Entry
	for i := range 97 {
		all = append(all, peer.Entry{Address: fmt.Sprintf("e%02d", i)})
	}
	queries := map[string]int{}
	for _, self := range all {
		e := New(Options{Address: self.Address})
		e.peers.Store(&all)
		for _, other := range e.neighbours() {
			if other.Address == self.Address {
				t.Errorf("%s queries itself", self.Address)
			}
			queries[other.Address]++
		}
	}
	for _, entry := range all {
		if queries[entry.Address] != maxHeardQueries {
			t.Errorf("%s receives %d queries, want %d", entry.Address, queries[entry.Address], maxHeardQueries)
		}
	}
	e := New(Options{Address: "a"})
	e.peers.Store(&[]peer.Entry{{Address: "a"}, {Address: "b"}})
	if diff := cmp.Diff([]peer.Entry{{Address: "b"}}, e.neighbours()); diff != "" {
		t.Errorf("neighbours of two entries (-want +got):\n%s", diff)
	}
}
