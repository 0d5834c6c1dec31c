// Package pool defines the table of pools: groups of VMs, their capacity and
// the actions allowed on their tasks.
//
// Values are immutable: With methods return a changed copy. Parsing and
// validation are in package table.
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

// Domain is a failure domain of the deployment.
type Domain struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Region string `cbor:"2,keyasint,omitempty" json:"region"`
	Cells  int    `cbor:"3,keyasint" json:"cells"` // partitions of the domain's scheduling, each with its own topic; change it only while the domain is out of service
}

// Pool is a row of the table of pools. A VM belongs to the first pool that
// selects it. ReservePercent, HoldMS, LeaseMS, AllowThrottle, AllowEvict and
// MaxMovesPerSec are validated but not applied by the scheduler yet.
type Pool struct {
	Name           string       `cbor:"1,keyasint" json:"name"`
	FailureDomains []string     `cbor:"2,keyasint" json:"failure_domains"`
	VMPrefix       string       `cbor:"3,keyasint,omitempty" json:"vm_prefix"`             // prefix of VM names; empty selects all
	Slots          int          `cbor:"4,keyasint" json:"slots"`                           // concurrent requests per VM
	Connections    int          `cbor:"5,keyasint" json:"connections"`                     // connections per VM, summed over all entries
	ReservePercent int          `cbor:"6,keyasint,omitempty" json:"reserve_percent"`       // percent of capacity that batch tasks may not use
	HoldMS         clock.Millis `cbor:"7,keyasint" json:"hold_ms"`                         // how long a partitioned failure domain keeps its tasks running; unrelated to the hold call of a worker
	LeaseMS        clock.Millis `cbor:"8,keyasint" json:"lease_ms"`                        // duration of a task's lease; each renewal restarts it
	AllowThrottle  bool         `cbor:"9,keyasint,omitempty" json:"allow_throttle"`        // batch tasks may be throttled
	AllowEvict     bool         `cbor:"10,keyasint,omitempty" json:"allow_evict"`          // batch tasks may be checkpointed and moved
	WarmupMS       clock.Millis `cbor:"11,keyasint,omitempty" json:"warmup_ms"`            // slow-start period of a VM that an entry lists for the first time or that returns from ejection
	MaxMovesPerSec int          `cbor:"12,keyasint,omitempty" json:"max_moves_per_second"` // rate limit on the evacuation of one cell
}

// WithReserve returns a copy of the pool with the given reserve, in percent.
func (row Pool) WithReserve(percent int) Pool {
	row.ReservePercent = percent
	return row
}

// Selects reports whether the pool selects a VM of this name and failure domain.
// An earlier pool of the table may select the VM too; see [Table.ForVM].
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

// Table is the table of pools, with the failure domains of the deployment.
type Table struct {
	Domains []Domain `cbor:"1,keyasint" json:"failure_domains"`
	Pools   []Pool   `cbor:"2,keyasint" json:"pools"`
}

// Find returns the pool with the given name.
func (table Table) Find(name string) (Pool, bool) {
	for _, pl := range table.Pools {
		if pl.Name == name {
			return pl, true
		}
	}
	return Pool{}, false
}

// ForVM returns the pool that a VM belongs to: the first one that selects it.
func (table Table) ForVM(vm, domain string) (Pool, bool) {
	for _, pl := range table.Pools {
		if pl.Selects(vm, domain) {
			return pl, true
		}
	}
	return Pool{}, false
}
