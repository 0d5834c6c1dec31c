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

// Route returns the route with the given name.
func (index Index) Route(name string) (route.Route, bool) {
	rt, ok := index.routes.Get(&route.Route{Name: name})
	if !ok {
		return route.Route{}, false
	}
	return *rt, true
}

// Team returns the team with the given name.
func (index Index) Team(name string) (route.Team, bool) {
	team, ok := index.teams.Get(&route.Team{Name: name})
	if !ok {
		return route.Team{}, false
	}
	return *team, true
}

// Pool returns the pool with the given name.
func (index Index) Pool(name string) (pool.Pool, bool) {
	pl, ok := index.poolsByName[name]
	return pl, ok
}

// Pools returns the table of pools. The caller must not modify it.
func (index Index) Pools() pool.Table { return index.pools }

// Routes returns the table of routes, sorted by name. The caller must not modify
// it. It is built at the first call and shared by later indexes with the same
// routes and teams.
func (index Index) Routes() route.Table { return index.routeTable() }

// lazyRouteTable returns a function that builds the table once, at its first call.
func lazyRouteTable(routes *btree.BTreeG[*route.Route], teams *btree.BTreeG[*route.Team]) func() route.Table {
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
// whatever sequence of changes led to them.
func (index Index) Hash() uint64 { return index.rowsDigest + digest(index.pools) }

// digest returns the hash of a row's encoding. The digest of all routes and
// teams is the sum over their rows, so a changed row costs only two row digests.
func digest(row any) uint64 {
	data, err := codec.Marshal(row)
	if err != nil {
		panic(err) // rows are plain structs, which always encode
	}
	return xxhash.Sum64(data)
}

// clone returns a copy whose routes and teams can be modified.
func (index Index) clone() Index {
	index.routes = index.routes.Clone()
	index.teams = index.teams.Clone()
	index.matchOwners = index.matchOwners.Clone()
	index.references = index.references.Clone()
	index.routeTable = lazyRouteTable(index.routes, index.teams)
	return index
}

func (index *Index) putRoute(rt route.Route) {
	index.removeRoute(rt.Name)
	index.routes.ReplaceOrInsert(&rt)
	index.rowsDigest += digest(rt)
	for _, key := range matchKeys(rt) {
		index.matchOwners.ReplaceOrInsert(matchOwner{key: key, route: rt.Name})
	}
	for _, ref := range referencesOf(rt) {
		index.references.ReplaceOrInsert(ref)
	}
}

func (index *Index) removeRoute(name string) {
	old, ok := index.routes.Delete(&route.Route{Name: name})
	if !ok {
		return
	}
	index.rowsDigest -= digest(*old)
	for _, key := range matchKeys(*old) {
		index.matchOwners.Delete(matchOwner{key: key})
	}
	for _, ref := range referencesOf(*old) {
		index.references.Delete(ref)
	}
}

func (index *Index) putTeam(team route.Team) {
	if old, replaced := index.teams.ReplaceOrInsert(&team); replaced {
		index.rowsDigest -= digest(*old)
	}
	index.rowsDigest += digest(team)
}

func (index *Index) setPools(table pool.Table) {
	index.pools = pool.Table{Domains: nilIfEmpty(table.Domains), Pools: nilIfEmpty(table.Pools)}
	index.poolsByName = lo.SliceToMap(table.Pools, func(pl pool.Pool) (string, pool.Pool) { return pl.Name, pl })
}

// nilIfEmpty returns nil for an empty list, so that nil and empty lists have the
// same digest.
func nilIfEmpty[T any](rows []T) []T {
	if len(rows) == 0 {
		return nil
	}
	return rows
}

func referencesOf(rt route.Route) []reference {
	refs := lo.Map(rt.Pools, func(name string, _ int) reference {
		return reference{kind: referencesPool, target: name, route: rt.Name}
	})
	return append(refs, reference{kind: referencesTeam, target: rt.Team, route: rt.Name})
}

// Rows returns the number of rows in both tables.
func (index Index) Rows() int {
	return index.routes.Len() + index.teams.Len() + len(index.pools.Domains) + len(index.pools.Pools)
}
