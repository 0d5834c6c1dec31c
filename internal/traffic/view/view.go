// Package view holds the state by which requests are routed: one immutable
// snapshot, built by package gateway and read through an atomic pointer.
//
// # Usage
//
//	holder := view.NewHolder()
//	holder.Store(&view.Snapshot{...})   // package gateway
//	snap := holder.Load()               // any request
package view

import (
	"sync/atomic"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Backend is a backend server of a pool.
type Backend struct {
	Name           string
	Address        string // ip:port
	FailureDomain  string
	Rack           string
	Draining       bool         // leaving or marked out: gets no new requests
	InServiceSince clock.Millis // time at which this entry first listed the server; its warm-up starts there
}

// Pool is a pool with its current backend servers, sorted by name.
type Pool struct {
	Config   pool.Pool
	Backends []Backend
}

// Snapshot is all that routing decisions depend on, except the counters that
// the traffic packages maintain themselves.
type Snapshot struct {
	Version      int64  // of the configuration in force
	Domain       string // failure domain of this entry
	Entries      int    // entries assumed to send requests, at present the configured number; this one included; at least 1
	KnownEntries int    // entries that the settings name, this one included; at least 1
	Routes       []route.Route
	Pools        map[string]Pool
	DomainsOut   map[string]bool // failure domains that are marked out
}

// Holder holds the snapshot in force.
type Holder struct{ ptr atomic.Pointer[Snapshot] }

// NewHolder returns a holder with an empty snapshot.
func NewHolder() *Holder {
	b := &Holder{}
	b.ptr.Store(&Snapshot{Entries: 1})
	return b
}

// Load returns the snapshot in force; it is never nil and must not be changed.
func (b *Holder) Load() *Snapshot { return b.ptr.Load() }

// Store puts a new snapshot in force.
func (b *Holder) Store(s *Snapshot) { b.ptr.Store(s) }
