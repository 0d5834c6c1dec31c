package gate

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/choice"
)

// Run does what no request waits for, until the context ends, whose error it
// returns: it serves queues when nothing else moves them, follows snapshots,
// closes connections, and probes ejected backend servers.
func (gate *Gate) Run(ctx context.Context) error {
	gate.running.Store(true)
	defer gate.running.Store(false)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return gate.every(ctx, followEvery, gate.follow) })
	group.Go(func() error { return gate.every(ctx, upkeepEvery, gate.upkeep) })
	group.Go(func() error { return gate.every(ctx, upkeepEvery, gate.probe) })
	return group.Wait()
}

func (gate *Gate) every(ctx context.Context, period clock.Millis, work func(context.Context)) error {
	for {
		if err := gate.options.Clock.Sleep(ctx, period); err != nil {
			return err
		}
		work(ctx)
	}
}

// follow brings in a new snapshot, grants places that came free by time alone,
// as a pause after a refusal does, and drops requests that are too late.
func (gate *Gate) follow(context.Context) {
	if gate.options.Box.Load() != gate.plan.Load().snap {
		gate.refresh()
	}
	now := gate.options.Clock.Now()
	for _, pool := range gate.plan.Load().pools {
		pool.mu.Lock()
		if pool.engine.Waiting() > 0 {
			pool.serve(now)
		}
		pool.mu.Unlock()
	}
}

// upkeep lets the connection budget follow time, and closes idle connections.
func (gate *Gate) upkeep(context.Context) {
	plan := gate.refresh()
	before := gate.options.Clock.Now() - idleTimeout
	for _, pool := range plan.pools {
		for _, peer := range pool.peers() {
			peer.link.CloseIdle(before)
		}
	}
}

func (pool *pool) peers() []*peer {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	peers := make([]*peer, 0, len(pool.links))
	for _, each := range pool.links {
		peers = append(peers, each)
	}
	return peers
}

// probe connects to ejected backend servers whose time is up, so that a dead
// one costs no request a trial.
func (gate *Gate) probe(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxProbes)
	for _, pool := range gate.plan.Load().pools {
		for server, peer := range pool.due(gate.options.Clock.Now()) {
			group.Go(func() error {
				pool.probe(ctx, gate.options.Clock.Now, server, peer)
				return nil
			})
		}
	}
	_ = group.Wait() // no member returns an error
}

// due returns the servers to be probed.
func (pool *pool) due(now clock.Millis) map[*choice.Server]*peer {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	due := map[*choice.Server]*peer{}
	for server, peer := range pool.links {
		if server.Health.Due(now) && !server.Out {
			due[server] = peer
		}
	}
	return due
}

func (pool *pool) probe(ctx context.Context, now func() clock.Millis, server *choice.Server, peer *peer) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	err := peer.link.Probe(ctx, now)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server.Health = server.Health.Probed(now(), err == nil)
}
