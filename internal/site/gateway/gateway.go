// Package gateway builds the routing snapshot of an entry's proxy from the
// published tables and the list of workers.
//
// # Usage
//
//	holder := view.NewHolder()
//	updater := gateway.New(gateway.Options{Holder: holder, Tables: tables.Since, Workers: workers.Since, ...})
//	err := updater.Serve(ctx)
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

// pollPeriod is the time between checks for newer tables and workers.
const pollPeriod clock.Millis = 200

// Options configures an Updater.
type Options struct {
	Holder  *view.Holder
	Clock   clock.Clock
	Domain  string // failure domain of this entry
	Entries int    // number of entries of the deployment, which share the connection budget
	Tables  func(version int64) (runtime.Tables, bool)
	Workers func(version int64) (runtime.Workers, bool)
}

// Updater rebuilds the routing snapshot after each change of the tables or of the
// list of workers. It reads no topic itself: the Watchers of packages tables and
// roster do.
type Updater struct {
	options     Options
	tables      runtime.Tables
	workers     runtime.Workers
	listedSince map[string]clock.Millis // when each worker was first listed; kept after it is no longer listed
}

// New returns an Updater without tables.
func New(options Options) *Updater {
	return &Updater{options: options, listedSince: map[string]clock.Millis{}}
}

// Serve rebuilds the snapshot when necessary, until the context ends.
func (k *Updater) Serve(ctx context.Context) error {
	for {
		tables, newerTables := k.options.Tables(k.tables.Version)
		workers, newerWorkers := k.options.Workers(k.workers.Version)
		if newerTables {
			k.tables = tables
		}
		if newerWorkers {
			k.workers = workers
		}
		if (newerTables || newerWorkers) && k.tables.Release != nil {
			k.options.Holder.Store(k.snapshot(*k.tables.Release))
		}
		if err := k.options.Clock.Sleep(ctx, pollPeriod); err != nil {
			return err
		}
	}
}

func (k *Updater) snapshot(published release.Release) *view.Snapshot {
	pools := map[string]view.Pool{}
	for _, poolConfig := range published.Pools.Pools {
		pools[poolConfig.Name] = view.Pool{Config: poolConfig, Backends: k.backends(poolConfig)}
	}
	return &view.Snapshot{
		Version: published.Version, Domain: k.options.Domain,
		Entries: max(k.options.Entries, 1), KnownEntries: max(k.options.Entries, 1),
		Routes: published.Routes.Routes, Pools: pools, DomainsOut: k.tables.OutOfService,
	}
}

// backends lists a pool's backend servers, sorted by name as the list of workers
// is by id.
func (k *Updater) backends(poolConfig pool.Pool) []view.Backend {
	members := lo.Filter(k.workers.Entries, func(entry fleet.Entry, _ int) bool {
		return entry.Service == poolConfig.Name || poolConfig.Selects(entry.ID, entry.Domain) && entry.Service == ""
	})
	return lo.Map(members, func(entry fleet.Entry, _ int) view.Backend {
		if _, listed := k.listedSince[entry.ID]; !listed {
			k.listedSince[entry.ID] = k.options.Clock.Now()
		}
		return view.Backend{
			Name: entry.ID, Address: entry.Address, FailureDomain: entry.Domain,
			Draining: entry.Draining || k.tables.OutOfService[entry.Domain], InServiceSince: k.listedSince[entry.ID],
		}
	})
}
