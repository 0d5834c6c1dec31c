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

// plan is a snapshot made ready for requests. It is immutable, but for the
// pools' and routes' own counters.
type plan struct {
	snap  *view.Snapshot
	table *match.Table
	pools map[string]*pool
}

// pool is a pool's state in this entry; it outlives snapshots.
type pool struct {
	name string
	vars poolVars
	log  zerolog.Logger

	mu     sync.Mutex
	engine *dispatch.Pool
	links  map[*choice.Server]*peer
}

// peer is the connections to a backend server and its counters.
type peer struct {
	link *link.Link
	vars *serverVars
}

// current returns the plan in force. While Run is on, it brings in a new
// snapshot within followEvery; a large table is compiled at no request's cost.
func (gate *Gate) current() *plan {
	snap := gate.options.Box.Load()
	if now := gate.plan.Load(); now.snap == snap || gate.running.Load() {
		return now
	}
	return gate.refresh()
}

// Version returns the configuration version that requests are served by.
func (gate *Gate) Version() int64 { return gate.plan.Load().snap.Version }

// refresh brings the newest snapshot into force, and lets the budget grow with
// time. The route table is compiled anew only when its version differs.
func (gate *Gate) refresh() *plan {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	snap := gate.options.Box.Load()
	old := gate.plan.Load()
	next := &plan{snap: snap}
	if old != nil && old.snap.Version == snap.Version {
		next.table = old.table
	} else {
		next.table = match.New(snap.Routes)
		gate.counts.compiled.Add(1)
		gate.forgetRoutes(snap.Routes)
	}
	now := gate.options.Clock.Now()
	gate.budget = gate.budget.With(now, snap.Entries, snap.SeedCount)
	next.pools = gate.refreshPools(now, snap)
	gate.plan.Store(next)
	return next
}

func (gate *Gate) refreshPools(now clock.Millis, snap *view.Snapshot) map[string]*pool {
	next := make(map[string]*pool, len(snap.Pools))
	for name, row := range snap.Pools {
		each := gate.pools[name]
		if each == nil {
			each = gate.newPool(name)
		}
		each.update(now, gate, dispatch.Setting{
			Pool:       row,
			Domain:     snap.Domain,
			DomainsOut: snap.DomainsOut,
			Entries:    snap.Entries,
			Budget:     gate.budget,
		})
		next[name] = each
	}
	for name, each := range gate.pools {
		if next[name] == nil {
			each.update(now, gate, dispatch.Setting{Domain: snap.Domain})
		}
	}
	gate.pools = next
	return next
}

func (gate *Gate) newPool(name string) *pool {
	rng := rand.New(rand.NewPCG(gate.options.Seed, xxhash.Sum64String(gate.options.Entry+" "+name)))
	return &pool{
		name:   name,
		vars:   gate.counts.pool(name),
		log:    gate.options.Log,
		engine: dispatch.New(rng),
		links:  map[*choice.Server]*peer{},
	}
}

// update takes over a snapshot's row of the pool. Connections of servers that
// it no longer names close as their requests end.
func (pool *pool) update(now clock.Millis, gate *Gate, setting dispatch.Setting) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, server := range pool.engine.Update(now, setting) {
		if peer := pool.links[server]; peer != nil {
			peer.link.Close()
			gate.counts.forget(peer.vars.name)
			delete(pool.links, server)
		}
	}
	for _, server := range pool.engine.Servers() {
		peer := pool.links[server]
		if peer == nil {
			peer = gate.newPeer(server)
			pool.links[server] = peer
		}
		peer.link.SetBudget(setting.Connections(server.Local))
	}
	pool.serve(now)
}

func (gate *Gate) newPeer(server *choice.Server) *peer {
	return &peer{
		link: link.New(link.Options{Name: server.Name, Address: server.Address, Dial: gate.options.Dial}),
		vars: gate.counts.server(server.Name, server.Domain),
	}
}

// tallyOf returns the state of a route, which outlives snapshots.
func (gate *Gate) tallyOf(row *route.Route) *tally {
	if each, ok := gate.routes.Load(row.Name); ok {
		return each.(*tally)
	}
	each, _ := gate.routes.LoadOrStore(row.Name, newTally(row, gate.counts.route(row.Name)))
	return each.(*tally)
}

// forgetRoutes drops the state of routes that the table does not name any
// more.
func (gate *Gate) forgetRoutes(rows []route.Route) {
	names := make(map[string]bool, len(rows))
	for i := range rows {
		names[rows[i].Name] = true
	}
	gate.routes.Range(func(name, _ any) bool {
		if !names[name.(string)] {
			gate.routes.Delete(name)
			gate.counts.routes.Delete(name.(string))
		}
		return true
	})
}

// poolsOf returns a route's pools in its order of preference.
func (plan *plan) poolsOf(row *route.Route) []*pool {
	pools := make([]*pool, 0, len(row.Pools))
	for _, name := range row.Pools {
		if each := plan.pools[name]; each != nil && !slices.Contains(pools, each) {
			pools = append(pools, each)
		}
	}
	return pools
}
