package ledger

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"

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
	rows  rows // empty when the reader is complete and only follows along
	bytes int
}

// gap is what a reader that lacks records has collected since. It is immutable.
type gap struct {
	start  stream.Offset // all records from here on were read
	newest *waiting
	bytes  int
}

// waiting is a change that could not be judged yet.
type waiting struct {
	offset stream.Offset
	change Change
	before *waiting
}

func (g gap) with(offset stream.Offset, change Change, size int) gap {
	if g.bytes+size > maxPendingBytes {
		return gap{start: offset + 1}
	}
	return gap{start: g.start, newest: &waiting{offset, change, g.newest}, bytes: g.bytes + size}
}

// Lists the changes after an offset, oldest first.
func (g gap) after(through stream.Offset) []*waiting {
	var list []*waiting
	for item := g.newest; item != nil && item.offset > through; item = item.before {
		list = append(list, item)
	}
	slices.Reverse(list)
	return list
}

// Import builds a state from the records of another entry's [State.Snapshot].
func Import(records [][]byte) (State, error) {
	var whole assembly
	for at, data := range records {
		entry, err := decode(data)
		if err != nil {
			return State{}, errors.Wrap(err, "import configuration")
		}
		if entry.Part == nil || entry.Part.Index != at || entry.Part.Count != len(records) {
			return State{}, errors.New("import configuration: not the parts of one snapshot in order")
		}
		whole.rows = whole.rows.with(entry.Part.Rows)
		whole.head = entry.Part.bare()
	}
	if len(records) == 0 {
		return State{}, errors.New("import configuration: no records")
	}
	state, problem := whole.state()
	if problem != "" {
		return State{}, errors.New("import configuration: " + problem)
	}
	return state, nil
}

// Takes in one part of a snapshot.
func (s State) withPart(offset stream.Offset, piece part, size int) (State, Verdict) {
	verdict := Verdict{Kind: Part, Offset: offset, Version: s.version, Writer: piece.Writer, Sequence: uint64(max(piece.Index, 0))}
	if slices.ContainsFunc(s.parts, func(other assembly) bool { return other.head.repeats(piece) }) {
		verdict.Kind, verdict.Reason = Duplicate, "a copy was read before"
		return s, verdict
	}
	whole, problem := s.assembled(offset, piece, size)
	s.parts = slices.DeleteFunc(slices.Clone(s.parts), func(other assembly) bool { return other.head.Writer == piece.Writer })
	switch {
	case problem != "":
	case piece.Index < piece.Count-1:
		s.parts = append(s.parts, whole)
		if len(s.parts) > maxAssemblies {
			s.parts = s.parts[1:]
		}
	case piece.Reset:
		s, problem = s.reset(offset, whole)
	case s.complete:
		problem = s.compare(whole)
	default:
		s, problem = s.adopted(whole)
	}
	if problem == "" && piece.Index == piece.Count-1 {
		s.snapshot = whole.first
		s.tail = 0
	}
	switch {
	case problem != "":
		verdict.Kind, verdict.Reason = Rejected, problem
	case s.version == int64(offset):
		verdict.Kind = Accepted
	}
	verdict.Version = s.version
	return s, verdict
}

// Adds a part to those of the same snapshot.
func (s State) assembled(offset stream.Offset, piece part, size int) (assembly, string) {
	if piece.Writer == "" || len(piece.Writer) > maxWriterBytes || piece.Count < 1 || piece.Count > maxParts ||
		piece.Index < 0 || piece.Index >= piece.Count || piece.Through < 0 || piece.Through >= offset || piece.Version < 0 ||
		piece.Version > int64(piece.Through) {
		return assembly{}, "malformed part of a snapshot"
	}
	whole := assembly{head: piece.bare(), first: offset}
	if piece.Index > 0 {
		at := slices.IndexFunc(s.parts, func(other assembly) bool { return other.head.followedBy(piece) })
		if at < 0 {
			return whole, "part of a snapshot without the part before it"
		}
		whole = s.parts[at]
		whole.head = piece.bare()
	}
	if s.complete && !piece.Reset {
		return whole, ""
	}
	whole.bytes += size
	if whole.bytes > maxPendingBytes {
		return whole, "snapshot is too large to collect"
	}
	// Clipped, so that an older state's rows are not overwritten.
	whole.rows = whole.rows.clipped().with(piece.Rows)
	return whole, ""
}

