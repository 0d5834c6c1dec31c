// Package route is the operators' first table: where each kind of request or
// task goes, under which limits, on whose quota.
//
// Values are immutable: change one through its With methods. Parsing and
// checking are in package table.
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

// The classes.
const (
	Urgent Class = "urgent"
	Batch  Class = "batch"
)

// Match says which requests a route takes. The longest path prefix wins;
// a route that names a host goes before one that does not.
type Match struct {
	Host       string   `cbor:"1,keyasint,omitempty" json:"host,omitempty"`        // exact, without port; empty for any
	PathPrefix string   `cbor:"2,keyasint,omitempty" json:"path_prefix,omitempty"` // whole segments; "/a" takes "/a" and "/a/b"
	Methods    []string `cbor:"3,keyasint,omitempty" json:"methods,omitempty"`     // upper case; empty for any
}

// Route is a row of the table.
type Route struct {
	Name            string       `cbor:"1,keyasint" json:"name"`
	Match           Match        `cbor:"2,keyasint" json:"match"`
	Class           Class        `cbor:"3,keyasint" json:"class"`
	Team            string       `cbor:"4,keyasint" json:"team"`
	Pools           []string     `cbor:"5,keyasint" json:"pools"` // in order of preference
	DeadlineMS      clock.Millis `cbor:"6,keyasint" json:"deadline_ms"`
	Repeatable      bool         `cbor:"7,keyasint,omitempty" json:"repeatable"`         // default for requests that do not say
	RetryPercent    int          `cbor:"8,keyasint,omitempty" json:"retry_percent"`      // retries per 100 requests
	HedgePercent    int          `cbor:"9,keyasint,omitempty" json:"hedge_percent"`      // hedges per 100 requests; needs repeatable
	MaxRequestBytes int64        `cbor:"10,keyasint,omitempty" json:"max_request_bytes"` // body of a request
	MaxAnswerBytes  int64        `cbor:"11,keyasint,omitempty" json:"max_answer_bytes"`  // body of an answer
	MaxQueued       int          `cbor:"12,keyasint,omitempty" json:"max_queued"`        // requests waiting in one entry, or tasks in one cell
	MaxAttempts     int          `cbor:"13,keyasint,omitempty" json:"max_attempts"`      // failed attempts of a task before it is parked
}

// WithDeadline returns the route with another deadline.
func (row Route) WithDeadline(d clock.Millis) Route {
	row.DeadlineMS = d
	return row
}

// WithPools returns the route with another order of pools.
func (row Route) WithPools(pools ...string) Route {
	row.Pools = pools
	return row
}

// Team owns routes and has a quota over all cells together.
type Team struct {
	Name  string        `cbor:"1,keyasint" json:"name"`
	Quota amount.Amount `cbor:"2,keyasint" json:"quota"` // guaranteed share; idle capacity may be used above it
}

// Table is the whole of the first table.
type Table struct {
	Routes []Route `cbor:"1,keyasint" json:"routes"`
	Teams  []Team  `cbor:"2,keyasint" json:"teams"`
}

// Find returns the route of a name.
func (table Table) Find(name string) (Route, bool) {
	for _, rt := range table.Routes {
		if rt.Name == name {
			return rt, true
		}
	}
	return Route{}, false
}
