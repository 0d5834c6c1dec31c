package gate

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/choice"
)

// Run does the background work until the context ends, and returns the
// context's error: it applies new snapshots, serves queues between requests,
// closes idle connections, and probes ejected backend servers.
func (gate *Gate) Run(ctx context.Context) error {
	gate.running.Store(true)
	defer gate.running.Store(false)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return gate.runEvery(ctx, followInterval, gate.followSnapshots) })
	group.Go(func() error { return gate.runEvery(ctx, maintenanceInterval, gate.maintain) })
	group.Go(func() error { return gate.runEvery(ctx, maintenanceInterval, gate.probe) })
	return group.Wait()
}

func (gate *Gate) runEvery(ctx context.Context, period clock.Millis, fn func(context.Context)) error {
	for {
		if err := gate.options.Clock.Sleep(ctx, period); err != nil {
			return err
		}
		fn(ctx)
	}
}

// followSnapshots applies a new snapshot and serves the queues: it grants slots
// that became free without a request ending, as when the pause after a refusal
// is over, and drops requests that are too late.
func (gate *Gate) followSnapshots(context.Context) {
	if gate.options.Box.Load() != gate.routing.Load().snap {
		gate.refresh()
	}
	now := gate.options.Clock.Now()
	for _, pool := range gate.routing.Load().pools {
		pool.mu.Lock()
		if pool.engine.Waiting() > 0 {
			pool.serveQueue(now)
		}
		pool.mu.Unlock()
	}
}

// maintain updates the connection budget for the time that has passed, and
// closes idle connections.
func (gate *Gate) maintain(context.Context) {
	routing := gate.refresh()
	idleSince := gate.options.Clock.Now() - idleTimeout
	for _, pool := range routing.pools {
		for _, state := range pool.states() {
			state.link.CloseIdle(idleSince)
		}
	}
}

func (pool *pool) states() []*serverState {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	states := make([]*serverState, 0, len(pool.serverStates))
	for _, state := range pool.serverStates {
		states = append(states, state)
	}
	return states
}

// probe connects to ejected backend servers whose ejection time is over, so that
// no request is spent on testing an unreachable one.
func (gate *Gate) probe(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxProbes)
	for _, pool := range gate.routing.Load().pools {
		for server, serverState := range pool.dueServers(gate.options.Clock.Now()) {
			group.Go(func() error {
				pool.probe(ctx, gate.options.Clock.Now, server, serverState)
				return nil
			})
		}
	}
	_ = group.Wait() // no function of the group returns an error
}

// dueServers returns the servers to be probed.
func (pool *pool) dueServers(now clock.Millis) map[*choice.Server]*serverState {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	dueServers := map[*choice.Server]*serverState{}
	for server, serverState := range pool.serverStates {
		if server.Health.Due(now) && !server.Out {
			dueServers[server] = serverState
		}
	}
	return dueServers
}

func (pool *pool) probe(ctx context.Context, now func() clock.Millis, server *choice.Server, serverState *serverState) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	err := serverState.link.Probe(ctx, now)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server.Health = server.Health.Probed(now(), err == nil)
}
