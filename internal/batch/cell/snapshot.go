package cell

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// Bounds of a snapshot.
const (
	// partJobs keeps a part well under the codec's limits.
	partJobs = 500
	// maxParts bounds what a reader collects.
	maxParts = 1 << 13
)

// progress is how much of a snapshot the stream holds.
type progress struct {
	At    stream.Offset `cbor:"1,keyasint,omitempty"`
	Sum   uint64        `cbor:"2,keyasint,omitempty"`
	Next  int           `cbor:"3,keyasint,omitempty"`
	Done  stream.Offset `cbor:"4,keyasint,omitempty"` // position of the newest complete one
	Begun stream.Offset `cbor:"5,keyasint,omitempty"` // offset of the first chunk of the one under way
	First stream.Offset `cbor:"6,keyasint,omitempty"` // offset of the first chunk of the newest complete one
}

// part is a piece of a snapshot that decodes by itself.
type part struct {
	Head    *head           `cbor:"1,keyasint,omitempty"` // in the first part
	Writers map[string]seen `cbor:"2,keyasint,omitempty"`
	Jobs    []*Job          `cbor:"3,keyasint,omitempty"`
}

type head struct {
	Name     string                   `cbor:"1,keyasint"`
	Applied  stream.Offset            `cbor:"2,keyasint"`
	Now      clock.Millis             `cbor:"3,keyasint"`
	Epoch    int64                    `cbor:"4,keyasint"`
	Owner    string                   `cbor:"5,keyasint"`
	Domain   string                   `cbor:"6,keyasint"`
	Heir     string                   `cbor:"7,keyasint"`
	Terms    Terms                    `cbor:"8,keyasint"`
	Previous Terms                    `cbor:"9,keyasint"`
	Until    clock.Millis             `cbor:"10,keyasint"`
	EndSeq   int64                    `cbor:"11,keyasint"`
	Snapshot progress                 `cbor:"12,keyasint"`
	Count    Counters                 `cbor:"13,keyasint"`
	Dropped  map[string]stream.Offset `cbor:"14,keyasint"`
}

// Snapshot returns the whole state in parts. The same state always gives the
// same bytes.
func (cell *State) Snapshot() [][]byte {
	first := part{Head: cell.head(), Writers: cell.writers}
	parts := [][]byte{mustMarshal(first)}
	for ids := range slices.Chunk(cell.sortedIDs(), partJobs) {
		piece := part{Jobs: make([]*Job, 0, len(ids))}
		for _, id := range ids {
			piece.Jobs = append(piece.Jobs, cell.jobs[id])
		}
		parts = append(parts, mustMarshal(piece))
	}
	return parts
}

// Chunks returns the records that carry the parts of a snapshot of position at.
func Chunks(at stream.Offset, parts [][]byte) [][]byte {
	sum := sumOf(parts)
	records := make([][]byte, 0, len(parts))
	for index, data := range parts {
		chunk := Chunk{At: at, Index: index, Count: len(parts), Sum: sum, Data: data}
		records = append(records, Encode(chunk))
	}
	return records
}

// Hash returns a digest of the whole state. Readers with the same offset
// applied have the same digest.
func (cell *State) Hash() uint64 { return sumOf(cell.Snapshot()) }

func sumOf(parts [][]byte) uint64 {
	digest := xxhash.New()
	for _, data := range parts {
		_, _ = digest.Write(data) // never fails
	}
	return digest.Sum64()
}

func mustMarshal(value any) []byte {
	data, err := codec.Marshal(value)
	if err != nil {
		panic(err) // the types above always encode
	}
	return data
}

func (cell *State) sortedIDs() []string { return slices.Sorted(maps.Keys(cell.jobs)) }

func (cell *State) head() *head {
	dropped := map[string]stream.Offset{}
	for name, vm := range cell.vms {
		if vm.Dropped != 0 {
			dropped[name] = vm.Dropped
		}
	}
	return &head{
		Name: cell.name, Applied: cell.applied, Now: cell.now, Epoch: cell.epoch,
		Owner: cell.owner, Domain: cell.domain, Heir: cell.heir, Terms: cell.terms,
		Previous: cell.previous, Until: cell.until, EndSeq: cell.endSeq,
		Snapshot: cell.snapshot, Count: cell.count, Dropped: dropped,
	}
}

