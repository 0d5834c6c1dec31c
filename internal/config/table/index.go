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

// Index holds both tables, valid and ready for checking one changed row. It is
// immutable in use: With methods return another index that shares what did not
// change. With methods of one index must be called by one goroutine; reading
// is free for all.
//
// Routes and teams are kept in order of name; pools keep their order, which
// decides which pool a VM belongs to.
type Index struct {
	routes  *btree.BTreeG[*route.Route]
	teams   *btree.BTreeG[*route.Team]
	matches *btree.BTreeG[claim]
	uses    *btree.BTreeG[use]
	pools   pool.Table
	known   map[string]pool.Pool
	sum     uint64
	list    func() route.Table
}

// claim says that a route takes the requests of a key.
type claim struct {
	key   matchKey
	route string
}

// use says that a route names a pool or a team.
type use struct {
	kind   useKind
	target string
	route  string
}

type useKind int

const (
	usesPool useKind = iota
	usesTeam
)

const degree = 32 // of the trees; a changed path copies a few nodes of 63 pointers

// NewIndex returns the index of two empty tables.
func NewIndex() Index {
	x := Index{
		routes: btree.NewG(degree, func(a, b *route.Route) bool { return a.Name < b.Name }),
		teams:  btree.NewG(degree, func(a, b *route.Team) bool { return a.Name < b.Name }),
		matches: btree.NewG(degree, func(a, b claim) bool {
			return cmp.Or(cmp.Compare(a.key.prefix, b.key.prefix), cmp.Compare(a.key.host, b.key.host), cmp.Compare(a.key.method, b.key.method)) < 0
		}),
		uses: btree.NewG(degree, func(a, b use) bool {
			return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.target, b.target), cmp.Compare(a.route, b.route)) < 0
		}),
	}
	x.list = listOnce(x.routes, x.teams)
	return x
}

// WithTables returns the index of two other tables, or what is wrong with them.
// It costs a check of all rows.
func (index Index) WithTables(routes route.Table, pools pool.Table) (Index, []Finding) {
	if findings := Check(routes, pools); len(findings) > 0 {
		return index, findings
	}
	next := NewIndex()
	next.setPools(pools)
	for at := range routes.Teams {
		next.putTeam(routes.Teams[at])
	}
	for at := range routes.Routes {
		next.putRoute(routes.Routes[at])
	}
	return next, nil
}

// WithRoute returns the index with a new or changed route.
func (index Index) WithRoute(rt route.Route) (Index, []Finding) {
	path := fmt.Sprintf("routes[%s]", rt.Name)
	if findings := append(CheckRoute(rt), checkJoin(rt, index.known)...); len(findings) > 0 {
		return index, under(path, findings)
	}
	row := &report{prefix: path}
	if _, ok := index.Team(rt.Team); !ok {
		row.addf("team", "no team %q in this table", rt.Team)
	}
	for _, key := range matchKeys(rt) {
		if taken, ok := index.matches.Get(claim{key: key}); ok && taken.route != rt.Name {
			row.addf("match", "%s", overlap(taken.route, key))
		}
	}
	if _, ok := index.Route(rt.Name); !ok && index.routes.Len() >= maxRoutes {
		row.addf("", "the limit is %d routes", maxRoutes)
	}
	if len(row.found) > 0 {
		return index, row.found
	}
	next := index.clone()
	next.putRoute(rt)
	return next, nil
}

// WithoutRoute returns the index less a route.
func (index Index) WithoutRoute(name string) (Index, []Finding) {
	if _, ok := index.Route(name); !ok {
		return index, absent("routes", "route", name)
	}
	next := index.clone()
	next.removeRoute(name)
	return next, nil
}

// WithTeam returns the index with a new or changed team.
func (index Index) WithTeam(team route.Team) (Index, []Finding) {
	if findings := CheckTeam(team); len(findings) > 0 {
		return index, under(fmt.Sprintf("teams[%s]", team.Name), findings)
	}
	if _, ok := index.Team(team.Name); !ok && index.teams.Len() >= maxTeams {
		return index, []Finding{{Field: "teams", Message: fmt.Sprintf("the limit is %d teams", maxTeams)}}
	}
	next := index.clone()
	next.putTeam(team)
	return next, nil
}

