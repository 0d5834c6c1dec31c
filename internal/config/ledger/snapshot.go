package ledger

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/config/mark"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/config/table"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// part is one record of a snapshot. The rows of all parts together are the
// state after the record at Through.
type part struct {
	Writer  string        `cbor:"1,keyasint"`
	Through stream.Offset `cbor:"2,keyasint"`
	Version int64         `cbor:"3,keyasint"`
	Hash    uint64        `cbor:"4,keyasint"` // of the configuration, see State.content
	Index   int           `cbor:"5,keyasint"`
	Count   int           `cbor:"6,keyasint"`
	Rows    rows          `cbor:"7,keyasint"`
	Reset   bool          `cbor:"8,keyasint,omitempty"` // puts the rows into force, see Reset
}

// rows is some of a state's content.
type rows struct {
	Routes  []route.Route `cbor:"1,keyasint,omitempty"`
	Teams   []route.Team  `cbor:"2,keyasint,omitempty"`
	Domains []pool.Domain `cbor:"3,keyasint,omitempty"`
	Pools   []pool.Pool   `cbor:"4,keyasint,omitempty"`
	Marks   []mark.Mark   `cbor:"5,keyasint,omitempty"`
	Traces  []trace       `cbor:"6,keyasint,omitempty"`
}

// Snapshot returns the state as records for the stream, or for another entry,
// see [Import]. They must be appended in order; if one append fails, all are
// appended again. The state must be complete.
func (state State) Snapshot(writer string) ([][]byte, error) {
	if !state.complete {
		return nil, errors.New("this reader has no whole state to write")
	}
	return state.encoded(writer, false)
}

// Reset returns records that put tables into force whatever the stream held
// before: the way out when the log has lost everything and no entry remembers
// it. All failure domains are out of service afterwards, since nobody knows
// which of them operators had taken out. Through is the last offset that the
// operator has seen; the records must be appended in order and right away.
func Reset(writer string, through stream.Offset, tables Tables) ([][]byte, []table.Finding, error) {
	state := New()
	index, findings := state.index.WithTables(tables.Routes, tables.Pools)
	if len(findings) > 0 {
		return nil, findings, nil
	}
	state.index = index
	state.next = through + 1
	for _, domain := range tables.Pools.Domains {
		state.marks = state.marks.With(mark.Mark{Kind: mark.Domain, Name: domain.Name, Out: true})
	}
	records, err := state.encoded(writer, true)
	return records, nil, err
}

func (state State) encoded(writer string, reset bool) ([][]byte, error) {
	pages, err := state.pages()
	if err != nil {
		return nil, err
	}
	if len(pages) > maxParts {
		return nil, errors.Errorf("the snapshot takes %d records; the limit is %d", len(pages), maxParts)
	}
	records := make([][]byte, 0, len(pages))
	hash := state.content()
	for at, page := range pages {
		piece := part{
			Writer: writer, Through: state.next - 1, Version: state.version, Hash: hash,
			Index: at, Count: len(pages), Rows: page, Reset: reset,
		}
		data, err := codec.Marshal(record{Part: &piece})
		if err != nil {
			return nil, err
		}
		if len(data) > MaxRecordBytes {
			return nil, errors.Errorf("part %d of the snapshot takes %d bytes; the limit of a record is %d", at, len(data), MaxRecordBytes)
		}
		records = append(records, data)
	}
	return records, nil
}

// SnapshotDue reports whether an entry should append a snapshot: the newest
// whole one is old, going by the time since this reader saw it, or will leave
// the log soon, or a newborn reader would have much to read after it. The
// state knows the log's oldest record from WithFirst.
func (state State) SnapshotDue(age, retention clock.Millis) bool {
	if !state.complete || state.version == 0 {
		return false
	}
	// Shares of the kept records stand for shares of the retention time.
	if state.first > 1 && (state.snapshot-state.first)*snapshotShare < state.next-state.first {
		return true
	}
	return state.tail > tailBytes+2*state.Bytes() || age >= retention/snapshotShare
}

// LastSnapshot returns the offset at which the newest whole snapshot begins, 0
// for none.
func (state State) LastSnapshot() stream.Offset { return state.snapshot }

// Bytes estimates the size of a snapshot.
func (state State) Bytes() int64 {
	const perRow = 150
	return perRow * int64(state.index.Rows()+len(state.marks.VMs)+state.recent.byOffset.Len())
}

// Cuts the state into rows of about partBytes each.
func (state State) pages() ([]rows, error) {
	cut := &cutter{}
	tables := state.index.Routes()
	pools := state.index.Pools()
	cutAll(cut, tables.Routes, func(page *rows, row route.Route) { page.Routes = append(page.Routes, row) })
	cutAll(cut, tables.Teams, func(page *rows, row route.Team) { page.Teams = append(page.Teams, row) })
	cutAll(cut, pools.Domains, func(page *rows, row pool.Domain) { page.Domains = append(page.Domains, row) })
	cutAll(cut, pools.Pools, func(page *rows, row pool.Pool) { page.Pools = append(page.Pools, row) })
	cutAll(cut, marksOf(state.marks), func(page *rows, row mark.Mark) { page.Marks = append(page.Marks, row) })
	cutAll(cut, state.recent.list(), func(page *rows, row trace) { page.Traces = append(page.Traces, row) })
	return append(cut.pages, cut.page), cut.err
}

// cutter fills pages and begins a new one when a page is full.
type cutter struct {
	pages []rows
	page  rows
	bytes int
	err   error
}

func cutAll[T any](cut *cutter, list []T, add func(*rows, T)) {
	for _, row := range list {
		data, err := codec.Marshal(row)
		if err != nil {
			cut.err = err
			return
		}
		if cut.bytes+len(data) > partBytes {
			cut.pages = append(cut.pages, cut.page)
			cut.page, cut.bytes = rows{}, 0
		}
		add(&cut.page, row)
		cut.bytes += len(data)
	}
}

func marksOf(set mark.Set) []mark.Mark {
	var list []mark.Mark
	for _, name := range slices.Sorted(maps.Keys(set.Domains)) {
		list = append(list, mark.Mark{Kind: mark.Domain, Name: name, Out: true})
	}
	for _, name := range slices.Sorted(maps.Keys(set.VMs)) {
		list = append(list, mark.Mark{Kind: mark.VM, Name: name, Out: true})
	}
	return list
}
