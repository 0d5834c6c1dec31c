// Package table reads and validates the operators' two tables: the table of
// routes and the table of pools.
//
// The command line runs these checks before a publish. Entries do not repeat
// them: they decode a published release as it is.
//
// # Usage
//
//	routes, findings := table.ParseRoutes("routes.json", data)
//	pools, findings := table.ParsePools("pools.json", data)
//	findings = table.Check(routes, pools)
//
// The With methods of an [Index] check one changed row at a cost that hardly
// grows with the tables. No other package uses it at present:
//
//	next, findings := index.WithRoute(rt)
//
// Package bundle checks sets of files and gives the file, line and column of
// each finding.
package table

import (
	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/config/document"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Finding is one problem found in a table, with its position if it was read from a file.
type Finding = document.Finding

// Default values of the fields that a file omits.
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
// "routes" and "teams". References to pools are not checked here; see [Check].
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

// Check returns all findings of the two tables: invalid rows, duplicate names,
// unknown references and unsafe combinations. Findings have no file position.
func Check(routes route.Table, pools pool.Table) []Finding {
	findings := append(checkRoutes(routes), checkPools(pools)...)
	return append(findings, checkReferences(routes, pools)...)
}

// CheckReferences checks the references between two tables that are each valid.
// Findings have their positions in the file of routes.
func CheckReferences(doc *document.Document, routes route.Table, pools pool.Table) []Finding {
	return locate(doc, checkReferences(routes, pools))
}

// DecodeRoutes is [ParseRoutes] for a document whose syntax is already parsed.
func DecodeRoutes(doc *document.Document) (route.Table, []Finding) {
	var table route.Table
	if findings := doc.Decode(&table, routeShapes...); len(findings) > 0 {
		return table, findings
	}
	for i := range table.Routes {
		table.Routes[i] = clearClassDefaults(doc, table.Routes[i], i)
	}
	return table, locate(doc, checkRoutes(table))
}

// DecodePools is [ParsePools] for a document whose syntax is already parsed.
func DecodePools(doc *document.Document) (pool.Table, []Finding) {
	var table pool.Table
	if findings := doc.Decode(&table, poolShapes...); len(findings) > 0 {
		return table, findings
	}
	return table, locate(doc, checkPools(table))
}

// clearClassDefaults clears the defaults that do not apply to the route's class,
// so that a route decodes to the same value however it was written:
// retry_percent is for urgent routes only, max_attempts for batch routes only.
func clearClassDefaults(doc *document.Document, rt route.Route, i int) route.Route {
	if rt.Class == route.Batch && !doc.Has(routeField(i, "retry_percent")) {
		rt.RetryPercent = 0
	}
	if rt.Class == route.Urgent && !doc.Has(routeField(i, "max_attempts")) {
		rt.MaxAttempts = 0
	}
	return rt
}

// locate fills in the file positions of findings and sorts them.
func locate(doc *document.Document, findings []Finding) []Finding {
	located := lo.Map(findings, func(finding Finding, _ int) Finding { return doc.Locate(finding) })
	document.Sort(located)
	return located
}
