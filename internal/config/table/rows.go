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
func (index Index) Route(name string) (route.Route, bool) {
	rt, ok := index.routes.Get(&route.Route{Name: name})
	if !ok {
		return route.Route{}, false
	}
	return *rt, true
}

// Team returns a team by name.
func (index Index) Team(name string) (route.Team, bool) {
	team, ok := index.teams.Get(&route.Team{Name: name})
	if !ok {
		return route.Team{}, false
	}
	return *team, true
}

// Pool returns a pool by name.
func (index Index) Pool(name string) (pool.Pool, bool) {
	pl, ok := index.known[name]
	return pl, ok
}

// Pools returns the table of pools, which must not be changed.
func (index Index) Pools() pool.Table { return index.pools }

// Routes returns the table of routes in order of name, which must not be
// changed. It is built at the first call and shared by all later indexes with
// the same routes and teams.
func (index Index) Routes() route.Table { return index.list() }

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
func (index Index) Hash() uint64 { return index.sum + digest(index.pools) }

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
func (index Index) clone() Index {
	index.routes = index.routes.Clone()
	index.teams = index.teams.Clone()
	index.matches = index.matches.Clone()
	index.uses = index.uses.Clone()
	index.list = listOnce(index.routes, index.teams)
	return index
}

func (index *Index) putRoute(rt route.Route) {
	index.removeRoute(rt.Name)
	index.routes.ReplaceOrInsert(&rt)
	index.sum += digest(rt)
	for _, key := range matchKeys(rt) {
		index.matches.ReplaceOrInsert(claim{key: key, route: rt.Name})
	}
	for _, item := range usesOf(rt) {
		index.uses.ReplaceOrInsert(item)
	}
}

func (index *Index) removeRoute(name string) {
	old, ok := index.routes.Delete(&route.Route{Name: name})
	if !ok {
		return
	}
	index.sum -= digest(*old)
	for _, key := range matchKeys(*old) {
		index.matches.Delete(claim{key: key})
	}
	for _, item := range usesOf(*old) {
		index.uses.Delete(item)
	}
}

func (index *Index) putTeam(team route.Team) {
	if old, replaced := index.teams.ReplaceOrInsert(&team); replaced {
		index.sum -= digest(*old)
	}
	index.sum += digest(team)
}

func (index *Index) setPools(table pool.Table) {
	index.pools = pool.Table{Domains: compact(table.Domains), Pools: compact(table.Pools)}
	index.known = lo.SliceToMap(table.Pools, func(pl pool.Pool) (string, pool.Pool) { return pl.Name, pl })
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
func (index Index) Rows() int {
	return index.routes.Len() + index.teams.Len() + len(index.pools.Domains) + len(index.pools.Pools)
}
