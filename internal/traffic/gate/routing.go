package gate

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/traffic/choice"
	"github.com/oriolepier/oriolepier/internal/traffic/dispatch"
	"github.com/oriolepier/oriolepier/internal/traffic/link"
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
	serverStates map[*choice.Server]*serverState
}

// serverState is a backend server's connections and counters.
type serverState struct {
	link *link.Link
	vars *serverVars
}

// current returns the routing in force. While Run is active, it applies new
// snapshots within followInterval, so that no request waits for a large table
// to be compiled.
func (gate *Gate) current() *routing {
	snap := gate.options.Box.Load()
	if inForce := gate.routing.Load(); inForce.snap == snap || gate.running.Load() {
		return inForce
	}
	return gate.refresh()
}

// Version returns the configuration version that requests are served with.
func (gate *Gate) Version() int64 { return gate.routing.Load().snap.Version }

// refresh puts the newest snapshot in force and updates the connection budget
// for the time that has passed. The route table is compiled again only when the
// version differs.
func (gate *Gate) refresh() *routing {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	snap := gate.options.Box.Load()
	old := gate.routing.Load()
	next := &routing{snap: snap}
	if old != nil && old.snap.Version == snap.Version {
		next.table = old.table
	} else {
		next.table = match.New(snap.Routes)
		gate.counters.tablesCompiled.Add(1)
		gate.removeRoutes(snap.Routes)
	}
	now := gate.options.Clock.Now()
	gate.budget = gate.budget.With(now, snap.Entries, snap.SeedCount)
	next.pools = gate.refreshPools(now, snap)
	gate.routing.Store(next)
	return next
}

func (gate *Gate) refreshPools(now clock.Millis, snap *view.Snapshot) map[string]*pool {
	next := make(map[string]*pool, len(snap.Pools))
	for name, config := range snap.Pools {
		state := gate.pools[name]
		if state == nil {
			state = gate.newPool(name)
		}
		state.update(now, gate, dispatch.Settings{
			Pool:       config,
			Domain:     snap.Domain,
			DomainsOut: snap.DomainsOut,
			Entries:    snap.Entries,
			Budget:     gate.budget,
		})
		next[name] = state
	}
	for name, state := range gate.pools {
		if next[name] == nil {
			state.update(now, gate, dispatch.Settings{Domain: snap.Domain})
		}
	}
	gate.pools = next
	return next
}

func (gate *Gate) newPool(name string) *pool {
	rng := rand.New(rand.NewPCG(gate.options.Seed, xxhash.Sum64String(gate.options.Entry+" "+name)))
	return &pool{
		name:         name,
		vars:         gate.counters.pool(name),
		log:          gate.options.Log,
		engine:       dispatch.New(rng),
		serverStates: map[*choice.Server]*serverState{},
	}
}

// update applies a snapshot's settings of the pool. Connections to servers that
// it no longer lists are closed as their requests end.
func (pool *pool) update(now clock.Millis, gate *Gate, settings dispatch.Settings) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, server := range pool.engine.Update(now, settings) {
		if serverState := pool.serverStates[server]; serverState != nil {
			serverState.link.Close()
			gate.counters.removeServer(serverState.vars.name)
			delete(pool.serverStates, server)
		}
	}
	for _, server := range pool.engine.Servers() {
		serverState := pool.serverStates[server]
		if serverState == nil {
			serverState = gate.newServerState(server)
			pool.serverStates[server] = serverState
		}
		serverState.link.SetBudget(settings.Connections(server.Local))
	}
	pool.serveQueue(now)
}

func (gate *Gate) newServerState(server *choice.Server) *serverState {
	return &serverState{
		link: link.New(link.Options{Name: server.Name, Address: server.Address, Dial: gate.options.Dial}),
		vars: gate.counters.server(server.Name, server.Domain),
	}
}

// routeStateOf returns the state of a route, which is carried over between
// snapshots.
func (gate *Gate) routeStateOf(rt *route.Route) *routeState {
	if state, ok := gate.routes.Load(rt.Name); ok {
		return state.(*routeState)
	}
	state, _ := gate.routes.LoadOrStore(rt.Name, newRouteState(rt, gate.counters.route(rt.Name)))
	return state.(*routeState)
}

// removeRoutes deletes the state of routes that are not in the table any more.
func (gate *Gate) removeRoutes(current []route.Route) {
	names := make(map[string]bool, len(current))
	for i := range current {
		names[current[i].Name] = true
	}
	gate.routes.Range(func(name, _ any) bool {
		if !names[name.(string)] {
			gate.routes.Delete(name)
			gate.counters.routes.Delete(name.(string))
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