// WithoutTeam returns the index less a team that no route names.
func (index Index) WithoutTeam(name string) (Index, []Finding) {
	if _, ok := index.Team(name); !ok {
		return index, absent("teams", "team", name)
	}
	if user, ok := index.user(usesTeam, name); ok {
		return index, inUse("teams", "team", name, user)
	}
	next := index.clone()
	gone, _ := next.teams.Delete(&route.Team{Name: name})
	next.sum -= digest(*gone)
	return next, nil
}

// WithPool returns the index with a pool changed in its place, or a new one as
// the last.
func (index Index) WithPool(pl pool.Pool) (Index, []Finding) {
	table := index.pools
	table.Pools = withRow(table.Pools, pl, func(other pool.Pool) bool { return other.Name == pl.Name })
	return index.WithPools(table)
}

// withRow returns the rows with one changed in its place, or added as the last.
func withRow[Row any](rows []Row, row Row, same func(Row) bool) []Row {
	next := slices.Clone(rows)
	at := slices.IndexFunc(next, same)
	if at < 0 {
		return append(next, row)
	}
	next[at] = row
	return next
}

// WithoutPool returns the index less a pool that no route names.
func (index Index) WithoutPool(name string) (Index, []Finding) {
	table := index.pools
	table.Pools = lo.Reject(table.Pools, func(pl pool.Pool, _ int) bool { return pl.Name == name })
	if len(table.Pools) == len(index.pools.Pools) {
		return index, absent("pools", "pool", name)
	}
	return index.WithPools(table)
}

// WithDomain returns the index with a new or changed failure domain.
func (index Index) WithDomain(domain pool.Domain) (Index, []Finding) {
	table := index.pools
	table.Domains = withRow(table.Domains, domain, func(other pool.Domain) bool { return other.Name == domain.Name })
	return index.WithPools(table)
}

// WithoutDomain returns the index less a failure domain that no pool names.
func (index Index) WithoutDomain(name string) (Index, []Finding) {
	table := index.pools
	table.Domains = lo.Reject(table.Domains, func(domain pool.Domain, _ int) bool { return domain.Name == name })
	if len(table.Domains) == len(index.pools.Domains) {
		return index, absent("failure_domains", "failure domain", name)
	}
	return index.WithPools(table)
}

// WithPools returns the index with another table of pools. It costs a check of
// all pools and of the routes whose pools went away or changed their reserve.
func (index Index) WithPools(table pool.Table) (Index, []Finding) {
	if findings := checkPools(table); len(findings) > 0 {
		return index, findings
	}
	next := index
	next.setPools(table)
	for _, old := range index.pools.Pools {
		now, kept := next.known[old.Name]
		if kept && (now.ReservePercent < 100 || old.ReservePercent == 100) {
			continue
		}
		if findings := next.checkUsers(old.Name, kept); len(findings) > 0 {
			return index, findings
		}
	}
	return next, nil
}

// Checks the routes that name a pool; any at all is a fault if it is gone.
func (index Index) checkUsers(target string, kept bool) []Finding {
	var findings []Finding
	index.uses.AscendGreaterOrEqual(use{kind: usesPool, target: target}, func(item use) bool {
		if item.kind != usesPool || item.target != target {
			return false
		}
		if !kept {
			findings = inUse("pools", "pool", target, item.route)
			return false
		}
		rt, _ := index.Route(item.route)
		findings = under(fmt.Sprintf("routes[%s]", rt.Name), checkJoin(rt, index.known))
		return len(findings) == 0
	})
	return findings
}

func (index Index) user(kind useKind, target string) (name string, found bool) {
	index.uses.AscendGreaterOrEqual(use{kind: kind, target: target}, func(item use) bool {
		found = item.kind == kind && item.target == target
		name = item.route
		return false
	})
	return name, found
}

func absent(list, kind, name string) []Finding {
	return []Finding{{Field: fmt.Sprintf("%s[%s]", list, name), Message: fmt.Sprintf("no %s %q to drop", kind, name)}}
}

func inUse(list, kind, name, user string) []Finding {
	return []Finding{{Field: fmt.Sprintf("%s[%s]", list, name), Message: fmt.Sprintf("%s %q is named by route %q", kind, name, user)}}
}
