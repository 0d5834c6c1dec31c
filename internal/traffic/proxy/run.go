package proxy

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/balance"
)

// Run does the background work until the context ends, and returns the
// context's error: it applies new snapshots, serves queues between requests,
// closes idle connections, and probes ejected backend servers.
func (proxy *Proxy) Run(ctx context.Context) error {
	proxy.running.Store(true)
	defer proxy.running.Store(false)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return proxy.runEvery(ctx, followInterval, proxy.followSnapshots) })
	group.Go(func() error { return proxy.runEvery(ctx, maintenanceInterval, proxy.maintain) })
	group.Go(func() error { return proxy.runEvery(ctx, maintenanceInterval, proxy.probe) })
	return group.Wait()
}

func (proxy *Proxy) runEvery(ctx context.Context, period clock.Millis, fn func(context.Context)) error {
	for {
		if err := proxy.options.Clock.Sleep(ctx, period); err != nil {
			return err
		}
		fn(ctx)
	}
}

// followSnapshots applies a new snapshot and serves the queues: it grants slots
// that became free without a request ending, as when the pause after a refusal
// is over, and drops requests that are too late.
func (proxy *Proxy) followSnapshots(context.Context) {
	if proxy.options.Holder.Load() != proxy.routing.Load().snap {
		proxy.refresh()
	}
	now := proxy.options.Clock.Now()
	for _, pool := range proxy.routing.Load().pools {
		pool.mu.Lock()
		if pool.engine.Waiting() > 0 {
			pool.serveQueue(now)
		}
		pool.mu.Unlock()
	}
}

// maintain updates the connection budget for the time that has passed, and
// closes idle connections.
func (proxy *Proxy) maintain(context.Context) {
	routing := proxy.refresh()
	idleSince := proxy.options.Clock.Now() - idleTimeout
	for _, pool := range routing.pools {
		for _, state := range pool.states() {
			state.connpool.CloseIdle(idleSince)
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
func (proxy *Proxy) probe(ctx context.Context) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxProbes)
	for _, pool := range proxy.routing.Load().pools {
		for server, serverState := range pool.dueServers(proxy.options.Clock.Now()) {
			group.Go(func() error {
				pool.probe(ctx, proxy.options.Clock.Now, server, serverState)
				return nil
			})
		}
	}
	_ = group.Wait() // no function of the group returns an error
}

// dueServers returns the servers to be probed.
func (pool *pool) dueServers(now clock.Millis) map[*balance.Server]*serverState {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	dueServers := map[*balance.Server]*serverState{}
	for server, serverState := range pool.serverStates {
		if server.Health.ProbeDue(now) && !server.OutOfService {
			dueServers[server] = serverState
		}
	}
	return dueServers
}

func (pool *pool) probe(ctx context.Context, now func() clock.Millis, server *balance.Server, serverState *serverState) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	err := serverState.connpool.Probe(ctx, now)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server.Health = server.Health.Probed(now(), err == nil)
}
