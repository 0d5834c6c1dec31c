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

// rig is a deployment of electors over one store, without a network.
type rig struct {
	mu       sync.Mutex
	store    *store.Store
	electors map[string]*Elector // by address
	owners   []string            // who owned, in order of epoch
	dead     map[string]bool
	hung     map[string]bool    // answers nobody
	cut      map[[2]string]bool // the first cannot reach the second
	storeAge clock.Millis       // that the first entry tells when it owns
	cores    map[string]float64 // of entries; 0: all alike
}

func newRig() *rig {
	return &rig{
		store: store.New(), electors: map[string]*Elector{}, dead: map[string]bool{}, hung: map[string]bool{},
		cut: map[[2]string]bool{}, cores: map[string]float64{},
	}
}

// add makes an elector that has not started.
func (r *rig) add(name string, rank float64) *Elector {
	e := New(Options{
		Cell: "0", Name: name, Address: name, Life: name, Topic: "keyed.owners", Clock: clock.New(),
		Log: r.store.Log(), Logger: zerolog.Nop(), Rank: rank, Cores: r.cores[name],
		Callers: func() []peer.Entry { return r.entries() },
		Ping: func(ctx context.Context, address string, _ peer.PingQuery) (peer.PingAnswer, error) {
			return r.ping(ctx, name, address)
		},
		Heard: func(ctx context.Context, address string, query peer.HeardQuery) (peer.HeardAnswer, error) {
			if _, err := r.ping(ctx, name, address); err != nil {
				return peer.HeardAnswer{}, err
			}
			var age clock.Millis
			r.set(func() { age = r.electors[address].HeardAge(query.Epoch) })
			return peer.HeardAnswer{Age: age}, nil
		},
		Answered: func(context.Context, string, peer.PingAnswer) {},
		Own: func(ctx context.Context, epoch int64, _ Former) error {
			r.mu.Lock()
			r.owners = append(r.owners, fmt.Sprintf("%d %s", epoch, name))
			r.mu.Unlock()
			<-ctx.Done()
			return nil
		},
	})
	r.set(func() { r.electors[name] = e })
	return e
}

func (r *rig) ping(ctx context.Context, from, to string) (peer.PingAnswer, error) {
	r.mu.Lock()
	dead, silent, age := r.dead[to], r.hung[to] || r.cut[[2]string{from, to}], r.storeAge
	r.mu.Unlock()
	if dead {
		return peer.PingAnswer{}, fault.New(fault.NotSent, "dial", to, nil)
	}
	if silent {
		<-ctx.Done()
		return peer.PingAnswer{}, fault.New(fault.Unknown, "ping", to, ctx.Err())
	}
	r.mu.Lock()
	e := r.electors[to]
	r.mu.Unlock()
	answer := peer.PingAnswer{Owner: e.Owning(), Epoch: e.Current().Epoch, ReadyToAct: true, Peers: r.entries()}
	if to == "a" {
		answer.StoreAge = age
	}
	return answer, nil
}

// entries lists the entries whose processes are there.
func (r *rig) entries() []peer.Entry {
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

func (r *rig) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// another stands for an owner other than the first, whichever it is.
const another = "another"

// play starts electors a, b and c, in which a comes first, lets something
// happen after three seconds, and tells who owned during the next ten.
func play(t *testing.T, happen func(r *rig)) []string {
	t.Helper()
	return playWith(t, nil, happen)
}

// playWith is play with entries of different strengths.
func playWith(t *testing.T, cores map[string]float64, happen func(r *rig)) []string {
	t.Helper()
	var owners []string
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		maps.Copy(r.cores, cores)
		ctx, cancel := context.WithCancel(t.Context())
		group := new(errgroup.Group)
		for i, name := range []string{"a", "b", "c"} {
			e := r.add(name, float64(i)/2)
			group.Go(func() error { return e.Serve(ctx) })
		}
		time.Sleep(3 * time.Second)
		happen(r)
		time.Sleep(10 * time.Second)
		cancel()
		_ = group.Wait() // the contexts' own end
		owners = r.owners
	})
	for i, who := range owners {
		if !strings.HasSuffix(who, " a") {
			owners[i] = strings.Fields(who)[0] + " " + another
		}
	}
	return owners
}