// chunk takes note of how much of a snapshot the stream holds. Chunks of one
// snapshot are appended in order, each after the one before was acknowledged.
func (cell *State) chunk(body Chunk, event *Event) bool {
	if body.At > event.Offset || body.At < cell.snapshot.At || body.Count <= 0 || body.Count > maxParts {
		return false
	}
	at := &cell.snapshot
	if body.Index == 0 {
		at.At, at.Sum, at.Next, at.Begun = body.At, body.Sum, 0, event.Offset
	}
	if body.At != at.At || body.Sum != at.Sum || body.Index != at.Next {
		return false
	}
	at.Next++
	if at.Next == body.Count {
		at.Done, at.First = at.At, at.Begun
	}
	return true
}

// Restore rebuilds a state from the parts of a snapshot.
func Restore(parts [][]byte, rules Rules) (*State, error) {
	var cell *State
	for _, data := range parts {
		var piece part
		if err := codec.Unmarshal(data, &piece); err != nil {
			return nil, err
		}
		if piece.Head != nil {
			cell = piece.Head.state(rules)
		}
		if cell == nil {
			return nil, errors.New("snapshot does not start with its head")
		}
		maps.Copy(cell.writers, piece.Writers)
		for _, entry := range piece.Jobs {
			cell.adopt(entry)
		}
	}
	if cell == nil {
		return nil, errors.New("snapshot is empty")
	}
	slices.SortFunc(cell.ended, func(a, b end) int { return int(a.seq - b.seq) })
	cell.endCount = len(cell.ended)
	return cell, nil
}

func (top *head) state(rules Rules) *State {
	cell := NewWith(top.Name, rules)
	cell.applied, cell.now, cell.epoch = top.Applied, top.Now, top.Epoch
	cell.owner, cell.domain, cell.heir = top.Owner, top.Domain, top.Heir
	cell.terms, cell.previous, cell.until = top.Terms, top.Previous, top.Until
	cell.endSeq, cell.snapshot, cell.count = top.EndSeq, top.Snapshot, top.Count
	for name, at := range top.Dropped {
		cell.vm(name).Dropped = at
	}
	return cell
}

func (cell *State) adopt(entry *Job) {
	cell.jobs[entry.ID] = entry
	if entry.Active() {
		cell.occupy(entry)
	}
	if entry.over() && !entry.Result {
		cell.ended = append(cell.ended, end{id: entry.ID, seq: entry.EndSeq})
	}
}

// Collector finds the newest complete snapshot in a run of records.
type Collector struct {
	rules Rules
	at    stream.Offset
	sum   uint64
	parts [][]byte
	found *State
}

// NewCollector returns an empty collector.
func NewCollector(rules Rules) *Collector { return &Collector{rules: rules} }

// Add looks for chunks in the next record of the stream.
func (found *Collector) Add(rec stream.Record) {
	batch, err := DecodeBatch(rec.Data)
	if err != nil {
		return
	}
	for _, data := range batch.Records {
		if len(data) > 0 && Kind(data[0]) == KindSnapshot {
			found.chunk(data[1:])
		}
	}
}

// State returns the state of the newest complete snapshot, or nil.
func (found *Collector) State() *State { return found.found }

func (found *Collector) chunk(data []byte) {
	var body Chunk
	if codec.Unmarshal(data, &body) != nil || body.Count > maxParts {
		return
	}
	if body.Index == 0 {
		found.at, found.sum, found.parts = body.At, body.Sum, nil
	}
	if body.At != found.at || body.Sum != found.sum || body.Index != len(found.parts) {
		return
	}
	found.parts = append(found.parts, body.Data)
	if len(found.parts) == body.Count {
		found.finish()
	}
}

func (found *Collector) finish() {
	parts := found.parts
	found.parts = nil
	if sumOf(parts) != found.sum {
		return
	}
	state, err := Restore(parts, found.rules)
	if err != nil || state.applied != found.at {
		return
	}
	if found.found == nil || state.applied > found.found.applied {
		found.found = state
	}
}
