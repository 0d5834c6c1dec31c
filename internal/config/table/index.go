package table

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/google/btree"
	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Index holds both tables after validation and checks a single changed row
// against them. It is immutable: With and Without methods return a new index
// that shares unchanged rows. Those methods of one index must be called by one
// goroutine at a time; any number of goroutines may read.
//
// Routes and teams are sorted by name. Pools keep the order of their table,
// which decides the pool that a VM belongs to.
type Index struct {
	routes      *btree.BTreeG[*route.Route]
	teams       *btree.BTreeG[*route.Team]
	matchOwners *btree.BTreeG[matchOwner]
	references  *btree.BTreeG[reference]
	pools       pool.Table
	poolsByName map[string]pool.Pool
	rowsDigest  uint64 // sum of the digests of all routes and teams
	routeTable  func() route.Table
}

// matchOwner is the route that takes the requests of a match key.
type matchOwner struct {
	key   matchKey
	route string
}

// reference is a pool or team that a route names.
type reference struct {
	kind   referenceKind
	target string
	route  string
}

type referenceKind int

const (
	referencesPool referenceKind = iota
	referencesTeam
)

const treeDegree = 32 // a changed row copies a path of a few nodes with up to 63 pointers each

// NewIndex returns an index of two empty tables.
func NewIndex() Index {
	index := Index{
		routes: btree.NewG(treeDegree, func(a, b *route.Route) bool { return a.Name < b.Name }),
		teams:  btree.NewG(treeDegree, func(a, b *route.Team) bool { return a.Name < b.Name }),
		matchOwners: btree.NewG(treeDegree, func(a, b matchOwner) bool {
			return cmp.Or(cmp.Compare(a.key.prefix, b.key.prefix), cmp.Compare(a.key.host, b.key.host), cmp.Compare(a.key.method, b.key.method)) < 0
		}),
		references: btree.NewG(treeDegree, func(a, b reference) bool {
			return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.target, b.target), cmp.Compare(a.route, b.route)) < 0
		}),
	}
	index.routeTable = lazyRouteTable(index.routes, index.teams)
	return index
}

// WithTables returns an index of two new tables, or the findings that reject
// them. It checks every row.
func (index Index) WithTables(routes route.Table, pools pool.Table) (Index, []Finding) {
	if findings := Check(routes, pools); len(findings) > 0 {
		return index, findings
	}
	next := NewIndex()
	next.setPools(pools)
	for i := range routes.Teams {
		next.putTeam(routes.Teams[i])
	}
	for i := range routes.Routes {
		next.putRoute(routes.Routes[i])
	}
	return next, nil
}

// WithRoute returns an index with the route added or replaced.
func (index Index) WithRoute(rt route.Route) (Index, []Finding) {
	path := fmt.Sprintf("routes[%s]", rt.Name)
	if findings := append(CheckRoute(rt), checkPoolReferences(rt, index.poolsByName)...); len(findings) > 0 {
		return index, withPrefix(path, findings)
	}
	c := &checker{prefix: path}
	if _, ok := index.Team(rt.Team); !ok {
		c.addf("team", "no team %q in this table", rt.Team)
	}
	for _, key := range matchKeys(rt) {
		if existing, ok := index.matchOwners.Get(matchOwner{key: key}); ok && existing.route != rt.Name {
			c.addf("match", "%s", overlapMessage(existing.route, key))
		}
	}
	if _, ok := index.Route(rt.Name); !ok && index.routes.Len() >= maxRoutes {
		c.addf("", "the limit is %d routes", maxRoutes)
	}
	if len(c.found) > 0 {
		return index, c.found
	}
	next := index.clone()
	next.putRoute(rt)
	return next, nil
}

// WithoutRoute returns an index without the route.
func (index Index) WithoutRoute(name string) (Index, []Finding) {
	if _, ok := index.Route(name); !ok {
		return index, notFound("routes", "route", name)
	}
	next := index.clone()
	next.removeRoute(name)
	return next, nil
}

// WithTeam returns an index with the team added or replaced.
func (index Index) WithTeam(team route.Team) (Index, []Finding) {
	if findings := CheckTeam(team); len(findings) > 0 {
		return index, withPrefix(fmt.Sprintf("teams[%s]", team.Name), findings)
	}
	if _, ok := index.Team(team.Name); !ok && index.teams.Len() >= maxTeams {
		return index, []Finding{{Field: "teams", Message: fmt.Sprintf("the limit is %d teams", maxTeams)}}
	}
	next := index.clone()
	next.putTeam(team)
	return next, nil
}

