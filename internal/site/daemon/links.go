package daemon

import (
	"context"
	"slices"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/site/linkshard"
	"github.com/oriolepier/oriolepier/internal/site/peer"
	"github.com/oriolepier/oriolepier/internal/site/runtime"
)

// newPool returns the links of an ownership.
func (d *Daemon) newPool(epoch int64) *linkshard.Pool {
	claimed := d.clock.Now()
	return linkshard.NewPool(linkshard.PoolOptions{
		Clock: d.clock, Logger: d.logger, Epoch: epoch, Name: d.settings.Name, Cores: d.settings.Limits.Cores,
		Own: d.shard, Dial: d.peers.Link, Counts: d.links,
		Entries: func() []linkshard.Entry { return d.linkEntries(claimed) },
	})
}

// linkEntries lists the other entries that could be links. Until they have all
// had time to ask an owner that claimed just now, its list is the former one's too.
func (d *Daemon) linkEntries(claimed clock.Millis) []linkshard.Entry {
	now := d.clock.Now()
	known := d.seen.recent(now)
	if now-claimed < callerKept {
		known = lo.UniqBy(append(slices.Clone(known), d.elector.Peers()...), func(entry peer.Entry) string { return entry.Address })
	}
	return lo.FilterMap(known, func(entry peer.Entry, _ int) (linkshard.Entry, bool) {
		return linkshard.Entry{Address: entry.Address, Domain: entry.Domain, Cores: entry.Cores},
			entry.Links && entry.Address != d.peerAddress()
	})
}

// listWorkers follows the list of workers for the owner, and tells the pool of
// each change.
func (d *Daemon) listWorkers(pool *linkshard.Pool) func(seen int64) (runtime.Workers, bool) {
	return func(seen int64) (runtime.Workers, bool) {
		workers, newer := d.roster.Since(seen)
		if newer {
			pool.SetWorkers(lo.Map(workers.Entries, func(entry fleet.Entry, _ int) linkshard.Worker {
				return linkshard.Worker{ID: entry.ID, Domain: entry.Domain}
			}))
		}
		return workers, newer
	}
}

// ping asks an entry for a sign of life, and tells it what this one can do.
func (d *Daemon) ping(ctx context.Context, address string, query peer.PingQuery) (peer.PingAnswer, error) {
	query.Domain = d.settings.Domain
	query.Links = !d.leaving.Load()
	return d.peers.Ping(ctx, address, query)
}
