package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/ownership"
	"github.com/oriolepier/oriolepier/internal/site/peer"
	"github.com/oriolepier/oriolepier/internal/site/runtime"
	"github.com/oriolepier/oriolepier/internal/standin/store"
)

// startFollower runs the peer server of an entry that follows the owner of an epoch
// until the test ends, and returns its address.
func startFollower(t *testing.T, followed int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(peer.Security{}, peer.Handlers{
		OwnerContact: func(_ context.Context, query peer.OwnerContactQuery) peer.OwnerContactAnswer {
			if query.Epoch != followed {
				return peer.OwnerContactAnswer{Age: -1}
			}
			return peer.OwnerContactAnswer{Age: 2000}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	group := new(errgroup.Group)
	group.Go(func() error { return server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait() // ends with the context's error
	})
	return listener.Addr().String()
}

// An entry that knows a later owner, or that does not answer and may be it, rules a
// refusal out. One that has announced that it leaves does not claim any more.
func TestLaterOwnerIsRuledOutByAllEntries(t *testing.T) {
	const epoch = 4
	follower, later, gone := startFollower(t, epoch), startFollower(t, epoch+1), "127.0.0.1:1"
	client := peer.NewClient(peer.Security{})
	defer client.Close()
	ruledOut := func(address string, leaving bool, passed clock.Millis) bool {
		fake := clock.NewFake(clock.Hour)
		d := &Daemon{clock: fake.Clock(), peers: client}
		d.knownEntries.recordPing(follower, false, fake.Now())
		d.knownEntries.recordPing(address, false, fake.Now())
		d.knownEntries.recordPing(address, leaving, fake.Now())
		fake.Advance(passed)
		return d.noLaterOwner(t.Context(), epoch)
	}
	got := map[string]bool{
		"all follow":          ruledOut(follower, false, 0),
		"one follows another": ruledOut(later, false, 0),
		"one is silent":       ruledOut(gone, false, entryRetention),
		"one has left":        ruledOut(gone, true, 0),
		"one is long gone":    ruledOut(gone, false, entryRetention+1),
	}
	want := map[string]bool{"all follow": true, "one follows another": false, "one is silent": false, "one has left": true, "one is long gone": true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("later owner ruled out (-want +got):\n%s", diff)
	}
}

// submitInOutage submits a job to an owner 10 s after the store has stopped answering,
// and returns the ruling and the time it took.
func submitInOutage(t *testing.T, known ...string) (ruling owner.Ruling, took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := store.New().Log()
		appendRecords := log.Append
		var silent atomic.Bool
		log.Append = func(ctx context.Context, call journal.Append) journal.Answer {
			if !silent.Load() {
				return appendRecords(ctx, call)
			}
			<-ctx.Done()
			return journal.Answer{Outcome: journal.Unknown}
		}
		tables := manifest.New(1, []manifest.Queue{{Name: "q", Pools: []string{"pool"}}}, []manifest.Pool{{Name: "pool"}}, manifest.Limits{})
		run := runtime.New(runtime.Options{
			Epoch: 2, Topic: "cell", Clock: clock.New(), Log: log, Times: owner.DefaultTimes(6000, 60*clock.Second),
			Logger: zerolog.Nop(), Metrics: owner.NewMetrics(metrics.NewSet()),
			Tables: func(seen int64) (runtime.Tables, bool) {
				return runtime.Tables{Version: 1, Manifest: tables}, seen == 0
			},
			Workers: func(int64) (runtime.Workers, bool) { return runtime.Workers{}, false },
		})
		d := &Daemon{clock: clock.New(), elector: ownership.New(ownership.Options{}), peers: peer.NewClient(peer.Security{})}
		for _, address := range known {
			d.knownEntries.recordPing(address, false, d.clock.Now())
		}
		group := new(errgroup.Group)
		group.Go(func() error { return run.Serve(ctx) })
		group.Go(func() error { return d.watchLaterOwners(ctx, run) })
		time.Sleep(5 * time.Second)
		silent.Store(true)
		time.Sleep(10 * time.Second)
		begun := time.Now()
		ruling = run.Submit(ctx, job.Spec{ID: "00000000000000aa", Queue: "q", Steps: []job.Step{{Count: 1, MilliCPU: 1}}}, 0).Ruling
		took = time.Since(begun)
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return ruling, took
}

// Callers must get a refusal soon in an outage of the store if no later owner can have
// their jobs, and none if one may.
func TestOutageOfStoreRefusesSoonWhereCertain(t *testing.T) {
	certain, took := submitInOutage(t)
	unsure, _ := submitInOutage(t, "an entry that cannot be dialed")
	if diff := cmp.Diff([]owner.Ruling{owner.Refused, owner.NotOwner}, []owner.Ruling{certain, unsure}); diff != "" || took > 300*time.Millisecond {
		t.Errorf("refused after %s; rulings if all entries answered, and if one did not (-want +got):\n%s", took, diff)
	}
}
