// Package bundle reads configuration files of all kinds and checks them against
// each other.
//
// The top-level members determine the kind of a file: "routes" or "teams" mark a
// table of routes, "pools" or "failure_domains" a table of pools. Any other file
// holds the settings of an entry, which have "failure_domain" in the singular.
//
// # Usage
//
//	sets, findings := bundle.Load([]bundle.File{{Name: "routes.json", Data: data}, ...})
//
// The files of one directory describe one deployment: at most one table of each
// kind, and the settings of any number of entries.
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

// File is the name and content of a file.
type File struct {
	Name string
	Data []byte
}

// Set is the configuration in the files of one directory.
type Set struct {
	Dir     string
	Routes  *route.Table // nil if there is no table of routes
	Pools   *pool.Table  // nil if there is no table of pools
	Entries []setting.Entry
}

// deployment is the state of reading the files of one directory.
type deployment struct {
	set           Set
	routesFile    string
	poolsFile     string
	routesDoc     *document.Document
	poolsDoc      *document.Document
	entryDocs     []*document.Document
	findings      []table.Finding
	tablesInvalid bool // a table has findings of its own, so references are not checked
}

// Load reads and checks files. Findings are grouped by directory, in the order of
// the files; those between files come last in their group.
func Load(files []File) ([]Set, []table.Finding) {
	byDirectory := map[string]*deployment{}
	var deployments []*deployment
	for _, file := range files {
		dir := filepath.Dir(file.Name)
		if byDirectory[dir] == nil {
			byDirectory[dir] = &deployment{set: Set{Dir: dir}}
			deployments = append(deployments, byDirectory[dir])
		}
		byDirectory[dir].read(file)
	}
	sets := make([]Set, 0, len(deployments))
	var findings []table.Finding
	for _, current := range deployments {
		current.checkReferences()
		sets = append(sets, current.set)
		findings = append(findings, current.findings...)
	}
	return sets, findings
}

func (d *deployment) read(file File) {
	doc, findings := document.Parse(file.Name, file.Data, table.MaxFileBytes)
	switch {
	case len(findings) > 0:
		d.findings = append(d.findings, findings...)
	case doc.HasMember("routes") || doc.HasMember("teams"):
		d.readRoutes(doc)
	case doc.HasMember("pools") || doc.HasMember("failure_domains"):
		d.readPools(doc)
	default:
		entry, findings := setting.Decode(doc)
		d.findings = append(d.findings, findings...)
		if len(findings) == 0 {
			d.set.Entries = append(d.set.Entries, entry)
			d.entryDocs = append(d.entryDocs, doc)
		}
	}
}

func (d *deployment) readRoutes(doc *document.Document) {
	if d.routesFile != "" {
		d.reportDuplicate(doc.File(), "table of routes", d.routesFile)
		return
	}
	d.routesFile = doc.File()
	routes, findings := table.DecodeRoutes(doc)
	d.routesDoc, d.set.Routes = doc, &routes
	d.tablesInvalid = d.tablesInvalid || len(findings) > 0
	d.findings = append(d.findings, findings...)
}

func (d *deployment) readPools(doc *document.Document) {
	if d.poolsFile != "" {
		d.reportDuplicate(doc.File(), "table of pools", d.poolsFile)
		return
	}
	d.poolsFile = doc.File()
	pools, findings := table.DecodePools(doc)
	d.poolsDoc, d.set.Pools = doc, &pools
	d.tablesInvalid = d.tablesInvalid || len(findings) > 0
	d.findings = append(d.findings, findings...)
}

func (d *deployment) reportDuplicate(name, kind, firstFile string) {
	d.findings = append(d.findings, table.Finding{
		File: name, Line: 1, Column: 1, Message: fmt.Sprintf("a second %s beside %s; one directory is one deployment", kind, firstFile),
	})
}

// checkReferences checks the references between the files of the directory.
func (d *deployment) checkReferences() {
	if d.tablesInvalid {
		return
	}
	if d.set.Routes != nil && d.set.Pools != nil {
		d.findings = append(d.findings, table.CheckReferences(d.routesDoc, *d.set.Routes, *d.set.Pools)...)
	}
	if d.set.Pools == nil {
		return
	}
	for i, entry := range d.set.Entries {
		d.checkEntry(d.entryDocs[i], entry)
	}
}

// checkEntry checks the settings of an entry against the table of pools: its
// failure domain must exist, and each pool needs a connection for every entry.
func (d *deployment) checkEntry(doc *document.Document, entry setting.Entry) {
	knownDomains := lo.SliceToMap(d.set.Pools.Domains, func(domain pool.Domain) (string, bool) { return domain.Name, true })
	if !knownDomains[entry.FailureDomain] {
		d.findings = append(d.findings, doc.Locate(table.Finding{
			Field:   "failure_domain",
			Message: fmt.Sprintf("no failure domain %q in %s", entry.FailureDomain, d.poolsFile),
		}))
	}
	entries := len(lo.UniqBy(append(entry.Peers, setting.Peer{Name: entry.Name}), func(peer setting.Peer) string { return peer.Name }))
	for i, pl := range d.set.Pools.Pools {
		if pl.Connections < entries {
			d.findings = append(d.findings, d.poolsDoc.Locate(table.Finding{
				Field:   fmt.Sprintf("pools[%d].connections", i),
				Message: fmt.Sprintf("unsafe: %d connections are fewer than the %d entries of %s", pl.Connections, entries, doc.File()),
			}))
		}
	}
}