// WithoutTeam returns an index without the team. It fails while a route names
// the team.
func (index Index) WithoutTeam(name string) (Index, []Finding) {
	if _, ok := index.Team(name); !ok {
		return index, notFound("teams", "team", name)
	}
	if referrer, ok := index.referrer(referencesTeam, name); ok {
		return index, stillReferenced("teams", "team", name, referrer)
	}
	next := index.clone()
	deleted, _ := next.teams.Delete(&route.Team{Name: name})
	next.rowsDigest -= digest(*deleted)
	return next, nil
}

// WithPool returns an index with the pool replaced at its position, or appended
// if it is new.
func (index Index) WithPool(pl pool.Pool) (Index, []Finding) {
	table := index.pools
	table.Pools = upsertRow(table.Pools, pl, func(other pool.Pool) bool { return other.Name == pl.Name })
	return index.WithPools(table)
}

// upsertRow returns a copy of rows in which row replaces the first match of same,
// or is appended if there is none.
func upsertRow[Row any](rows []Row, row Row, same func(Row) bool) []Row {
	next := slices.Clone(rows)
	i := slices.IndexFunc(next, same)
	if i < 0 {
		return append(next, row)
	}
	next[i] = row
	return next
}

// WithoutPool returns an index without the pool. It fails while a route names
// the pool.
func (index Index) WithoutPool(name string) (Index, []Finding) {
	table := index.pools
	table.Pools = lo.Reject(table.Pools, func(pl pool.Pool, _ int) bool { return pl.Name == name })
	if len(table.Pools) == len(index.pools.Pools) {
		return index, notFound("pools", "pool", name)
	}
	return index.WithPools(table)
}

// WithDomain returns an index with the failure domain added or replaced.
func (index Index) WithDomain(domain pool.Domain) (Index, []Finding) {
	table := index.pools
	table.Domains = upsertRow(table.Domains, domain, func(other pool.Domain) bool { return other.Name == domain.Name })
	return index.WithPools(table)
}

// WithoutDomain returns an index without the failure domain. It fails while a
// pool names the domain.
func (index Index) WithoutDomain(name string) (Index, []Finding) {
	table := index.pools
	table.Domains = lo.Reject(table.Domains, func(domain pool.Domain, _ int) bool { return domain.Name == name })
	if len(table.Domains) == len(index.pools.Domains) {
		return index, notFound("failure_domains", "failure domain", name)
	}
	return index.WithPools(table)
}

// WithPools returns an index with another table of pools. It checks all pools,
// and the routes that name a pool which was removed or whose reserve rose to
// 100 percent.
func (index Index) WithPools(table pool.Table) (Index, []Finding) {
	if findings := checkPools(table); len(findings) > 0 {
		return index, findings
	}
	next := index
	next.setPools(table)
	for _, old := range index.pools.Pools {
		updated, exists := next.poolsByName[old.Name]
		if exists && (updated.ReservePercent < 100 || old.ReservePercent == 100) {
			continue
		}
		if findings := next.checkReferrers(old.Name, exists); len(findings) > 0 {
			return index, findings
		}
	}
	return next, nil
}

// checkReferrers checks the routes that name a pool. If the pool no longer
// exists, any such route is reported. It stops at the first route with findings.
func (index Index) checkReferrers(target string, exists bool) []Finding {
	var findings []Finding
	index.references.AscendGreaterOrEqual(reference{kind: referencesPool, target: target}, func(ref reference) bool {
		if ref.kind != referencesPool || ref.target != target {
			return false
		}
		if !exists {
			findings = stillReferenced("pools", "pool", target, ref.route)
			return false
		}
		rt, _ := index.Route(ref.route)
		findings = withPrefix(fmt.Sprintf("routes[%s]", rt.Name), checkPoolReferences(rt, index.poolsByName))
		return len(findings) == 0
	})
	return findings
}

// referrer returns a route that names the target, if there is one.
func (index Index) referrer(kind referenceKind, target string) (name string, found bool) {
	index.references.AscendGreaterOrEqual(reference{kind: kind, target: target}, func(ref reference) bool {
		found = ref.kind == kind && ref.target == target
		name = ref.route
		return false
	})
	return name, found
}

func notFound(list, kind, name string) []Finding {
	return []Finding{{Field: fmt.Sprintf("%s[%s]", list, name), Message: fmt.Sprintf("no %s %q to drop", kind, name)}}
}

func stillReferenced(list, kind, name, referrer string) []Finding {
	return []Finding{{Field: fmt.Sprintf("%s[%s]", list, name), Message: fmt.Sprintf("%s %q is named by route %q", kind, name, referrer)}}
}
