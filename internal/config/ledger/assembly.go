package ledger

import (
	"slices"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/config/mark"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/config/table"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// assembly is a snapshot of which some parts were read.
type assembly struct {
	head  part // the newest part read, less its rows
	first stream.Offset
	pages []rows // empty when the reader is complete and only follows along
	bytes int
}

// Adds a part to those of the same snapshot.
func (state State) assembled(offset stream.Offset, piece part, size int) (assembly, string) {
	if piece.Writer == "" || len(piece.Writer) > maxWriterBytes || piece.Count < 1 || piece.Count > maxParts ||
		piece.Index < 0 || piece.Index >= piece.Count || piece.Through < 0 || piece.Through >= offset || piece.Version < 0 ||
		piece.Version > int64(piece.Through) {
		return assembly{}, "malformed part of a snapshot"
	}
	whole := assembly{head: piece.bare(), first: offset}
	if piece.Index > 0 {
		at := slices.IndexFunc(state.parts, func(other assembly) bool { return other.head.followedBy(piece) })
		if at < 0 {
			return whole, "part of a snapshot without the part before it"
		}
		whole = state.parts[at]
		whole.head = piece.bare()
	}
	if state.complete && !piece.Reset {
		return whole, ""
	}
	whole.bytes += size
	if whole.bytes > maxPendingBytes {
		return whole, "snapshot is too large to collect"
	}
	whole.pages = append(slices.Clip(whole.pages), piece.Rows) // older states keep their own
	return whole, ""
}

func (piece part) bare() part {
	piece.Rows = rows{}
	return piece
}

func (piece part) followedBy(next part) bool {
	return piece.sameSnapshot(next) && piece.Index+1 == next.Index
}

// Reports whether a part is a copy of this one or of an earlier one.
func (piece part) repeats(other part) bool {
	return piece.sameSnapshot(other) && other.Index <= piece.Index
}

func (piece part) sameSnapshot(other part) bool {
	return piece.Writer == other.Writer && piece.Through == other.Through && piece.Version == other.Version &&
		piece.Hash == other.Hash && piece.Count == other.Count && piece.Reset == other.Reset
}

// Joins the rows of all parts.
func (whole assembly) rows() rows {
	return rows{
		Routes:  lo.FlatMap(whole.pages, func(page rows, _ int) []route.Route { return page.Routes }),
		Teams:   lo.FlatMap(whole.pages, func(page rows, _ int) []route.Team { return page.Teams }),
		Domains: lo.FlatMap(whole.pages, func(page rows, _ int) []pool.Domain { return page.Domains }),
		Pools:   lo.FlatMap(whole.pages, func(page rows, _ int) []pool.Pool { return page.Pools }),
		Marks:   lo.FlatMap(whole.pages, func(page rows, _ int) []mark.Mark { return page.Marks }),
		Traces:  lo.FlatMap(whole.pages, func(page rows, _ int) []trace { return page.Traces }),
	}
}

// Builds the state that a whole snapshot describes.
func (whole assembly) state() (State, string) {
	state := New()
	all := whole.rows()
	index, findings := state.index.WithTables(
		route.Table{Routes: all.Routes, Teams: all.Teams},
		pool.Table{Domains: all.Domains, Pools: all.Pools},
	)
	if len(findings) > 0 {
		return state, "snapshot holds invalid tables: " + findings[0].String()
	}
	marks, problem := marksFrom(all.Marks)
	if problem != "" {
		return state, problem
	}
	state.next = whole.head.Through + 1
	state.version = whole.head.Version
	state.index = index
	state.marks = marks
	for _, item := range all.Traces {
		if item.Offset > int64(whole.head.Through) || len(item.Things) > maxFineEdits {
			return state, "snapshot holds a malformed trace"
		}
		state.recent.add(item)
	}
	if state.content() != whole.head.Hash {
		return state, "snapshot does not match its hash"
	}
	return state.settled(), ""
}

func marksFrom(list []mark.Mark) (mark.Set, string) {
	if len(list) > maxVMMarks+table.MaxDomains {
		return mark.Set{}, "snapshot holds too many marks"
	}
	set := mark.Set{Domains: map[string]bool{}, VMs: map[string]bool{}}
	for _, item := range list {
		switch {
		case item.Kind == mark.Domain && item.Out:
			set.Domains[item.Name] = true
		case item.Kind == mark.VM && item.Out:
			set.VMs[item.Name] = true
		default:
			return set, "snapshot holds a malformed mark"
		}
	}
	return set, ""
}
