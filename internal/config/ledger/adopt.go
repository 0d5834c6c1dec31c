package ledger

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

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
		whole.pages = append(whole.pages, entry.Part.Rows)
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
	last := piece.Index == piece.Count-1
	if problem == "" && !last {
		s.parts = append(s.parts[max(0, len(s.parts)-maxAssemblies+1):], whole)
	}
	if problem == "" && last {
		s, problem = s.withWhole(offset, whole)
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

// Takes in a snapshot all of whose parts were read.
func (s State) withWhole(offset stream.Offset, whole assembly) (State, string) {
	next, problem := s, ""
	switch {
	case whole.head.Reset:
		next, problem = s.reset(offset, whole)
	case s.complete:
		problem = s.compare(whole)
	default:
		next, problem = s.adopted(whole)
	}
	if problem != "" {
		return s, problem
	}
	next.snapshot, next.tail = whole.first, 0
	return next, ""
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
	next.first, next.next = s.first, s.next
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
	next.first, next.next = s.first, s.next
	next.version = int64(offset)
	next.recent = newRecent().with(offset, name, []string{everything})
	return next.settled(), ""
}