func TestOneOwnerWhileAllIsWell(t *testing.T) {
	if diff := cmp.Diff([]string{"1 a"}, play(t, func(*rig) {})); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

func TestOwnerThatNobodyHearsIsReplaced(t *testing.T) {
	got := play(t, func(r *rig) { r.set(func() { r.hung["a"] = true }) })
	if diff := cmp.Diff([]string{"1 a", "2 " + another}, got); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

func TestOwnerWhoseProcessIsGoneIsReplaced(t *testing.T) {
	got := play(t, func(r *rig) { r.set(func() { r.dead["a"] = true }) })
	if diff := cmp.Diff([]string{"1 a", "2 " + another}, got); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

// A busy process accepts connections late; only a refused one has ended.
func TestLateConnectionIsNoRefusal(t *testing.T) {
	dial := func(cause error) error { return fault.New(fault.NotSent, "dial peer", "a", cause) }
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	got := []bool{refused(dial(syscall.ECONNREFUSED)), refused(dial(timeout)), refused(dial(context.DeadlineExceeded)), refused(nil)}
	if diff := cmp.Diff([]bool{true, false, false, false}, got); diff != "" {
		t.Errorf("refused, late, out of time, answered (-want +got):\n%s", diff)
	}
}

func TestOwnerThatAnotherEntryHearsStays(t *testing.T) {
	got := play(t, func(r *rig) { r.set(func() { r.cut[[2]string{"b", "a"}] = true }) })
	if diff := cmp.Diff([]string{"1 a"}, got); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

func TestOwnerThatTheStoreDoesNotConfirmIsReplaced(t *testing.T) {
	got := play(t, func(r *rig) {
		r.set(func() { r.storeAge = storeAgeLimit + 1 })
	})
	if diff := cmp.Diff([]string{"1 a", "2 " + another}, got); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

func TestOwnerIsKeptWhileTheStoreIsDown(t *testing.T) {
	got := play(t, func(r *rig) {
		r.store.SetDown(true)
		r.set(func() { r.storeAge = storeAgeLimit + 1 })
		time.Sleep(5 * time.Second)
		r.store.SetDown(false)
		time.Sleep(storePatience.Duration() / 2) // until the owner's own append gets through
		r.set(func() { r.storeAge = 0 })
	})
	if diff := cmp.Diff([]string{"1 a"}, got); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

func TestRetiredOwnerHandsOver(t *testing.T) {
	got := play(t, func(r *rig) { r.electors["a"].Retire() })
	if diff := cmp.Diff([]string{"1 a", "2 " + another}, got); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

// Entries differ in their processors, and all decisions are made on the owner's.
func TestWeakOwnerHandsOverToAStrongEntry(t *testing.T) {
	got := playWith(t, map[string]float64{"a": 0.192, "b": 0.192, "c": 0.8}, func(*rig) {})
	if diff := cmp.Diff([]string{"1 a", "2 " + another}, got); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

func TestWeakEntryOwnsWhereNoStrongOneIsLeft(t *testing.T) {
	got := playWith(t, map[string]float64{"a": 0.8, "b": 0.192, "c": 0.192}, func(r *rig) {
		r.set(func() { r.dead["a"] = true })
	})
	if diff := cmp.Diff([]string{"1 a", "2 " + another}, got); diff != "" {
		t.Errorf("owners (-want +got):\n%s", diff)
	}
}

// A strong entry that is heard but does not claim is not waited for again and again.
func TestWeakOwnerStaysWhereTheStrongEntryCannotOwn(t *testing.T) {
	got := playWith(t, map[string]float64{"a": 0.192, "b": 0.192, "c": 0.8}, func(r *rig) {
		r.electors["c"].Retire()
	})
	if len(got) != 3 {
		t.Errorf("owners %v, want a, the strong entry, and one that stays", got)
	}
}

// A claim whose answer is lost is settled by reading, and made once.
func TestClaimWithoutAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		e := r.add("a", 0)
		log := r.store.Log()
		inner := log.Append
		lost := 0
		e.options.Log.Append = func(ctx context.Context, call journal.Append) journal.Answer {
			inner(ctx, call)
			lost++
			return journal.Answer{Outcome: journal.Unknown}
		}
		ctx, cancel := context.WithCancel(t.Context())
		group := new(errgroup.Group)
		group.Go(func() error { return e.Serve(ctx) })
		time.Sleep(2 * time.Second)
		claims := make(chan int, 1)
		r.set(func() { claims <- len(r.owners) })
		cancel()
		_ = group.Wait() // the context's own end
		if diff := cmp.Diff([]string{"1 a"}, r.owners); diff != "" || <-claims != 1 || lost != 2 {
			t.Errorf("%d appends, want a claim and its release; owners (-want +got):\n%s", lost, diff)
		}
	})
}

// Each entry asks a few others for their word on the owner, and never itself;
// all are asked by somebody.
func TestFewEntriesAreAskedForTheirWord(t *testing.T) {
	var all []peer.Entry
	for i := range 97 {
		all = append(all, peer.Entry{Address: fmt.Sprintf("e%02d", i)})
	}
	asked := map[string]int{}
	for _, own := range all {
		e := New(Options{Address: own.Address})
		e.peers.Store(&all)
		for _, other := range e.neighbours() {
			if other.Address == own.Address {
				t.Errorf("%s asks itself", own.Address)
			}
			asked[other.Address]++
		}
	}
	for _, entry := range all {
		if asked[entry.Address] != askMost {
			t.Errorf("%s is asked %d times, want %d", entry.Address, asked[entry.Address], askMost)
		}
	}
	e := New(Options{Address: "a"})
	e.peers.Store(&[]peer.Entry{{Address: "a"}, {Address: "b"}})
	if diff := cmp.Diff([]peer.Entry{{Address: "b"}}, e.neighbours()); diff != "" {
		t.Errorf("neighbours of two entries (-want +got):\n%s", diff)
	}
}
