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

func (dir *group) read(file File) {
	doc, findings := document.Parse(file.Name, file.Data, table.MaxFileBytes)
	switch {
	case len(findings) > 0:
		dir.findings = append(dir.findings, findings...)
	case doc.Member("routes") || doc.Member("teams"):
		dir.readRoutes(doc)
	case doc.Member("pools") || doc.Member("failure_domains"):
		dir.readPools(doc)
	default:
		entry, findings := setting.Decode(doc)
		dir.findings = append(dir.findings, findings...)
		if len(findings) == 0 {
			dir.set.Entries = append(dir.set.Entries, entry)
			dir.entryDocs = append(dir.entryDocs, doc)
		}
	}
}

func (dir *group) readRoutes(doc *document.Document) {
	if dir.routesFile != "" {
		dir.second(doc.File(), "table of routes", dir.routesFile)
		return
	}
	dir.routesFile = doc.File()
	routes, findings := table.DecodeRoutes(doc)
	dir.routesDoc, dir.set.Routes = doc, &routes
	dir.tablesBad = dir.tablesBad || len(findings) > 0
	dir.findings = append(dir.findings, findings...)
}

func (dir *group) readPools(doc *document.Document) {
	if dir.poolsFile != "" {
		dir.second(doc.File(), "table of pools", dir.poolsFile)
		return
	}
	dir.poolsFile = doc.File()
	pools, findings := table.DecodePools(doc)
	dir.poolsDoc, dir.set.Pools = doc, &pools
	dir.tablesBad = dir.tablesBad || len(findings) > 0
	dir.findings = append(dir.findings, findings...)
}

func (dir *group) second(name, kind, first string) {
	dir.findings = append(dir.findings, table.Finding{
		File: name, Line: 1, Column: 1, Message: fmt.Sprintf("a second %s beside %s; one directory is one deployment", kind, first),
	})
}

// Checks what holds between the files of the group.
func (dir *group) join() {
	if dir.tablesBad {
		return
	}
	if dir.set.Routes != nil && dir.set.Pools != nil {
		dir.findings = append(dir.findings, table.CheckJoins(dir.routesDoc, *dir.set.Routes, *dir.set.Pools)...)
	}
	if dir.set.Pools == nil {
		return
	}
	for at, entry := range dir.set.Entries {
		dir.joinEntry(dir.entryDocs[at], entry)
	}
}

// Checks the settings of an entry against the table of pools.
func (dir *group) joinEntry(doc *document.Document, entry setting.Entry) {
	known := lo.SliceToMap(dir.set.Pools.Domains, func(domain pool.Domain) (string, bool) { return domain.Name, true })
	if !known[entry.FailureDomain] {
		dir.findings = append(dir.findings, doc.Locate(table.Finding{
			Field:   "failure_domain",
			Message: fmt.Sprintf("no failure domain %q in %s", entry.FailureDomain, dir.poolsFile),
		}))
	}
	entries := len(lo.UniqBy(append(entry.Peers, setting.Peer{Name: entry.Name}), func(peer setting.Peer) string { return peer.Name }))
	for at, pl := range dir.set.Pools.Pools {
		if pl.Connections < entries {
			dir.findings = append(dir.findings, dir.poolsDoc.Locate(table.Finding{
				Field:   fmt.Sprintf("pools[%d].connections", at),
				Message: fmt.Sprintf("unsafe: %d connections are fewer than the %d entries of %s", pl.Connections, entries, doc.File()),
			}))
		}
	}
}
