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
	"github.com/oriolepier/oriolepier/internal/site/tables"
)

// newPool returns the pool of links for an ownership. A link is an entry that
// calls workers on behalf of the owner.
func (d *Daemon) newPool(epoch int64) *linkshard.Pool {
	claimed := d.clock.Now()
	return linkshard.NewPool(linkshard.PoolOptions{
		Clock: d.clock, Logger: d.logger, Epoch: epoch, Name: d.settings.Name, Cores: d.settings.Limits.Cores,
		LocalShard: d.shard, Dial: d.peers.OpenLink, Metrics: d.linkMetrics,
		Entries: func() []linkshard.Entry { return d.linkCandidates(claimed) },
	})
}

// linkCandidates lists the other entries that can act as links. Not all of them
// have pinged an owner that claimed the cell just now, so for peerRetention the
// previous owner's list is added.
func (d *Daemon) linkCandidates(claimed clock.Millis) []linkshard.Entry {
	now := d.clock.Now()
	candidates := d.recentPeers.recent(now)
	if now-claimed < peerRetention {
		candidates = lo.UniqBy(append(slices.Clone(candidates), d.elector.Peers()...), func(entry peer.Entry) string { return entry.Address })
	}
	return lo.FilterMap(candidates, func(entry peer.Entry, _ int) (linkshard.Entry, bool) {
		return linkshard.Entry{Address: entry.Address, Domain: entry.Domain, Cores: entry.Cores},
			entry.Links && entry.Address != d.peerAddress()
	})
}

// listWorkers returns a function that reads the list of workers for the owner,
// and passes each change on to the pool of links.
func (d *Daemon) listWorkers(pool *linkshard.Pool) func(version int64) (runtime.Workers, bool) {
	return func(version int64) (runtime.Workers, bool) {
		workers, newer := d.roster.Since(version)
		if newer {
			pool.SetWorkers(lo.Map(workers.Entries, func(entry fleet.Entry, _ int) linkshard.Worker {
				return linkshard.Worker{ID: entry.ID, Domain: entry.Domain}
			}))
		}
		return workers, newer
	}
}

// ping pings an entry, with this entry's failure domain and whether it can act
// as a link. If the answer has a proof for the tables, it is taken over.
func (d *Daemon) ping(ctx context.Context, address string, query peer.PingQuery) (peer.PingAnswer, error) {
	query.Domain = d.settings.Domain
	query.Links = !d.leaving.Load()
	sent := d.clock.Now()
	answer, err := d.peers.Ping(ctx, address, query)
	if err == nil && answer.ProofAge != nil && *answer.ProofAge >= 0 {
		d.tables.Confirm(tables.Proof{End: answer.TablesEnd, At: sent - *answer.ProofAge})
	}
	return answer, err
}
