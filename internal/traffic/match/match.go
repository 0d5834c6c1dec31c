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

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Table is a compiled route table. It is immutable and safe for many
// goroutines.
type Table struct {
	hosts map[string]prefixes // by host in lower case
	any   prefixes            // routes that name no host
}

// prefixes holds the routes of one host by path prefix without the trailing
// slash; the root is "".
type prefixes struct {
	routes map[string][]*route.Route // rows in order of preference
	depth  int                       // segments of the deepest prefix
}

// Found is the result of a lookup.
type Found struct {
	Route *route.Route // nil when no route takes the request
	Allow []string     // methods that routes of this path take, when only the method did not fit
}

// New compiles a table. The routes are copied.
func New(routes []route.Route) *Table {
	table := &Table{hosts: map[string]prefixes{}, any: prefixes{routes: map[string][]*route.Route{}}}
	for _, row := range routes {
		table.add(&row)
	}
	return table
}

func (table *Table) add(row *route.Route) {
	if row.Match.Host == "" {
		table.any = table.any.with(row)
		return
	}
	host := Host(row.Match.Host)
	table.hosts[host] = table.hosts[host].with(row)
}

func (set prefixes) with(row *route.Route) prefixes {
	if set.routes == nil {
		set.routes = map[string][]*route.Route{}
	}
	prefix := strings.TrimRight(row.Match.PathPrefix, "/")
	rows := append(set.routes[prefix], row)
	slices.SortStableFunc(rows, func(a, b *route.Route) int { return anyMethod(a) - anyMethod(b) })
	set.routes[prefix] = rows
	set.depth = max(set.depth, strings.Count(prefix, "/"))
	return set
}

func anyMethod(row *route.Route) int { return lo.Ternary(len(row.Match.Methods) == 0, 1, 0) }

// Find returns the route that takes a request. The host may carry a port; the
// path is the decoded one.
func (table *Table) Find(host, path, method string) Found {
	found := table.hosts[Host(host)].find(path, method)
	if found.Route != nil {
		return found
	}
	rest := table.any.find(path, method)
	rest.Allow = append(rest.Allow, found.Allow...)
	return rest
}

func (set prefixes) find(path, method string) Found {
	var allow []string
	for prefix := head(path, set.depth); ; prefix = parent(prefix) {
		for _, row := range set.routes[prefix] {
			if takes(row, method) {
				return Found{Route: row}
			}
			allow = append(allow, row.Match.Methods...)
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