func (p part) bare() part {
	p.Rows = rows{}
	return p
}

func (p part) followedBy(next part) bool { return p.sameSnapshot(next) && p.Index+1 == next.Index }

// Reports whether a part is a copy of this one or of an earlier one.
func (p part) repeats(other part) bool { return p.sameSnapshot(other) && other.Index <= p.Index }

func (p part) sameSnapshot(other part) bool {
	return p.Writer == other.Writer && p.Through == other.Through && p.Version == other.Version &&
		p.Hash == other.Hash && p.Count == other.Count && p.Reset == other.Reset
}

func (r rows) clipped() rows {
	return rows{
		Routes: slices.Clip(r.Routes), Teams: slices.Clip(r.Teams), Domains: slices.Clip(r.Domains),
		Pools: slices.Clip(r.Pools), Marks: slices.Clip(r.Marks), Traces: slices.Clip(r.Traces),
	}
}

// Compares a snapshot with what this reader knows from the records themselves.
func (s State) compare(whole assembly) string {
	if whole.head.Version > s.version {
		return fmt.Sprintf("snapshot of version %d, but version %d is in force", whole.head.Version, s.version)
	}
	if whole.head.Version == s.version && whole.head.Hash != s.content() {
		return fmt.Sprintf("snapshot of version %d differs from the records", s.version)
	}
	return ""
}

// Returns the state that a snapshot and the changes read since give, or why
// the snapshot can't be used.
func (s State) adopted(whole assembly) (State, string) {
	if whole.head.Version < s.version {
		return s, fmt.Sprintf("snapshot of version %d, but version %d is in force", whole.head.Version, s.version)
	}
	if whole.head.Through < s.gap.start-1 {
		return s, fmt.Sprintf("snapshot through offset %d, but this reader began at %d", whole.head.Through, s.gap.start)
	}
	next, problem := whole.state()
	if problem != "" {
		return s, problem
	}
	for _, item := range s.gap.after(whole.head.Through) {
		next, _ = next.judge(item.offset, item.change)
	}
	next.next = s.next
	return next, ""
}

// Returns the state that an operator's reset gives, the same for readers with
// and without the records before it. Changes since the operator looked are
// overridden; a copy that arrives much later is not taken.
func (s State) reset(offset stream.Offset, whole assembly) (State, string) {
	if whole.first > whole.head.Through+resetReach {
		return s, fmt.Sprintf("reset after offset %d came too late", whole.head.Through)
	}
	name := Change{Writer: whole.head.Writer, Sequence: uint64(whole.head.Through)}
	if earlier, ok := s.recent.find(name); ok {
		return s, fmt.Sprintf("the copy of this reset at offset %d counts", earlier)
	}
	next, problem := whole.state()
	if problem != "" {
		return s, problem
	}
	next.next = s.next
	next.version = int64(offset)
	next.recent = newRecent().with(offset, name, []string{everything})
	return next.settled(), ""
}

// Builds the state that a whole snapshot describes.
func (a assembly) state() (State, string) {
	state := New()
	index, findings := state.index.WithTables(
		route.Table{Routes: a.rows.Routes, Teams: a.rows.Teams},
		pool.Table{Domains: a.rows.Domains, Pools: a.rows.Pools},
	)
	if len(findings) > 0 {
		return state, "snapshot holds invalid tables: " + findings[0].String()
	}
	marks, problem := marksFrom(a.rows.Marks)
	if problem != "" {
		return state, problem
	}
	state.next = a.head.Through + 1
	state.version = a.head.Version
	state.index = index
	state.marks = marks
	for _, item := range a.rows.Traces {
		if item.Offset > int64(a.head.Through) || len(item.Things) > maxFineEdits {
			return state, "snapshot holds a malformed trace"
		}
		state.recent.add(item)
	}
	if state.content() != a.head.Hash {
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
