package ledger

import (
	"reflect"
	"slices"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Diff returns the edits that turn the tables in force into others, row by
// row, so that operators of other rows are not disturbed. Edits come in an
// order in which each leaves valid tables where that can be; exchanges of
// matches or of pool order may need a Replace.
func Diff(now, wanted Tables) []Edit {
	edits := dropRoutes(now.Routes, wanted.Routes)
	edits = append(edits, diffPools(now.Pools, union(now.Pools, wanted.Pools))...)
	for _, team := range changedRows(now.Routes.Teams, wanted.Routes.Teams, teamName) {
		edits = append(edits, Edit{PutTeam: &team})
	}
	for _, rt := range changedRows(now.Routes.Routes, wanted.Routes.Routes, routeName) {
		edits = append(edits, Edit{PutRoute: &rt})
	}
	for _, team := range goneRows(now.Routes.Teams, wanted.Routes.Teams, teamName) {
		edits = append(edits, Edit{DropTeam: team.Name})
	}
	for _, pl := range goneRows(now.Pools.Pools, wanted.Pools.Pools, poolName) {
		edits = append(edits, Edit{DropPool: pl.Name})
	}
	for _, domain := range goneRows(now.Pools.Domains, wanted.Pools.Domains, domainName) {
		edits = append(edits, Edit{DropDomain: domain.Name})
	}
	return edits
}

func routeName(rt route.Route) string      { return rt.Name }
func teamName(team route.Team) string      { return team.Name }
func poolName(pl pool.Pool) string         { return pl.Name }
func domainName(domain pool.Domain) string { return domain.Name }
func names[T any](rows []T, name func(T) string) []string {
	return lo.Map(rows, func(row T, _ int) string { return name(row) })
}

func dropRoutes(now, wanted route.Table) []Edit {
	return lo.Map(goneRows(now.Routes, wanted.Routes, routeName), func(rt route.Route, _ int) Edit {
		return Edit{DropRoute: rt.Name}
	})
}

// Returns the wanted pools followed by those that have to go, which may still
// be named by routes.
func union(now, wanted pool.Table) pool.Table {
	return pool.Table{
		Domains: slices.Concat(wanted.Domains, goneRows(now.Domains, wanted.Domains, domainName)),
		Pools:   slices.Concat(wanted.Pools, goneRows(now.Pools, wanted.Pools, poolName)),
	}
}

// Pools and failure domains that only change in place or come last are single
// edits; any other change is of the whole table of pools.
func diffPools(now, wanted pool.Table) []Edit {
	inPlace := slices.Equal(names(now.Pools, poolName), lo.Subset(names(wanted.Pools, poolName), 0, uint(len(now.Pools)))) &&
		slices.Equal(names(now.Domains, domainName), lo.Subset(names(wanted.Domains, domainName), 0, uint(len(now.Domains))))
	if !inPlace {
		return []Edit{{Pools: &wanted}}
	}
	var edits []Edit
	for _, domain := range changedRows(now.Domains, wanted.Domains, domainName) {
		edits = append(edits, Edit{PutDomain: &domain})
	}
	for _, pl := range changedRows(now.Pools, wanted.Pools, poolName) {
		edits = append(edits, Edit{PutPool: &pl})
	}
	return edits
}

// Returns the wanted rows that are new or differ.
func changedRows[T any](now, wanted []T, name func(T) string) []T {
	old := lo.KeyBy(now, name)
	return lo.Filter(wanted, func(row T, _ int) bool {
		before, ok := old[name(row)]
		return !ok || !reflect.DeepEqual(before, row)
	})
}

// Returns the rows in force that are not wanted.
func goneRows[T any](now, wanted []T, name func(T) string) []T {
	kept := lo.KeyBy(wanted, name)
	return lo.Reject(now, func(row T, _ int) bool { return lo.HasKey(kept, name(row)) })
}
