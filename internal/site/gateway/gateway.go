// Package gateway keeps the request side of an entry up to date: it turns the
// published tables and the list of workers into the snapshot that requests are
// routed by.
//
// # Usage
//
//	box := view.NewBox()
//	keeper := gateway.New(gateway.Options{Box: box, Tables: tables.Since, Workers: workers.Since, ...})
//	err := keeper.Serve(ctx)
package gateway

import (
	"context"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/release"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/site/runtime"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

// period is the time between looks for newer tables and workers.
const period clock.Millis = 200

// Options of a keeper.
type Options struct {
	Box     *view.Box
	Clock   clock.Clock
	Domain  string // failure domain of this entry
	Entries int    // entries of the deployment, among which connections are shared
	Tables  func(seen int64) (runtime.Tables, bool)
	Workers func(seen int64) (runtime.Workers, bool)
}

// Keeper keeps a snapshot up to date.
type Keeper struct {
	options Options
	tables  runtime.Tables
	workers runtime.Workers
	since   map[string]clock.Millis // when each worker was first listed
}

// New returns a keeper.
func New(options Options) *Keeper { return &Keeper{options: options, since: map[string]clock.Millis{}} }

// Serve keeps the snapshot up to date until the context ends.
func (k *Keeper) Serve(ctx context.Context) error {
	for {
		tables, newer := k.options.Tables(k.tables.Version)
		workers, more := k.options.Workers(k.workers.Version)
		if newer {
			k.tables = tables
		}
		if more {
			k.workers = workers
		}
		if (newer || more) && k.tables.Release != nil {
			k.options.Box.Store(k.snapshot(*k.tables.Release))
		}
		if err := k.options.Clock.Sleep(ctx, period); err != nil {
			return err
		}
	}
}

func (k *Keeper) snapshot(published release.Release) *view.Snapshot {
	pools := map[string]view.Pool{}
	for _, row := range published.Pools.Pools {
		pools[row.Name] = view.Pool{Config: row, Backends: k.backends(row)}
	}
	return &view.Snapshot{
		Version: published.Version, Domain: k.options.Domain,
		Entries: max(k.options.Entries, 1), SeedCount: max(k.options.Entries, 1),
		Routes: published.Routes.Routes, Pools: pools, DomainsOut: k.tables.Out,
	}
}

// backends lists a pool's backend servers; the list of workers is in order of
// id.
func (k *Keeper) backends(row pool.Pool) []view.Backend {
	members := lo.Filter(k.workers.Entries, func(entry fleet.Entry, _ int) bool {
		return entry.Service == row.Name || row.Selects(entry.ID, entry.Domain) && entry.Service == ""
	})
	return lo.Map(members, func(entry fleet.Entry, _ int) view.Backend {
		if _, known := k.since[entry.ID]; !known {
			k.since[entry.ID] = k.options.Clock.Now()
		}
		return view.Backend{
			Name: entry.ID, Address: entry.Address, FailureDomain: entry.Domain,
			Draining: entry.Draining || k.tables.Out[entry.Domain], Since: k.since[entry.ID],
		}
	})
}
