// Package inventory is the platform's list of VMs. It lags: a VM that is not
// listed may be alive, and a listed one may be dead.
//
// # Usage
//
//	vms, err := list.Fetch(ctx, "a", "b")
//	if errors.Is(err, inventory.ErrUnchanged) { ... } // the last answer still holds
package inventory

import (
	"context"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/amount"
)

// State is what the platform says of a VM.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving" // will stop soon; gets no new work
)

// Role says what a VM is for.
type Role string

// The roles.
const (
	Worker Role = "worker" // a backend server that also runs tasks
	Entry  Role = "entry"  // runs this system
)

// VM is a row of the list.
type VM struct {
	Name          string        `cbor:"1,keyasint" json:"name"`
	Role          Role          `cbor:"2,keyasint" json:"role"`
	FailureDomain string        `cbor:"3,keyasint" json:"failure_domain"`
	Rack          string        `cbor:"4,keyasint" json:"rack"`
	State         State         `cbor:"5,keyasint" json:"state"`
	Size          amount.Amount `cbor:"6,keyasint" json:"size"`
	Requests      string        `cbor:"7,keyasint" json:"requests"` // ip:port for callers' requests
	Agent         string        `cbor:"8,keyasint" json:"agent"`    // ip:port of the task agent, or of an entry's peer listener
}

// ErrUnchanged says that the list is the one that the client returned last.
var ErrUnchanged = errors.New("list is unchanged")

// List is a client of the VM list.
type List struct {
	// Fetch returns the VMs of some failure domains, or of all when none is
	// named, in order of name. A client that can tell returns ErrUnchanged in
	// place of what it returned last for the same failure domains.
	Fetch func(ctx context.Context, domains ...string) ([]VM, error)
}
