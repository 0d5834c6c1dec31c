// Package table reads and checks the operators' two tables: the table of
// routes and the table of pools.
//
// The same checks run in the command line before a publish and in every entry
// on every record of the config stream, so that all agree on what is accepted.
//
// # Usage
//
//	routes, findings := table.ParseRoutes("routes.json", data)
//	pools, findings := table.ParsePools("pools.json", data)
//	findings = table.Check(routes, pools)
//
// An entry that follows the config stream keeps an [Index] instead, whose With
// methods check one changed row at a cost that hardly grows with the tables:
//
//	next, findings := index.WithRoute(rt)
//
// Package bundle checks whole sets of files, each finding with its place.
package table

import (
	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/config/document"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Finding is one fault: its place, when it came from a file, and what is wrong.
type Finding = document.Finding

// What stands in a row where the file says nothing.
var (
	defaultRoute = route.Route{
		RetryPercent:    10,
		MaxRequestBytes: 1 << 20,
		MaxAnswerBytes:  16 << 20,
		MaxQueued:       1000,
		MaxAttempts:     5,
	}
	defaultPool = pool.Pool{
		HoldMS:         60_000,
		LeaseMS:        10_000,
		WarmupMS:       10_000,
		MaxMovesPerSec: 50,
	}
	defaultDomain = pool.Domain{Cells: 1}
)

var (
	routeShapes = []document.Shape{
		{Prototype: route.Table{}, Required: []string{"routes", "teams"}},
		{Prototype: defaultRoute, Required: []string{"name", "class", "team", "pools", "deadline_ms"}},
		{Prototype: route.Team{}, Required: []string{"name", "quota"}},
	}
	poolShapes = []document.Shape{
		{Prototype: pool.Table{}, Required: []string{"failure_domains", "pools"}},
		{Prototype: defaultPool, Required: []string{"name", "failure_domains", "slots", "connections"}},
		{Prototype: defaultDomain, Required: []string{"name"}},
	}
)

// ParseRoutes reads a table of routes. The file is an object with the members
// "routes" and "teams". Joins to pools are not checked here.
func ParseRoutes(file string, data []byte) (route.Table, []Finding) {
	doc, findings := document.Parse(file, data, MaxFileBytes)
	if len(findings) > 0 {
		return route.Table{}, findings
	}
	return DecodeRoutes(doc)
}

// ParsePools reads a table of pools. The file is an object with the members
// "failure_domains" and "pools".
func ParsePools(file string, data []byte) (pool.Table, []Finding) {
	doc, findings := document.Parse(file, data, MaxFileBytes)
	if len(findings) > 0 {
		return pool.Table{}, findings
	}
	return DecodePools(doc)
}

// Check reports every fault of the two tables together: of single rows, of
// names, of joins, and combinations that are unsafe. Findings have no place.
func Check(routes route.Table, pools pool.Table) []Finding {
	findings := append(checkRoutes(routes), checkPools(pools)...)
	return append(findings, checkJoins(routes, pools)...)
}

// CheckJoins reports the faults between two tables that are good by themselves,
// at their places in the file of routes.
func CheckJoins(doc *document.Document, routes route.Table, pools pool.Table) []Finding {
	return locate(doc, checkJoins(routes, pools))
}

// DecodeRoutes is ParseRoutes of a document whose syntax was read before.
func DecodeRoutes(doc *document.Document) (route.Table, []Finding) {
	var table route.Table
	if findings := doc.Decode(&table, routeShapes...); len(findings) > 0 {
		return table, findings
	}
	for at := range table.Routes {
		table.Routes[at] = settleClass(doc, table.Routes[at], at)
	}
	return table, locate(doc, checkRoutes(table))
}

// DecodePools is ParsePools of a document whose syntax was read before.
func DecodePools(doc *document.Document) (pool.Table, []Finding) {
	var table pool.Table
	if findings := doc.Decode(&table, poolShapes...); len(findings) > 0 {
		return table, findings
	}
	return table, locate(doc, checkPools(table))
}

// Clears the defaults that do not apply to a row's class, so that a row reads
// the same whichever way it was written.
func settleClass(doc *document.Document, rt route.Route, at int) route.Route {
	if rt.Class == route.Batch && !doc.Has(routeField(at, "retry_percent")) {
		rt.RetryPercent = 0
	}
	if rt.Class == route.Urgent && !doc.Has(routeField(at, "max_attempts")) {
		rt.MaxAttempts = 0
	}
	return rt
}

func locate(doc *document.Document, findings []Finding) []Finding {
	placed := lo.Map(findings, func(finding Finding, _ int) Finding { return doc.Locate(finding) })
	document.Sort(placed)
	return placed
}
