// Package route defines the table of routes: for each kind of request or task,
// the pools that serve it, its limits and the team whose quota it uses.
//
// Values are immutable: With methods return a changed copy. Parsing and
// validation are in package table.
//
// # Usage
//
//	rt := route.Route{Name: "ration", Class: route.Urgent, Pools: []string{"serving"}}
//	rt = rt.WithDeadline(300)
package route

import (
	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Class says how urgent the work of a route is.
type Class string

// The classes of routes.
const (
	Urgent Class = "urgent" // requests, answered within the deadline
	Batch  Class = "batch"  // tasks, run from a queue
)

// Match selects the requests of a route. A route that names the host takes
// precedence; then the longest path prefix, a named method, and the earlier row.
type Match struct {
	Host       string   `cbor:"1,keyasint,omitempty" json:"host,omitempty"`        // exact host name, without port; empty matches any
	PathPrefix string   `cbor:"2,keyasint,omitempty" json:"path_prefix,omitempty"` // whole segments: "/a" matches "/a" and "/a/b"
	Methods    []string `cbor:"3,keyasint,omitempty" json:"methods,omitempty"`     // upper case; empty matches any
}

// Route is a row of the table of routes.
type Route struct {
	Name            string       `cbor:"1,keyasint" json:"name"`
	Match           Match        `cbor:"2,keyasint" json:"match"`
	Class           Class        `cbor:"3,keyasint" json:"class"`
	Team            string       `cbor:"4,keyasint" json:"team"`
	Pools           []string     `cbor:"5,keyasint" json:"pools"` // in order of preference
	DeadlineMS      clock.Millis `cbor:"6,keyasint" json:"deadline_ms"`
	Repeatable      bool         `cbor:"7,keyasint,omitempty" json:"repeatable"`         // whether requests may be retried and hedged; a request header overrides it
	RetryPercent    int          `cbor:"8,keyasint,omitempty" json:"retry_percent"`      // retry budget, per 100 requests
	HedgePercent    int          `cbor:"9,keyasint,omitempty" json:"hedge_percent"`      // hedged requests per 100 requests; requires repeatable
	MaxRequestBytes int64        `cbor:"10,keyasint,omitempty" json:"max_request_bytes"` // limit on a request body
	MaxAnswerBytes  int64        `cbor:"11,keyasint,omitempty" json:"max_answer_bytes"`  // limit on a response body
	MaxQueued       int          `cbor:"12,keyasint,omitempty" json:"max_queued"`        // queued requests per entry; not applied to batch routes
	MaxAttempts     int          `cbor:"13,keyasint,omitempty" json:"max_attempts"`      // failed runs of a task after which its job fails
}

// WithDeadline returns a copy of the route with the given deadline.
func (row Route) WithDeadline(deadline clock.Millis) Route {
	row.DeadlineMS = deadline
	return row
}

// WithPools returns a copy of the route with the given pools, in order of
// preference.
func (row Route) WithPools(pools ...string) Route {
	row.Pools = pools
	return row
}

// Team owns routes and has one quota across all cells. Quotas are validated but
// not enforced yet.
type Team struct {
	Name  string        `cbor:"1,keyasint" json:"name"`
	Quota amount.Amount `cbor:"2,keyasint" json:"quota"` // guaranteed share; idle capacity may be used above it
}

// Table is the table of routes, with the teams that own them.
type Table struct {
	Routes []Route `cbor:"1,keyasint" json:"routes"`
	Teams  []Team  `cbor:"2,keyasint" json:"teams"`
}

// Find returns the route with the given name.
func (table Table) Find(name string) (Route, bool) {
	for _, rt := range table.Routes {
		if rt.Name == name {
			return rt, true
		}
	}
	return Route{}, false
}
