// Package pool is the operators' second table: which groups of VMs exist and
// what may be done with them.
//
// Values are immutable. Parsing and checking are in package table.
//
// # Usage
//
//	pl := pool.Pool{Name: "serving", FailureDomains: []string{"a", "b"}, Slots: 8}
//	pl = pl.WithReserve(20)
package pool

import (
	"strings"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Domain is a failure domain that the system serves.
type Domain struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Region string `cbor:"2,keyasint,omitempty" json:"region"`
	Cells  int    `cbor:"3,keyasint" json:"cells"` // log streams that share the domain's workers; changed only while it is out
}

// Pool is a row of the table. A VM belongs to the first pool that selects it.
type Pool struct {
	Name           string       `cbor:"1,keyasint" json:"name"`
	FailureDomains []string     `cbor:"2,keyasint" json:"failure_domains"`
	VMPrefix       string       `cbor:"3,keyasint,omitempty" json:"vm_prefix"`             // VMs whose name starts so; empty for all
	Slots          int          `cbor:"4,keyasint" json:"slots"`                           // requests that a VM serves at once
	Connections    int          `cbor:"5,keyasint" json:"connections"`                     // connections a VM takes from all entries together
	ReservePercent int          `cbor:"6,keyasint,omitempty" json:"reserve_percent"`       // capacity kept free of batch tasks
	HoldMS         clock.Millis `cbor:"7,keyasint" json:"hold_ms"`                         // how long a cut-off domain keeps its tasks alive
	LeaseMS        clock.Millis `cbor:"8,keyasint" json:"lease_ms"`                        // life of a task's lease between renewals
	AllowThrottle  bool         `cbor:"9,keyasint,omitempty" json:"allow_throttle"`        // batch tasks may be slowed
	AllowEvict     bool         `cbor:"10,keyasint,omitempty" json:"allow_evict"`          // batch tasks may be checkpointed and moved
	WarmupMS       clock.Millis `cbor:"11,keyasint,omitempty" json:"warmup_ms"`            // ramp of load for a VM that returns
	MaxMovesPerSec int          `cbor:"12,keyasint,omitempty" json:"max_moves_per_second"` // pace of evacuation of one cell
}

// WithReserve returns the pool with another reserve, in percent.
func (row Pool) WithReserve(percent int) Pool {
	row.ReservePercent = percent
	return row
}

// Selects reports whether a VM of that name and failure domain is in the pool.
func (row Pool) Selects(vm, domain string) bool {
	if !strings.HasPrefix(vm, row.VMPrefix) {
		return false
	}
	for _, name := range row.FailureDomains {
		if name == domain {
			return true
		}
	}
	return false
}

// Table is the whole of the second table.
type Table struct {
	Domains []Domain `cbor:"1,keyasint" json:"failure_domains"`
	Pools   []Pool   `cbor:"2,keyasint" json:"pools"`
}

// Find returns the pool of a name.
func (table Table) Find(name string) (Pool, bool) {
	for _, pl := range table.Pools {
		if pl.Name == name {
			return pl, true
		}
	}
	return Pool{}, false
}

// Of returns the pool that a VM belongs to.
func (table Table) Of(vm, domain string) (Pool, bool) {
	for _, pl := range table.Pools {
		if pl.Selects(vm, domain) {
			return pl, true
		}
	}
	return Pool{}, false
}
