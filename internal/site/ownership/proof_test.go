package ownership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/peer"
)

// tenure is one ownership as an elector ran it.
type tenure struct {
	Epoch           int64
	Incarnation     string
	PreviousStopped bool // the elector was told that the previous owner had stopped
}

// tenures records the ownerships of electors.
type tenures struct {
	deployment *deployment
	acting     map[int64]bool // by epoch: RunOwnership has not returned
	list       []tenure
	violations []string
}

func newTenures() *tenures { return &tenures{deployment: newDeployment(), acting: map[int64]bool{}} }

// addElector returns an elector of an entry whose ownerships are recorded.
func (r *tenures) addElector(name, incarnation string, rank float64) *Elector {
	e := r.deployment.addElector(name, rank)
	e.options.Incarnation = incarnation
	e.options.RunOwnership = func(ctx context.Context, epoch int64, previous PreviousOwner) error {
		r.begin(tenure{Epoch: epoch, Incarnation: incarnation, PreviousStopped: previous.Stopped != owner.NotStopped})
		<-ctx.Done()
		r.deployment.update(func() { delete(r.acting, epoch) })
		return nil
	}
	return e
}

// begin records an ownership, and a violation if one that counts as stopped acts
// at the same time.
func (r *tenures) begin(begun tenure) {
	r.deployment.update(func() {
		r.list = append(r.list, begun)
		r.acting[begun.Epoch] = true
		for _, known := range r.list {
			if known.PreviousStopped && r.acting[known.Epoch-1] {
				r.violations = append(r.violations, fmt.Sprintf("epoch %d acts and counts as stopped in epoch %d", known.Epoch-1, known.Epoch))
			}
		}
	})
}

// run serves electors for a time in a bubble of virtual time.
func (r *tenures) run(t *testing.T, length time.Duration, electors ...*Elector) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	group := new(errgroup.Group)
	for _, e := range electors {
		group.Go(func() error { return e.Serve(ctx) })
	}
	time.Sleep(length)
	cancel()
	_ = group.Wait() // ends with the context's error
}

// delayAnswers delays the answers to an elector's appends, which the store
// executes at once.
func delayAnswers(e *Elector, delay clock.Millis) {
	inner := e.options.Log.Append
	e.options.Log.Append = func(ctx context.Context, call journal.Append) journal.Answer {
		answer := inner(ctx, call)
		if e.options.Clock.Sleep(ctx, delay) != nil {
			return journal.Answer{Outcome: journal.Unknown}
		}
		return answer
	}
}

// An entry that does not know yet that its claim succeeded will act as the owner.
func TestClaimWithoutItsAnswerDoesNotCountAsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTenures()
		slow := r.addElector("a", "a", 0)
		delayAnswers(slow, 500)
		r.run(t, 5*time.Second, slow, r.addElector("b", "b", 0.1))
		if diff := cmp.Diff([]string(nil), r.violations); diff != "" {
			t.Errorf("(-want +got):\n%s\nownerships: %+v", diff, r.list)
		}
	})
}

// A second process of an entry does not prove that the first has ended.
func TestOverlappingProcessOfEntryDoesNotCountAsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTenures()
		first := r.addElector("a", "a-1", 0)
		second := r.addElector("a", "a-2", 0.1)
		r.run(t, 5*time.Second, first, second)
		if diff := cmp.Diff([]string(nil), r.violations); diff != "" {
			t.Errorf("(-want +got):\n%s\nownerships: %+v", diff, r.list)
		}
	})
}

// Guards against a wait of 11.4 s for the leases of an owner whose process was killed and
// restarted at once: long-running tasks of workers that were lost then stood still.
func TestEndedProcessOfEntryCountsAsStopped(t *testing.T) {
	type process struct {
		boot, address string
		listens       bool
	}
	ended := process{boot: "m", address: "a", listens: true}
	for name, test := range map[string]struct {
		second process
		want   bool
	}{
		"same boot and address": {second: ended, want: true},
		"does not listen":       {second: process{boot: "m", address: "a"}},
		"other boot":            {second: process{boot: "n", address: "a", listens: true}},
		"boot unknown":          {second: process{address: "a", listens: true}},
		"other address":         {second: process{boot: "m", address: "b", listens: true}},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newTenures()
			appendRecord(t, r.deployment.store.Log(), Record{Epoch: 4, Name: "a", Address: "a", Incarnation: "a-1", Boot: "m"})
			e := r.addElector("a", "a-2", 0)
			e.options.Boot, e.options.Address = test.second.boot, test.second.address
			listening := make(chan struct{})
			e.options.Listening = listening
			if test.second.listens {
				time.AfterFunc(listenWait.Duration()/2, func() { close(listening) })
			}
			r.run(t, 2*time.Second, e)
			if diff := cmp.Diff([]tenure{{Epoch: 5, Incarnation: "a-2", PreviousStopped: test.want}}, r.list); diff != "" {
				t.Errorf("%s: ownerships (-want +got):\n%s", name, diff)
			}
		})
	}
}

