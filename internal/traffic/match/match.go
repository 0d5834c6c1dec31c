// Package match finds the route of a request in a compiled, immutable table.
//
// A lookup hashes the request's path once per segment, longest prefix first,
// so its cost depends on the depth of the path and not on the number of
// routes.
//
// The order between routes that all take a request: one that names the host
// goes before one that takes any host, then the longer path prefix, then one
// that names the method, then the earlier row.
//
// # Usage
//
//	table := match.New(snapshot.Routes) // once per version of the configuration
//	found := table.Find(request.Host, request.URL.Path, request.Method)
//	if found.Route == nil { ... }
package match

import (
	"slices"
	"strings"

	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Table is a compiled route table. It is immutable and safe for many
// goroutines.
type Table struct {
	hosts map[string]*prefixes // by host in lower case
	any   *prefixes            // routes that name no host
}

// prefixes holds the routes of one host by path prefix without the trailing
// slash; the root is "".
type prefixes struct {
	rows  map[string]*entry // first in order of preference
	depth int               // segments of the deepest prefix
}

// entry is a route in the list of its prefix.
type entry struct {
	row  *route.Route
	next *entry
}

// Found is the result of a lookup.
type Found struct {
	Route *route.Route // nil when no route takes the request
	Allow []string     // methods that routes of this path take, when only the method did not fit
}

// New compiles a table. The routes are copied.
func New(routes []route.Route) *Table {
	table := &Table{hosts: map[string]*prefixes{}, any: newPrefixes(len(routes))}
	rows := slices.Clone(routes)
	entries := make([]entry, len(rows))
	for i := range rows {
		if takesNoRequests(rows[i]) {
			continue
		}
		entries[i].row = &rows[i]
		table.of(rows[i].Match.Host).add(&entries[i])
	}
	return table
}

// takesNoRequests reports whether a route is for tasks alone: an empty match
// would take every path.
func takesNoRequests(row route.Route) bool {
	where := row.Match
	return row.Class == route.Batch && where.Host == "" && where.PathPrefix == "" && len(where.Methods) == 0
}

func newPrefixes(size int) *prefixes { return &prefixes{rows: make(map[string]*entry, size)} }

// of returns the routes of a host, an empty one for those that name none.
func (table *Table) of(host string) *prefixes {
	if host == "" {
		return table.any
	}
	host = Host(host)
	if table.hosts[host] == nil {
		table.hosts[host] = newPrefixes(0)
	}
	return table.hosts[host]
}

// add puts a route behind those of its prefix that go before it.
func (set *prefixes) add(added *entry) {
	prefix := strings.TrimRight(added.row.Match.PathPrefix, "/")
	set.depth = max(set.depth, strings.Count(prefix, "/"))
	before := set.rows[prefix]
	if before == nil || (anyMethod(before.row) && !anyMethod(added.row)) {
		added.next = before
		set.rows[prefix] = added
		return
	}
	for before.next != nil && (anyMethod(added.row) || !anyMethod(before.next.row)) {
		before = before.next
	}
	added.next, before.next = before.next, added
}

func anyMethod(row *route.Route) bool { return len(row.Match.Methods) == 0 }

// Find returns the route that takes a request. The host may carry a port; the
// path is the decoded one.
func (table *Table) Find(host, path, method string) Found {
	var found Found
	if set := table.hosts[Host(host)]; set != nil {
		found = set.find(path, method)
	}
	if found.Route != nil {
		return found
	}
	rest := table.any.find(path, method)
	rest.Allow = append(rest.Allow, found.Allow...)
	return rest
}

func (set *prefixes) find(path, method string) Found {
	var allow []string
	for prefix := head(path, set.depth); ; prefix = parent(prefix) {
		for each := set.rows[prefix]; each != nil; each = each.next {
			if takes(each.row, method) {
				return Found{Route: each.row}
			}
			allow = append(allow, each.row.Match.Methods...)
		}
		if prefix == "" {
			return Found{Allow: allow}
		}
	}
}

// head returns the first segments of a path, without a trailing slash.
func head(path string, segments int) string {
	for i := range len(path) {
		if path[i] != '/' {
			continue
		}
		if segments == 0 || i == len(path)-1 {
			return path[:i]
		}
		segments--
	}
	return path
}

func parent(prefix string) string { return prefix[:max(strings.LastIndexByte(prefix, '/'), 0)] }

func takes(row *route.Route, method string) bool {
	return len(row.Match.Methods) == 0 || slices.Contains(row.Match.Methods, method)
}

// Host returns a host as routes name it: in lower case, without port and
// trailing dot.
func Host(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
