package daemon

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/ownership"
	"github.com/oriolepier/oriolepier/internal/site/peer"
	"github.com/oriolepier/oriolepier/internal/site/runtime"
	"github.com/oriolepier/oriolepier/internal/site/tables"
	"github.com/oriolepier/oriolepier/internal/standin/store"
)

// lockedBuffer is a buffer that goroutines may write to.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(data)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// newOwnerRuntime returns a runtime of epoch 2 whose records have a list of
// unresponsive workers of epoch 1.
func newOwnerRuntime(t *testing.T, logger zerolog.Logger) *runtime.Runtime {
	t.Helper()
	list, err := codec.Marshal([]any{int64(1), []any{}})
	if err != nil {
		t.Fatal(err)
	}
	log := store.New().Log()
	log.Append(t.Context(), journal.Append{Topic: "cell", ExpectedEnd: -1, Records: []journal.Record{{Key: "silence", Value: list}}})
	return runtime.New(runtime.Options{
		Epoch: 2, Topic: "cell", Clock: clock.New(), Log: log, Times: owner.DefaultTimes(6000, 60*clock.Second),
		Logger: logger, Metrics: owner.NewMetrics(metrics.NewSet()),
		Tables:  func(int64) (runtime.Tables, bool) { return runtime.Tables{}, false },
		Workers: func(int64) (runtime.Workers, bool) { return runtime.Workers{}, false },
	})
}

// stoppedByPing reports whether an owner of epoch 2 takes a ping for a proof that the
// previous owner, process b1 of entry b, has stopped.
func stoppedByPing(t *testing.T, query peer.PingQuery) (stopped bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := &lockedBuffer{}
		run := newOwnerRuntime(t, zerolog.New(log))
		group := new(errgroup.Group)
		group.Go(func() error { return run.Serve(ctx) })
		time.Sleep(time.Second)
		d := &Daemon{clock: clock.New(), elector: ownership.New(ownership.Options{}), tables: tables.New(tables.Options{})}
		d.previousOwner.Store(&ownership.PreviousOwner{Name: "b", Incarnation: "b1"})
		d.localOwner.Store(run)
		d.handlePing(ctx, query)
		time.Sleep(time.Second)
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		stopped = strings.Contains(log.text(), "previous_owner_stopped")
	})
	return stopped
}

// A ping may be older than the ownership of its sender, and come from another process.
func TestPingOfPreviousOwnersEntryIsNoProof(t *testing.T) {
	queries := map[string]peer.PingQuery{
		"an older version":        {Name: "b", Address: "b"},
		"a ping of another epoch": {Name: "b", Address: "b", Incarnation: "b1", Epoch: 1},
		"another entry":           {Name: "c", Address: "c", Incarnation: "b1", Epoch: 2},
		"another process":         {Name: "b", Address: "b", Incarnation: "b2", Epoch: 2},
		"the previous owner":      {Name: "b", Address: "b", Incarnation: "b1", Epoch: 2},
	}
	got := map[string]bool{}
	for name, query := range queries {
		got[name] = stoppedByPing(t, query)
	}
	want := map[string]bool{"an older version": false, "a ping of another epoch": false, "another entry": false, "another process": false, "the previous owner": true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("taken for a proof (-want +got):\n%s", diff)
	}
}

// An entry without a proof for its tables sends no age, like one of an older version; an
// age of 0 would be taken for a proof of this moment.
func TestPingAnswerCarriesAgeOfProof(t *testing.T) {
	fake := clock.NewFake(clock.Hour)
	d := &Daemon{clock: fake.Clock(), elector: ownership.New(ownership.Options{}), tables: tables.New(tables.Options{Clock: fake.Clock()})}
	without := d.handlePing(t.Context(), peer.PingQuery{}).ProofAge
	d.tables.Confirm(tables.Proof{At: fake.Now() - 300})
	fake.Advance(50)
	age := clock.Millis(350)
	if diff := cmp.Diff([]*clock.Millis{nil, &age}, []*clock.Millis{without, d.handlePing(t.Context(), peer.PingQuery{}).ProofAge}); diff != "" {
		t.Errorf("ages without a proof and with one (-want +got):\n%s", diff)
	}
}
