// Package bundle reads files of all kinds together and checks them against
// each other.
//
// A top-level member tells what a file is: "routes" or "teams" a table of
// routes, "pools" or "failure_domains" a table of pools, anything else the
// settings of an entry. Settings have "failure_domain", in the singular.
//
// # Usage
//
//	sets, findings := bundle.Load([]bundle.File{{Name: "routes.json", Data: data}, ...})
//
// The files of one directory describe one deployment: a table of each kind at
// most, and the settings of any number of entries.
package bundle

import (
	"fmt"
	"path/filepath"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/config/document"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/config/setting"
	"github.com/oriolepier/oriolepier/internal/config/table"
)

// File is a file's name and content.
type File struct {
	Name string
	Data []byte
}

// Set is what the files of one directory hold.
type Set struct {
	Dir     string
	Routes  *route.Table // nil if there is no such file
	Pools   *pool.Table
	Entries []setting.Entry
}

// group is the files of one directory.
type group struct {
	set        Set
	routesFile string
	poolsFile  string
	routesDoc  *document.Document
	poolsDoc   *document.Document
	entryDocs  []*document.Document
	findings   []table.Finding
	tablesBad  bool
}

// Load reads and checks files. Findings are in the order of the files.
func Load(files []File) ([]Set, []table.Finding) {
	groups := map[string]*group{}
	var order []*group
	for _, file := range files {
		dir := filepath.Dir(file.Name)
		if groups[dir] == nil {
			groups[dir] = &group{set: Set{Dir: dir}}
			order = append(order, groups[dir])
		}
		groups[dir].read(file)
	}
	sets := make([]Set, 0, len(order))
	var findings []table.Finding
	for _, deployment := range order {
		deployment.join()
		sets = append(sets, deployment.set)
		findings = append(findings, deployment.findings...)
	}
	return sets, findings
}

func (g *group) read(file File) {
	doc, findings := document.Parse(file.Name, file.Data, table.MaxFileBytes)
	switch {
	case len(findings) > 0:
		g.findings = append(g.findings, findings...)
	case doc.Member("routes") || doc.Member("teams"):
		g.readRoutes(file)
	case doc.Member("pools") || doc.Member("failure_domains"):
		g.readPools(file)
	default:
		doc, entry, findings := setting.Decode(file.Name, file.Data)
		g.findings = append(g.findings, findings...)
		if len(findings) == 0 {
			g.set.Entries = append(g.set.Entries, entry)
			g.entryDocs = append(g.entryDocs, doc)
		}
	}
}

func (g *group) readRoutes(file File) {
	if g.routesFile != "" {
		g.second(file.Name, "table of routes", g.routesFile)
		return
	}
	g.routesFile = file.Name
	doc, routes, findings := table.DecodeRoutes(file.Name, file.Data)
	g.routesDoc, g.set.Routes = doc, &routes
	g.tablesBad = g.tablesBad || len(findings) > 0
	g.findings = append(g.findings, findings...)
}

func (g *group) readPools(file File) {
	if g.poolsFile != "" {
		g.second(file.Name, "table of pools", g.poolsFile)
		return
	}
	g.poolsFile = file.Name
	doc, pools, findings := table.DecodePools(file.Name, file.Data)
	g.poolsDoc, g.set.Pools = doc, &pools
	g.tablesBad = g.tablesBad || len(findings) > 0
	g.findings = append(g.findings, findings...)
}

func (g *group) second(name, kind, first string) {
	g.findings = append(g.findings, table.Finding{
		File: name, Line: 1, Column: 1, Message: fmt.Sprintf("a second %s beside %s; one directory is one deployment", kind, first),
	})
}

// Checks what holds between the files of the group.
func (g *group) join() {
	if g.tablesBad {
		return
	}
	if g.set.Routes != nil && g.set.Pools != nil {
		g.findings = append(g.findings, table.CheckJoins(g.routesDoc, *g.set.Routes, *g.set.Pools)...)
	}
	if g.set.Pools == nil {
		return
	}
	for at, entry := range g.set.Entries {
		g.joinEntry(g.entryDocs[at], entry)
	}
}

// Checks the settings of an entry against the table of pools.
func (g *group) joinEntry(doc *document.Document, entry setting.Entry) {
	known := lo.SliceToMap(g.set.Pools.Domains, func(domain pool.Domain) (string, bool) { return domain.Name, true })
	if !known[entry.FailureDomain] {
		g.findings = append(g.findings, doc.Locate(table.Finding{
			Field:   "failure_domain",
			Message: fmt.Sprintf("no failure domain %q in %s", entry.FailureDomain, g.poolsFile),
		}))
	}
	entries := len(lo.UniqBy(append(entry.Peers, setting.Peer{Name: entry.Name}), func(peer setting.Peer) string { return peer.Name }))
	for at, pl := range g.set.Pools.Pools {
		if pl.Connections < entries {
			g.findings = append(g.findings, g.poolsDoc.Locate(table.Finding{
				Field:   fmt.Sprintf("pools[%d].connections", at),
				Message: fmt.Sprintf("unsafe: %d connections are fewer than the %d entries of %s", pl.Connections, entries, doc.File()),
			}))
		}
	}
}
