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
	state.marks = mark.Set{Domains: map[string]bool{}, VMs: map[string]bool{}}
	return state.settled()
}

// With returns the state after the next record of the stream, and what became
// of the record. Records that were read before change nothing.
func (state State) With(rec stream.Record) (State, Verdict) {
	if rec.Offset < state.next {
		return state, Verdict{Kind: Duplicate, Offset: rec.Offset, Version: state.version, Reason: "this offset was read before"}
	}
	state = state.skipped(rec.Offset)
	state.next = rec.Offset + 1
	state.tail += int64(len(rec.Data))
	entry, err := decode(rec.Data)
	if err != nil {
		return state, Verdict{Kind: Rejected, Offset: rec.Offset, Version: state.version, Reason: "not a record of this stream: " + err.Error()}
	}
	if entry.Part != nil {
		return state.withPart(rec.Offset, *entry.Part, len(rec.Data))
	}
	if state.complete && entry.Change.Rules > Rules {
		state.complete = false
		state.gap = gap{start: rec.Offset + 1}
		state.parts = nil
		return state, state.verdict(Unjudged, rec.Offset, *entry.Change, "it was made by a newer release")
	}
	if !state.complete {
		state.gap = state.gap.with(rec.Offset, *entry.Change, len(rec.Data))
		return state, state.verdict(Unjudged, rec.Offset, *entry.Change, "this reader has no snapshot yet")
	}
	return state.judge(rec.Offset, *entry.Change)
}

// WithFirst tells the state the oldest offset that the log still has. If
// records that were not read are gone, the state waits for a snapshot; what it
// had in force stays in force.
func (state State) WithFirst(first stream.Offset) State {
	state.first = max(state.first, first)
	return state.skipped(first)
}

// Goes on at an offset, which is a gap unless it is the next one.
func (state State) skipped(offset stream.Offset) State {
	if offset <= state.next {
		return state
	}
	state.next = offset
	state.complete = false
	state.gap = gap{start: offset}
	state.parts = nil
	return state
}

// Config returns the configuration in force. It is built at the first call for
// each version, at a cost that grows with the tables.
func (state State) Config() Config { return state.config() }

// Version returns the version in force: the offset of the change that made it.
func (state State) Version() int64 { return state.version }

// Next returns the offset of the next record to read.
func (state State) Next() stream.Offset { return state.next }

// Complete reports whether the state can judge changes.
func (state State) Complete() bool { return state.complete }

// Marks returns what is out of service.
func (state State) Marks() mark.Set { return state.marks }

// Pools returns the table of pools in force, which must not be changed.
func (state State) Pools() pool.Table { return state.index.Pools() }

// Route returns a route in force by name.
func (state State) Route(name string) (route.Route, bool) { return state.index.Route(name) }

// Team returns a team in force by name.
func (state State) Team(name string) (route.Team, bool) { return state.index.Team(name) }

// Hash returns a digest of the configuration in force and of all else that
// later verdicts depend on. Readers at the same offset have equal ones.
func (state State) Hash() uint64 { return state.content() + state.recent.sum }

// The digest of the configuration in force.
func (state State) content() uint64 {
	data, err := codec.Marshal(struct {
		Version int64    `cbor:"1,keyasint"`
		Index   uint64   `cbor:"2,keyasint"`
		Marks   mark.Set `cbor:"3,keyasint"`
	}{state.version, state.index.Hash(), state.marks})
	if err != nil {
		panic(err) // plain values always encode
	}
	return xxhash.Sum64(data)
}

// Returns the state with its configuration ready to be built on demand.
func (state State) settled() State {
	version, index, marks := state.version, state.index, state.marks
	state.config = sync.OnceValue(func() Config {
		return Config{Version: version, Routes: index.Routes(), Pools: index.Pools(), Marks: marks}
	})
	return state
}

func (state State) verdict(kind Kind, offset stream.Offset, change Change, reason string) Verdict {
	return Verdict{Kind: kind, Offset: offset, Version: state.version, Writer: change.Writer, Sequence: change.Sequence, Reason: reason}
}