// An answer from the record's address with another epoch comes from another process.
func TestAnswerWithOtherEpochIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTenures()
		appendRecord(t, r.deployment.store.Log(), Record{Epoch: 4, Name: "a", Address: "a", Incarnation: "a-2"})
		e := r.addElector("b", "b", 0)
		e.options.Ping = func(context.Context, string, peer.PingQuery) (peer.PingAnswer, error) {
			return peer.PingAnswer{Owner: true, Epoch: 3, StateLoaded: true}, nil
		}
		r.run(t, 5*time.Second, e)
		for _, known := range r.list {
			if known.PreviousStopped {
				t.Errorf("ownership of epoch %d counts epoch 4 as stopped by an answer of epoch 3", known.Epoch)
			}
		}
	})
}

func appendRecord(t *testing.T, log journal.Log, record Record) {
	t.Helper()
	data, err := codec.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	log.Append(t.Context(), journal.Append{
		Topic: "keyed.owners", ExpectedEnd: -1, Records: []journal.Record{{Key: "0", Value: data}},
	})
}

// A claim whose answer was lost is no ownership once a newer record exists.
func TestLostClaimThatWasSupersededIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTenures()
		e := r.addElector("a", "a", 0)
		log := r.deployment.store.Log()
		appends := 0
		e.options.Log.Append = func(ctx context.Context, call journal.Append) journal.Answer {
			answer := log.Append(ctx, call)
			if appends++; appends > 1 {
				return answer
			}
			appendRecord(t, log, Record{Epoch: 2, Name: "b", Address: "b", Incarnation: "b", Released: true})
			return journal.Answer{Outcome: journal.Unknown}
		}
		r.run(t, 5*time.Second, e)
		if diff := cmp.Diff([]tenure{{Epoch: 3, Incarnation: "a", PreviousStopped: true}}, r.list); diff != "" {
			t.Errorf("ownerships (-want +got):\n%s", diff)
		}
	})
}

// A claim that the store executes after its entry gave it up is never run.
func TestClaimExecutedLateIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTenures()
		e := r.addElector("a", "a", 0.9) // claims again after 135 ms
		log := r.deployment.store.Log()
		late := new(errgroup.Group)
		appends := 0
		e.options.Log.Append = func(ctx context.Context, call journal.Append) journal.Answer {
			if appends++; appends > 1 {
				return log.Append(ctx, call)
			}
			late.Go(func() error {
				time.Sleep(50 * time.Millisecond)
				log.Append(t.Context(), call)
				return nil
			})
			return journal.Answer{Outcome: journal.Unknown}
		}
		r.run(t, 5*time.Second, e)
		_ = late.Wait() // returns no error
		if diff := cmp.Diff([]tenure{{Epoch: 2, Incarnation: "a", PreviousStopped: true}}, r.list); diff != "" {
			t.Errorf("ownerships (-want +got):\n%s", diff)
		}
	})
}

// An owner asks the entries that it has answered for a later owner, so its renew window
// holds for them, and for no other.
func TestRenewWindowOfOwnerThatAsksTheEntry(t *testing.T) {
	const window clock.Millis = 1500
	got := map[string]clock.Millis{}
	for name, heard := range map[string]bool{"answered": true, "never answered": false} {
		synctest.Test(t, func(t *testing.T) {
			r := newTenures()
			first := r.addElector("a", "a", 0)
			first.options.RenewWindow = window
			second := r.addElector("b", "b", 0.1)
			inner := second.options.RunOwnership
			second.options.RunOwnership = func(ctx context.Context, epoch int64, previous PreviousOwner) error {
				got[name] = previous.RenewWindow
				return inner(ctx, epoch, previous)
			}
			r.deployment.update(func() { r.deployment.cut[[2]string{"b", "a"}] = !heard })
			time.AfterFunc(2*time.Second, func() { r.deployment.update(func() { r.deployment.hung["a"] = true }) })
			r.run(t, 6*time.Second, first, second)
		})
	}
	if diff := cmp.Diff(map[string]clock.Millis{"answered": window, "never answered": 0}, got); diff != "" {
		t.Errorf("renew window of the previous owner (-want +got):\n%s", diff)
	}
}
