package ledger

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
	"github.com/google/btree"

	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// recent remembers the changes of the last offsets: by whom, to know a
// duplicate, and of what, to know a conflict. It is immutable in use.
type recent struct {
	byOffset *btree.BTreeG[trace]
	byWriter *btree.BTreeG[trace]
	byThing  *btree.BTreeG[touch]
	sum      uint64 // over all traces
}

// trace is one change that was judged. Things is empty for a rejected one.
type trace struct {
	Offset   int64    `cbor:"1,keyasint"`
	Writer   string   `cbor:"2,keyasint"`
	Sequence uint64   `cbor:"3,keyasint"`
	Things   []string `cbor:"4,keyasint,omitempty"`
}

// touch is the newest change of a thing.
type touch struct {
	thing  string
	offset int64
}

func newRecent() recent {
	const degree = 32
	return recent{
		byOffset: btree.NewG(degree, func(a, b trace) bool { return a.Offset < b.Offset }),
		byWriter: btree.NewG(degree, func(a, b trace) bool {
			return cmp.Or(cmp.Compare(a.Writer, b.Writer), cmp.Compare(a.Sequence, b.Sequence)) < 0
		}),
		byThing: btree.NewG(degree, func(a, b touch) bool { return a.thing < b.thing }),
	}
}

func (past recent) clone() recent {
	return recent{byOffset: past.byOffset.Clone(), byWriter: past.byWriter.Clone(), byThing: past.byThing.Clone(), sum: past.sum}
}

func (past recent) with(offset stream.Offset, change Change, things []string) recent {
	next := past.clone()
	next.add(trace{Offset: int64(offset), Writer: change.Writer, Sequence: change.Sequence, Things: things})
	return next
}

func (past *recent) add(item trace) {
	past.byOffset.ReplaceOrInsert(item)
	past.byWriter.ReplaceOrInsert(item)
	for _, thing := range item.Things {
		past.byThing.ReplaceOrInsert(touch{thing: thing, offset: item.Offset})
	}
	past.sum += item.digest()
}

// Forgets what lies outside of the window that ends at an offset.
func (past recent) pruned(offset stream.Offset) recent {
	oldest := int64(offset) - window
	if first, ok := past.byOffset.Min(); !ok || first.Offset >= oldest {
		return past
	}
	next := past.clone()
	for {
		first, ok := next.byOffset.Min()
		if !ok || first.Offset >= oldest {
			return next
		}
		next.remove(first)
	}
}

func (past *recent) remove(item trace) {
	past.byOffset.Delete(item)
	past.byWriter.Delete(item)
	for _, thing := range item.Things {
		if newest, _ := past.byThing.Get(touch{thing: thing}); newest.offset == item.Offset {
			past.byThing.Delete(newest)
		}
	}
	past.sum -= item.digest()
}

func (past recent) find(change Change) (stream.Offset, bool) {
	item, ok := past.byWriter.Get(trace{Writer: change.Writer, Sequence: change.Sequence})
	return stream.Offset(item.Offset), ok
}

// Returns the newest offset at which a thing, or everything, was changed.
func (past recent) changed(thing string) (stream.Offset, bool) {
	own, one := past.byThing.Get(touch{thing: thing})
	all, any := past.byThing.Get(touch{thing: everything})
	return stream.Offset(max(own.offset, all.offset)), one || any
}

// Lists all traces, oldest first.
func (past recent) list() []trace {
	items := make([]trace, 0, past.byOffset.Len())
	past.byOffset.Ascend(func(item trace) bool {
		items = append(items, item)
		return true
	})
	return items
}

func (item trace) digest() uint64 {
	data, err := codec.Marshal(item)
	if err != nil {
		panic(err) // plain values always encode
	}
	return xxhash.Sum64(data)
}
