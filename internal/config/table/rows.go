package table

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/google/btree"
	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Route returns a route by name.
func (x Index) Route(name string) (route.Route, bool) {
	rt, ok := x.routes.Get(&route.Route{Name: name})
	if !ok {
		return route.Route{}, false
	}
	return *rt, true
}

// Team returns a team by name.
func (x Index) Team(name string) (route.Team, bool) {
	team, ok := x.teams.Get(&route.Team{Name: name})
	if !ok {
		return route.Team{}, false
	}
	return *team, true
}

// Pool returns a pool by name.
func (x Index) Pool(name string) (pool.Pool, bool) {
	pl, ok := x.known[name]
	return pl, ok
}

// Pools returns the table of pools, which must not be changed.
func (x Index) Pools() pool.Table { return x.pools }

// Routes returns the table of routes in order of name, which must not be
// changed. It is built at the first call and shared by all later indexes with
// the same routes and teams.
func (x Index) Routes() route.Table { return x.list() }

// Returns the function behind Routes.
func listOnce(routes *btree.BTreeG[*route.Route], teams *btree.BTreeG[*route.Team]) func() route.Table {
	return sync.OnceValue(func() route.Table {
		table := route.Table{Routes: make([]route.Route, 0, routes.Len()), Teams: make([]route.Team, 0, teams.Len())}
		routes.Ascend(func(rt *route.Route) bool {
			table.Routes = append(table.Routes, *rt)
			return true
		})
		teams.Ascend(func(team *route.Team) bool {
			table.Teams = append(table.Teams, *team)
			return true
		})
		return table
	})
}

// Hash returns a digest of both tables. Equal tables have equal digests,
// whichever way they came about.
func (x Index) Hash() uint64 { return x.sum + digest(x.pools) }

// The digest of the routes and teams is a sum over rows, so that one changed
// row changes it at the cost of that row.
func digest(row any) uint64 {
	data, err := codec.Marshal(row)
	if err != nil {
		panic(err) // rows are plain structs, which always encode
	}
	return xxhash.Sum64(data)
}

// Returns a copy whose routes and teams can be changed.
func (x Index) clone() Index {
	x.routes = x.routes.Clone()
	x.teams = x.teams.Clone()
	x.matches = x.matches.Clone()
	x.uses = x.uses.Clone()
	x.list = listOnce(x.routes, x.teams)
	return x
}

func (x *Index) putRoute(rt route.Route) {
	x.removeRoute(rt.Name)
	x.routes.ReplaceOrInsert(&rt)
	x.sum += digest(rt)
	for _, key := range matchKeys(rt) {
		x.matches.ReplaceOrInsert(claim{key: key, route: rt.Name})
	}
	for _, item := range usesOf(rt) {
		x.uses.ReplaceOrInsert(item)
	}
}

func (x *Index) removeRoute(name string) {
	old, ok := x.routes.Delete(&route.Route{Name: name})
	if !ok {
		return
	}
	x.sum -= digest(*old)
	for _, key := range matchKeys(*old) {
		x.matches.Delete(claim{key: key})
	}
	for _, item := range usesOf(*old) {
		x.uses.Delete(item)
	}
}

func (x *Index) putTeam(team route.Team) {
	if old, replaced := x.teams.ReplaceOrInsert(&team); replaced {
		x.sum -= digest(*old)
	}
	x.sum += digest(team)
}

func (x *Index) setPools(table pool.Table) {
	x.pools = pool.Table{Domains: compact(table.Domains), Pools: compact(table.Pools)}
	x.known = lo.SliceToMap(table.Pools, func(pl pool.Pool) (string, pool.Pool) { return pl.Name, pl })
}

// Makes empty lists alike, so that their digests are.
func compact[T any](rows []T) []T {
	if len(rows) == 0 {
		return nil
	}
	return rows
}

func usesOf(rt route.Route) []use {
	named := lo.Map(rt.Pools, func(name string, _ int) use { return use{kind: usesPool, target: name, route: rt.Name} })
	return append(named, use{kind: usesTeam, target: rt.Team, route: rt.Name})
}

// Rows returns the number of rows of both tables.
func (x Index) Rows() int {
	return x.routes.Len() + x.teams.Len() + len(x.pools.Domains) + len(x.pools.Pools)
}
