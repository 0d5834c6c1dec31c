// Package match finds the route of a request in a compiled, immutable table.
//
// A lookup hashes the request's path once per segment, longest prefix first,
// so its cost depends on the depth of the path and not on the number of
// routes.
//
// Precedence among the routes that match a request: a route that names the host
// over one for any host, then the longer path prefix, then a route that names
// the method, then the earlier row.
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

// Table is a compiled route table. It is immutable and safe for concurrent
// use.
type Table struct {
	byHost map[string]*prefixes // by normalized host, see Host
	any    *prefixes            // routes that name no host
}

// prefixes holds the routes of one host by path prefix. Prefixes have no
// trailing slash; the root is "".
type prefixes struct {
	rows  map[string]*entry // head of each prefix's list
	depth int               // number of segments of the deepest prefix; 0 for the root
}

// entry is a route in the list of its prefix, which is sorted by precedence.
type entry struct {
	row  *route.Route
	next *entry
}

// Found is the result of a lookup.
type Found struct {
	Route *route.Route // nil when no route matches the request
	Allow []string     // methods that routes of this path accept, when only the method did not match
}

// New compiles a table. The routes are copied.
func New(routes []route.Route) *Table {
	table := &Table{byHost: map[string]*prefixes{}, any: newPrefixes(len(routes))}
	rows := slices.Clone(routes)
	entries := make([]entry, len(rows))
	for i := range rows {
		if isTasksOnly(rows[i]) {
			continue
		}
		entries[i].row = &rows[i]
		table.prefixesOf(rows[i].Match.Host).add(&entries[i])
	}
	return table
}

// isTasksOnly reports whether a route is for tasks alone. It must not be
// compiled: its empty match would match every request.
func isTasksOnly(row route.Route) bool {
	conditions := row.Match
	return row.Class == route.Batch && conditions.Host == "" && conditions.PathPrefix == "" && len(conditions.Methods) == 0
}

func newPrefixes(size int) *prefixes { return &prefixes{rows: make(map[string]*entry, size)} }

// prefixesOf returns the routes of a host, created if missing. The empty host
// stands for routes that name none.
func (table *Table) prefixesOf(host string) *prefixes {
	if host == "" {
		return table.any
	}
	host = Host(host)
	if table.byHost[host] == nil {
		table.byHost[host] = newPrefixes(0)
	}
	return table.byHost[host]
}

// add inserts a route into the list of its prefix: routes that name methods
// first, then in the sequence of the rows.
func (routes *prefixes) add(added *entry) {
	prefix := strings.TrimRight(added.row.Match.PathPrefix, "/")
	routes.depth = max(routes.depth, strings.Count(prefix, "/"))
	previous := routes.rows[prefix]
	if previous == nil || (anyMethod(previous.row) && !anyMethod(added.row)) {
		added.next = previous
		routes.rows[prefix] = added
		return
	}
	for previous.next != nil && (anyMethod(added.row) || !anyMethod(previous.next.row)) {
		previous = previous.next
	}
	added.next, previous.next = previous.next, added
}

func anyMethod(row *route.Route) bool { return len(row.Match.Methods) == 0 }

// Find returns the route that matches a request. The host may have a port; the
// path must be decoded.
func (table *Table) Find(host, path, method string) Found {
	var found Found
	if routes := table.byHost[Host(host)]; routes != nil {
		found = routes.find(path, method)
	}
	if found.Route != nil {
		return found
	}
	fallback := table.any.find(path, method)
	fallback.Allow = append(fallback.Allow, found.Allow...)
	return fallback
}

func (routes *prefixes) find(path, method string) Found {
	var allow []string
	for prefix := firstSegments(path, routes.depth); ; prefix = parent(prefix) {
		for candidate := routes.rows[prefix]; candidate != nil; candidate = candidate.next {
			if acceptsMethod(candidate.row, method) {
				return Found{Route: candidate.row}
			}
			allow = append(allow, candidate.row.Match.Methods...)
		}
		if prefix == "" {
			return Found{Allow: allow}
		}
	}
}

// firstSegments returns the first segments of a path, without a trailing slash.
func firstSegments(path string, segments int) string {
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

// parent returns a prefix without its last segment.
func parent(prefix string) string { return prefix[:max(strings.LastIndexByte(prefix, '/'), 0)] }

func acceptsMethod(row *route.Route, method string) bool {
	return len(row.Match.Methods) == 0 || slices.Contains(row.Match.Methods, method)
}

// Host normalizes a host to the form that routes name: lower case, without
// port and trailing dot.
func Host(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
