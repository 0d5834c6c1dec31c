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
func (x Index) WithTables(routes route.Table, pools pool.Table) (Index, []Finding) {
	if findings := Check(routes, pools); len(findings) > 0 {
		return x, findings
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
func (x Index) WithRoute(rt route.Route) (Index, []Finding) {
	path := fmt.Sprintf("routes[%s]", rt.Name)
	if findings := append(CheckRoute(rt), checkJoin(rt, x.known)...); len(findings) > 0 {
		return x, under(path, findings)
	}
	row := &report{prefix: path}
	if _, ok := x.Team(rt.Team); !ok {
		row.addf("team", "no team %q in this table", rt.Team)
	}
	for _, key := range matchKeys(rt) {
		if taken, ok := x.matches.Get(claim{key: key}); ok && taken.route != rt.Name {
			row.addf("match", "%s", overlap(taken.route, key))
		}
	}
	if _, ok := x.Route(rt.Name); !ok && x.routes.Len() >= maxRoutes {
		row.addf("", "the limit is %d routes", maxRoutes)
	}
	if len(row.found) > 0 {
		return x, row.found
	}
	next := x.clone()
	next.putRoute(rt)
	return next, nil
}

// WithoutRoute returns the index less a route.
func (x Index) WithoutRoute(name string) (Index, []Finding) {
	if _, ok := x.Route(name); !ok {
		return x, absent("routes", "route", name)
	}
	next := x.clone()
	next.removeRoute(name)
	return next, nil
}

// WithTeam returns the index with a new or changed team.
func (x Index) WithTeam(team route.Team) (Index, []Finding) {
	if findings := CheckTeam(team); len(findings) > 0 {
		return x, under(fmt.Sprintf("teams[%s]", team.Name), findings)
	}
	if _, ok := x.Team(team.Name); !ok && x.teams.Len() >= maxTeams {
		return x, []Finding{{Field: "teams", Message: fmt.Sprintf("the limit is %d teams", maxTeams)}}
	}
	next := x.clone()
	next.putTeam(team)
	return next, nil
}

// WithoutTeam returns the index less a team that no route names.
func (x Index) WithoutTeam(name string) (Index, []Finding) {
	if _, ok := x.Team(name); !ok {
		return x, absent("teams", "team", name)
	}
	if user, ok := x.user(usesTeam, name); ok {
		return x, inUse("teams", "team", name, user)
	}
	next := x.clone()
	gone, _ := next.teams.Delete(&route.Team{Name: name})
	next.sum -= digest(*gone)
	return next, nil
}

// WithPool returns the index with a pool changed in its place, or a new one as
// the last.
func (x Index) WithPool(pl pool.Pool) (Index, []Finding) {
	table := x.pools
	table.Pools = slices.Clone(table.Pools)
	at := slices.IndexFunc(table.Pools, func(other pool.Pool) bool { return other.Name == pl.Name })
	if at < 0 {
		table.Pools = append(table.Pools, pl)
	} else {
		table.Pools[at] = pl
	}
	return x.WithPools(table)
}

// WithoutPool returns the index less a pool that no route names.
func (x Index) WithoutPool(name string) (Index, []Finding) {
	table := x.pools
	table.Pools = lo.Reject(table.Pools, func(pl pool.Pool, _ int) bool { return pl.Name == name })
	if len(table.Pools) == len(x.pools.Pools) {
		return x, absent("pools", "pool", name)
	}
	return x.WithPools(table)
}

// WithDomain returns the index with a new or changed failure domain.
func (x Index) WithDomain(domain pool.Domain) (Index, []Finding) {
	table := x.pools
	table.Domains = slices.Clone(table.Domains)
	at := slices.IndexFunc(table.Domains, func(other pool.Domain) bool { return other.Name == domain.Name })
	if at < 0 {
		table.Domains = append(table.Domains, domain)
	} else {
		table.Domains[at] = domain
	}
	return x.WithPools(table)
}

// WithoutDomain returns the index less a failure domain that no pool names.
func (x Index) WithoutDomain(name string) (Index, []Finding) {
	table := x.pools
	table.Domains = lo.Reject(table.Domains, func(domain pool.Domain, _ int) bool { return domain.Name == name })
	if len(table.Domains) == len(x.pools.Domains) {
		return x, absent("failure_domains", "failure domain", name)
	}
	return x.WithPools(table)
}

// WithPools returns the index with another table of pools. It costs a check of
// all pools and of the routes whose pools went away or changed their reserve.
func (x Index) WithPools(table pool.Table) (Index, []Finding) {
	if findings := checkPools(table); len(findings) > 0 {
		return x, findings
	}
	next := x
	next.setPools(table)
	for _, old := range x.pools.Pools {
		now, kept := next.known[old.Name]
		if kept && (now.ReservePercent < 100 || old.ReservePercent == 100) {
			continue
		}
		if findings := next.checkUsers(old.Name, kept); len(findings) > 0 {
			return x, findings
		}
	}
	return next, nil
}

// Checks the routes that name a pool; any at all is a fault if it is gone.
func (x Index) checkUsers(target string, kept bool) []Finding {
	var findings []Finding
	x.uses.AscendGreaterOrEqual(use{kind: usesPool, target: target}, func(item use) bool {
		if item.kind != usesPool || item.target != target {
			return false
		}
		if !kept {
			findings = inUse("pools", "pool", target, item.route)
			return false
		}
		rt, _ := x.Route(item.route)
		findings = under(fmt.Sprintf("routes[%s]", rt.Name), checkJoin(rt, x.known))
		return len(findings) == 0
	})
	return findings
}

func (x Index) user(kind useKind, target string) (name string, found bool) {
	x.uses.AscendGreaterOrEqual(use{kind: kind, target: target}, func(item use) bool {
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
