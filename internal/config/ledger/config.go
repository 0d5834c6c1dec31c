// Package ledger turns the config stream into the configuration in force.
//
// The state is a pure function of the stream's records, so all readers agree
// on which changes were accepted without talking to each other:
//
//	record ──decode──> known? ──> base still good? ──> tables still valid? ──> accepted, version = offset
//	                     │                │                     │
//	                 duplicate        rejected              rejected
//
// # Usage
//
//	state := ledger.New()
//	for _, record := range page.Records {
//		var verdict ledger.Verdict
//		state, verdict = state.With(record)
//	}
//	cfg := state.Config()
//
// Writers append what [Encode] returns, at least once; the second copy is a
// duplicate. A change is accepted if nothing that it writes was changed after
// the version it was based on. Changes to different rows do not disturb each
// other, and the joint result is checked in any case.
//
// # Retention
//
// Records expire. Any entry appends [State.Snapshot] when [State.SnapshotDue]
// says so. A reader whose first record is not the stream's first keeps what it
// has in force, collects records, and judges them as soon as it has read a
// whole snapshot that reaches back far enough. A snapshot never takes the
// version back, and readers that know every record only compare it. If
// everything is lost, an operator's [Reset] starts anew.
package ledger

import (
	"github.com/oriolepier/oriolepier/internal/config/mark"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Stream is the name of the config stream in the platform's log.
const Stream = "config"

// Config is the configuration in force at a version. It is immutable.
type Config struct {
	Version int64       `cbor:"1,keyasint" json:"version"` // offset of the record that made it; 0 before any
	Routes  route.Table `cbor:"2,keyasint" json:"routes"`
	Pools   pool.Table  `cbor:"3,keyasint" json:"pools"`
	Marks   mark.Set    `cbor:"4,keyasint" json:"marks"`
}
