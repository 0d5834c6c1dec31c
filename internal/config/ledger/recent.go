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

func (r recent) clone() recent {
	return recent{byOffset: r.byOffset.Clone(), byWriter: r.byWriter.Clone(), byThing: r.byThing.Clone(), sum: r.sum}
}

func (r recent) with(offset stream.Offset, change Change, things []string) recent {
	next := r.clone()
	next.add(trace{Offset: int64(offset), Writer: change.Writer, Sequence: change.Sequence, Things: things})
	return next
}

func (r *recent) add(item trace) {
	r.byOffset.ReplaceOrInsert(item)
	r.byWriter.ReplaceOrInsert(item)
	for _, thing := range item.Things {
		r.byThing.ReplaceOrInsert(touch{thing: thing, offset: item.Offset})
	}
	r.sum += item.digest()
}

// Forgets what lies outside of the window that ends at an offset.
func (r recent) pruned(offset stream.Offset) recent {
	oldest := int64(offset) - window
	if first, ok := r.byOffset.Min(); !ok || first.Offset >= oldest {
		return r
	}
	next := r.clone()
	for {
		first, ok := next.byOffset.Min()
		if !ok || first.Offset >= oldest {
			return next
		}
		next.remove(first)
	}
}

func (r *recent) remove(item trace) {
	r.byOffset.Delete(item)
	r.byWriter.Delete(item)
	for _, thing := range item.Things {
		if newest, _ := r.byThing.Get(touch{thing: thing}); newest.offset == item.Offset {
			r.byThing.Delete(newest)
		}
	}
	r.sum -= item.digest()
}

func (r recent) find(change Change) (stream.Offset, bool) {
	item, ok := r.byWriter.Get(trace{Writer: change.Writer, Sequence: change.Sequence})
	return stream.Offset(item.Offset), ok
}

// Returns the newest offset at which a thing, or everything, was changed.
func (r recent) changed(thing string) (stream.Offset, bool) {
	own, one := r.byThing.Get(touch{thing: thing})
	all, any := r.byThing.Get(touch{thing: everything})
	return stream.Offset(max(own.offset, all.offset)), one || any
}

// Lists all traces, oldest first.
func (r recent) list() []trace {
	items := make([]trace, 0, r.byOffset.Len())
	r.byOffset.Ascend(func(item trace) bool {
		items = append(items, item)
		return true
	})
	return items
}

func (t trace) digest() uint64 {
	data, err := codec.Marshal(t)
	if err != nil {
		panic(err) // plain values always encode
	}
	return xxhash.Sum64(data)
}
