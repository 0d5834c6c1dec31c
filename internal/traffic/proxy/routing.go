package proxy

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/traffic/balance"
	"github.com/oriolepier/oriolepier/internal/traffic/connpool"
	"github.com/oriolepier/oriolepier/internal/traffic/dispatch"
	"github.com/oriolepier/oriolepier/internal/traffic/match"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

// routing is a snapshot with its compiled route table and its pools. It is
// immutable except for the state inside the pools.
type routing struct {
	snap  *view.Snapshot
	table *match.Table
	pools map[string]*pool
}

// pool is this entry's state of a pool; it is carried over between snapshots.
type pool struct {
	name string
	vars poolVars
	log  zerolog.Logger

	mu           sync.Mutex
	engine       *dispatch.Pool
	serverStates map[*balance.Server]*serverState
}

// serverState is a backend server's connections and counters.
type serverState struct {
	connpool *connpool.Pool
	vars     *serverVars
}

// current returns the routing in force. While Run is active, it applies new
// snapshots within followInterval, so that no request waits for a large table
// to be compiled.
func (proxy *Proxy) current() *routing {
	snap := proxy.options.Holder.Load()
	if inForce := proxy.routing.Load(); inForce.snap == snap || proxy.running.Load() {
		return inForce
	}
	return proxy.refresh()
}

// Version returns the configuration version that requests are served with.
func (proxy *Proxy) Version() int64 { return proxy.routing.Load().snap.Version }

// refresh puts the newest snapshot in force and updates the connection budget
// for the time that has passed. The route table is compiled again only when the
// version differs.
func (proxy *Proxy) refresh() *routing {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	snap := proxy.options.Holder.Load()
	old := proxy.routing.Load()
	next := &routing{snap: snap}
	if old != nil && old.snap.Version == snap.Version {
		next.table = old.table
	} else {
		next.table = match.New(snap.Routes)
		proxy.counters.tablesCompiled.Add(1)
		proxy.removeRoutes(snap.Routes)
	}
	now := proxy.options.Clock.Now()
	proxy.budget = proxy.budget.Updated(now, snap.Entries, snap.KnownEntries)
	next.pools = proxy.refreshPools(now, snap)
	proxy.routing.Store(next)
	return next
}

func (proxy *Proxy) refreshPools(now clock.Millis, snap *view.Snapshot) map[string]*pool {
	next := make(map[string]*pool, len(snap.Pools))
	for name, config := range snap.Pools {
		state := proxy.pools[name]
		if state == nil {
			state = proxy.newPool(name)
		}
		state.update(now, proxy, dispatch.Settings{
			Pool:       config,
			Domain:     snap.Domain,
			DomainsOut: snap.DomainsOut,
			Entries:    snap.Entries,
			Budget:     proxy.budget,
		})
		next[name] = state
	}
	for name, state := range proxy.pools {
		if next[name] == nil {
			state.update(now, proxy, dispatch.Settings{Domain: snap.Domain})
		}
	}
	proxy.pools = next
	return next
}

func (proxy *Proxy) newPool(name string) *pool {
	rng := rand.New(rand.NewPCG(proxy.options.Seed, xxhash.Sum64String(proxy.options.Entry+" "+name)))
	return &pool{
		name:         name,
		vars:         proxy.counters.pool(name),
		log:          proxy.options.Log,
		engine:       dispatch.New(rng),
		serverStates: map[*balance.Server]*serverState{},
	}
}

// update applies a snapshot's settings of the pool. Connections to servers that
// the snapshot no longer lists are closed as their requests end.
func (pool *pool) update(now clock.Millis, proxy *Proxy, settings dispatch.Settings) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, server := range pool.engine.Update(now, settings) {
		if serverState := pool.serverStates[server]; serverState != nil {
			serverState.connpool.Close()
			proxy.counters.removeServer(serverState.vars.name)
			delete(pool.serverStates, server)
		}
	}
	for _, server := range pool.engine.Servers() {
		serverState := pool.serverStates[server]
		if serverState == nil {
			serverState = proxy.newServerState(server)
			pool.serverStates[server] = serverState
		}
		serverState.connpool.SetBudget(settings.Connections(server.Local))
	}
	pool.serveQueue(now)
}

func (proxy *Proxy) newServerState(server *balance.Server) *serverState {
	return &serverState{
		connpool: connpool.New(connpool.Options{Name: server.Name, Address: server.Address, Dial: proxy.options.Dial}),
		vars:     proxy.counters.server(server.Name, server.Domain),
	}
}

// routeStateOf returns the state of a route, which is carried over between
// snapshots.
func (proxy *Proxy) routeStateOf(rt *route.Route) *routeState {
	if state, ok := proxy.routes.Load(rt.Name); ok {
		return state.(*routeState)
	}
	state, _ := proxy.routes.LoadOrStore(rt.Name, newRouteState(rt, proxy.counters.route(rt.Name)))
	return state.(*routeState)
}

// removeRoutes deletes the state of routes that are not in the table any more.
func (proxy *Proxy) removeRoutes(current []route.Route) {
	names := make(map[string]bool, len(current))
	for i := range current {
		names[current[i].Name] = true
	}
	proxy.routes.Range(func(name, _ any) bool {
		if !names[name.(string)] {
			proxy.routes.Delete(name)
			proxy.counters.routes.Delete(name.(string))
		}
		return true
	})
}

// poolsOf returns a route's pools in its order of preference.
func (routing *routing) poolsOf(rt *route.Route) []*pool {
	pools := make([]*pool, 0, len(rt.Pools))
	for _, name := range rt.Pools {
		if candidate := routing.pools[name]; candidate != nil && !slices.Contains(pools, candidate) {
			pools = append(pools, candidate)
		}
	}
	return pools
}
