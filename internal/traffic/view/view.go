// Package view is what the traffic side knows: one immutable snapshot, built
// by the control thread and read through an atomic pointer.
//
// # Usage
//
//	box := view.NewBox()
//	box.Store(&view.Snapshot{...})   // control thread
//	snap := box.Load()               // any request
package view

import (
	"sync/atomic"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Backend is a backend server that may get requests.
type Backend struct {
	Name          string
	Address       string // ip:port
	FailureDomain string
	Rack          string
	Draining      bool         // leaving or out: no new requests
	Since         clock.Millis // when it came into service, for warm-up
}

// Pool is a pool with its present backend servers, in order of name.
type Pool struct {
	Config   pool.Pool
	Backends []Backend
}

// Snapshot is all that routing decisions depend on, but for the counters that
// the traffic side keeps itself.
type Snapshot struct {
	Version    int64  // of the configuration in force
	Domain     string // failure domain of this entry
	Entries    int    // entries that may be sending requests, this one included; at least 1
	SeedCount  int    // entries that settings and the VM list name or that were heard of late, this one included
	Routes     []route.Route
	Pools      map[string]Pool
	DomainsOut map[string]bool
}

// Box holds the snapshot in force.
type Box struct{ ptr atomic.Pointer[Snapshot] }

// NewBox returns a box with an empty snapshot.
func NewBox() *Box {
	b := &Box{}
	b.ptr.Store(&Snapshot{Entries: 1})
	return b
}

// Load returns the snapshot in force; it is never nil and must not be changed.
func (b *Box) Load() *Snapshot { return b.ptr.Load() }

// Store puts a new snapshot in force.
func (b *Box) Store(s *Snapshot) { b.ptr.Store(s) }
