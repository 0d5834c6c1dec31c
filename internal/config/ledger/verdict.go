package ledger

import (
	"fmt"

	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// Kind says what became of a record.
type Kind string

// The kinds.
const (
	Accepted Kind = "accepted"
	Rejected Kind = "rejected"
	// Duplicate: the same writer and sequence were read before; that verdict counts.
	Duplicate Kind = "duplicate"
	// UnknownVersion: the change is based on a version that the stream has not reached.
	UnknownVersion Kind = "unknown_version"
	// Unjudged: this reader lacks the records or the snapshot to judge by.
	Unjudged Kind = "unjudged"
	// Part: part of a snapshot, taken note of.
	Part Kind = "part"
)

// Verdict is what became of one record. All readers that know the stream reach
// the same one.
type Verdict struct {
	Kind     Kind          `json:"kind"`
	Offset   stream.Offset `json:"offset"`
	Version  int64         `json:"version"` // in force after the record
	Writer   string        `json:"writer"`
	Sequence uint64        `json:"sequence"`
	Reason   string        `json:"reason,omitempty"`
}

// String returns a line for people.
func (verdict Verdict) String() string {
	text := fmt.Sprintf("offset %d, %s/%d: %s", verdict.Offset, verdict.Writer, verdict.Sequence, verdict.Kind)
	if verdict.Kind == Accepted {
		return fmt.Sprintf("%s, version %d", text, verdict.Version)
	}
	if verdict.Reason == "" {
		return text
	}
	return text + ": " + verdict.Reason
}
