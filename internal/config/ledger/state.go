package ledger

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/config/mark"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/config/table"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// State is what a reader knows after a record. It is immutable in use: With
// returns the next state, which shares what did not change. One goroutine
// calls With; any may read.
type State struct {
	first    stream.Offset // the oldest record that the log still has
	next     stream.Offset // the next record to read
	complete bool          // every record that matters was read
	version  int64
	index    table.Index
	marks    mark.Set
	recent   recent
	gap      gap        // what is collected while not complete
	parts    []assembly // snapshots under way, at most maxAssemblies
	snapshot stream.Offset
	tail     int64 // bytes read since the newest whole snapshot began
	config   func() Config
}

// New returns the state before the first record of the stream.
func New() State {
	state := State{next: 1, complete: true, index: table.NewIndex(), recent: newRecent()}
	return state.settled()
}

// With returns the state after the next record of the stream, and what became
// of the record. Records that were read before change nothing.
func (s State) With(rec stream.Record) (State, Verdict) {
	if rec.Offset < s.next {
		return s, Verdict{Kind: Duplicate, Offset: rec.Offset, Version: s.version, Reason: "this offset was read before"}
	}
	s = s.skipped(rec.Offset)
	s.next = rec.Offset + 1
	s.tail += int64(len(rec.Data))
	entry, err := decode(rec.Data)
	if err != nil {
		return s, Verdict{Kind: Rejected, Offset: rec.Offset, Version: s.version, Reason: "not a record of this stream: " + err.Error()}
	}
	if entry.Part != nil {
		return s.withPart(rec.Offset, *entry.Part, len(rec.Data))
	}
	if !s.complete {
		s.gap = s.gap.with(rec.Offset, *entry.Change, len(rec.Data))
		return s, s.verdict(Unjudged, rec.Offset, *entry.Change, "this reader has no snapshot yet")
	}
	return s.judge(rec.Offset, *entry.Change)
}

// WithFirst tells the state the oldest offset that the log still has. If
// records that were not read are gone, the state waits for a snapshot; what it
// had in force stays in force.
func (s State) WithFirst(first stream.Offset) State {
	s.first = max(s.first, first)
	return s.skipped(first)
}

// Goes on at an offset, which is a gap unless it is the next one.
func (s State) skipped(offset stream.Offset) State {
	if offset <= s.next {
		return s
	}
	s.next = offset
	s.complete = false
	s.gap = gap{start: offset}
	s.parts = nil
	return s
}

// Config returns the configuration in force. It is built at the first call for
// each version, at a cost that grows with the tables.
func (s State) Config() Config { return s.config() }

// Version returns the version in force: the offset of the change that made it.
func (s State) Version() int64 { return s.version }

// Next returns the offset of the next record to read.
func (s State) Next() stream.Offset { return s.next }

// Complete reports whether the state can judge changes.
func (s State) Complete() bool { return s.complete }

// Marks returns what is out of service.
func (s State) Marks() mark.Set { return s.marks }

// Pools returns the table of pools in force, which must not be changed.
func (s State) Pools() pool.Table { return s.index.Pools() }

// Route returns a route in force by name.
func (s State) Route(name string) (route.Route, bool) { return s.index.Route(name) }

// Team returns a team in force by name.
func (s State) Team(name string) (route.Team, bool) { return s.index.Team(name) }

// Hash returns a digest of the configuration in force and of all else that
// later verdicts depend on. Readers at the same offset have equal ones.
func (s State) Hash() uint64 { return s.content() + s.recent.sum }

// The digest of the configuration in force.
func (s State) content() uint64 {
	data, err := codec.Marshal(struct {
		Version int64    `cbor:"1,keyasint"`
		Index   uint64   `cbor:"2,keyasint"`
		Marks   mark.Set `cbor:"3,keyasint"`
	}{s.version, s.index.Hash(), s.marks})
	if err != nil {
		panic(err) // plain values always encode
	}
	return xxhash.Sum64(data)
}

// Returns the state with its configuration ready to be built on demand.
func (s State) settled() State {
	version, index, marks := s.version, s.index, s.marks
	s.config = sync.OnceValue(func() Config {
		return Config{Version: version, Routes: index.Routes(), Pools: index.Pools(), Marks: marks}
	})
	return s
}

func (s State) verdict(kind Kind, offset stream.Offset, change Change, reason string) Verdict {
	return Verdict{Kind: kind, Offset: offset, Version: s.version, Writer: change.Writer, Sequence: change.Sequence, Reason: reason}
}
