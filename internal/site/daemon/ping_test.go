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

// A ping may be older than the ownership of its sender, and come from another process.
func TestPingOfPreviousOwnersEntryIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := &lockedBuffer{}
		run := newOwnerRuntime(t, zerolog.New(log))
		group := new(errgroup.Group)
		group.Go(func() error { return run.Serve(ctx) })
		time.Sleep(time.Second)
		d := &Daemon{clock: clock.New(), elector: ownership.New(ownership.Options{}), tables: tables.New(tables.Options{})}
		previous := "b"
		d.previousOwner.Store(&previous)
		d.localOwner.Store(run)
		d.handlePing(ctx, peer.PingQuery{Name: "b", Address: "b"})
		time.Sleep(time.Second)
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		if strings.Contains(log.text(), "previous_owner_stopped") {
			t.Error("a ping that names no ownership proves that the previous one has ended")
		}
	})
}
