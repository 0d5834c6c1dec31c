// Package ledger turns the config stream into the configuration in force.
//
// # Usage
//
//	state := ledger.New()
//	state = state.With(record)
//	cfg := state.Config()
package ledger

import (
	"github.com/oriolepier/oriolepier/internal/config/mark"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Config is the configuration in force at a version. It is immutable.
type Config struct {
	Version int64       `cbor:"1,keyasint" json:"version"` // offset of the record that made it; 0 before any
	Routes  route.Table `cbor:"2,keyasint" json:"routes"`
	Pools   pool.Table  `cbor:"3,keyasint" json:"pools"`
	Marks   mark.Set    `cbor:"4,keyasint" json:"marks"`
}
