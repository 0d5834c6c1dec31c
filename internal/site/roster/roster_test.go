package roster

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/standin/store"
)

const topic = "keyed.workers"

func TestServeFollowsTopic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standin := store.New()
		appendRecord := func(id, value string) {
			record := journal.Record{Key: id}
			if value != "" {
				record.Value = []byte(value)
			}
			standin.Log().Append(t.Context(), journal.Append{Topic: topic, ExpectedEnd: -1, Records: []journal.Record{record}})
		}
		watcher := New(Options{
			Topic: topic, Clock: clock.New(), Log: standin.Log(), Logger: zerolog.Nop(),
			Decode: func(id string, data []byte) (fleet.Entry, error) {
				if string(data) == "unreadable" {
					return fleet.Entry{}, errors.New("unreadable")
				}
				return fleet.Entry{ID: id, Draining: string(data) == "draining"}, nil
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		group := new(errgroup.Group)
		group.Go(func() error { return watcher.Serve(ctx) })
		expect := func(what string, want ...string) {
			t.Helper()
			time.Sleep(time.Second) // half of the platform's drain time
			workers, _ := watcher.Since(0)
			got := lo.Map(workers.Entries, func(entry fleet.Entry, _ int) string {
				return entry.ID + lo.Ternary(entry.Draining, " draining", "")
			})
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("%s (-want +got):\n%s", what, diff)
			}
		}
		appendRecord("b", "ready")
		appendRecord("a", "ready")
		expect("two workers", "a", "b")
		appendRecord("a", "draining")
		appendRecord("c", "unreadable")
		expect("one drains, one has another writer's entry", "a draining", "b")
		appendRecord("b", "unreadable")
		expect("an entry is overwritten", "a draining")
		appendRecord("d", "ready")
		appendRecord("a", "")
		standin.Truncate(topic)
		expect("history dropped", "d")
		cancel()
		_ = group.Wait() // ends with the context's error
	})
}
