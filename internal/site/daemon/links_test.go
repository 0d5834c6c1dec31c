package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/site/linkshard"
	"github.com/oriolepier/oriolepier/internal/site/roster"
	"github.com/oriolepier/oriolepier/internal/standin/store"
)

// The list of workers from an earlier ownership may have addresses of other workers.
func TestListOfEarlierOwnershipIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standin := store.New()
		standin.Log().Append(t.Context(), journal.Append{
			Topic: "keyed.workers", ExpectedEnd: -1, Records: []journal.Record{{Key: "w", Value: []byte("old:1")}},
		})
		d := &Daemon{roster: roster.New(roster.Options{
			Topic: "keyed.workers", Clock: clock.New(), Log: standin.Log(), Logger: zerolog.Nop(),
			Decode: func(id string, data []byte) (fleet.Entry, error) {
				return fleet.Entry{ID: id, Address: string(data)}, nil
			},
		})}
		d.serveRoster(t)
		standin.SetDown(true)
		time.Sleep(time.Hour)
		ctx, cancel := context.WithCancel(t.Context())
		group := new(errgroup.Group)
		group.Go(func() error { return d.roster.Serve(ctx) })
		time.Sleep(time.Second)
		workers, known := d.listWorkers(linkshard.NewPool(linkshard.PoolOptions{Clock: clock.New()}))(0)
		cancel()
		_ = group.Wait() // ends with the context's error
		if diff := cmp.Diff([]fleet.Entry(nil), workers.Entries); known || diff != "" {
			t.Errorf("workers before the list is read (-want +got):\n%s", diff)
		}
	})
}

// serveRoster reads the list of workers for a while, as during an ownership.
func (d *Daemon) serveRoster(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_ = d.roster.Serve(ctx) // ends with the context's error
}
