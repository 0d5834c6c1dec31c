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
func (state State) withPart(offset stream.Offset, piece part, size int) (State, Verdict) {
	verdict := Verdict{Kind: Part, Offset: offset, Version: state.version, Writer: piece.Writer, Sequence: uint64(max(piece.Index, 0))}
	if slices.ContainsFunc(state.parts, func(other assembly) bool { return other.head.repeats(piece) }) {
		verdict.Kind, verdict.Reason = Duplicate, "a copy was read before"
		return state, verdict
	}
	whole, problem := state.assembled(offset, piece, size)
	state.parts = slices.DeleteFunc(slices.Clone(state.parts), func(other assembly) bool { return other.head.Writer == piece.Writer })
	last := piece.Index == piece.Count-1
	if problem == "" && !last {
		state.parts = append(state.parts[max(0, len(state.parts)-maxAssemblies+1):], whole)
	}
	if problem == "" && last {
		state, problem = state.withWhole(offset, whole)
	}
	switch {
	case problem != "":
		verdict.Kind, verdict.Reason = Rejected, problem
	case state.version == int64(offset):
		verdict.Kind = Accepted
	}
	verdict.Version = state.version
	return state, verdict
}

// Takes in a snapshot all of whose parts were read.
func (state State) withWhole(offset stream.Offset, whole assembly) (State, string) {
	next, problem := state, ""
	switch {
	case whole.head.Reset:
		next, problem = state.reset(offset, whole)
	case state.complete:
		problem = state.compare(whole)
	default:
		next, problem = state.adopted(whole)
	}
	if problem != "" {
		return state, problem
	}
	next.snapshot, next.tail = whole.first, 0
	return next, ""
}

// Compares a snapshot with what this reader knows from the records themselves.
func (state State) compare(whole assembly) string {
	if whole.head.Version > state.version {
		return fmt.Sprintf("snapshot of version %d, but version %d is in force", whole.head.Version, state.version)
	}
	if whole.head.Version == state.version && whole.head.Hash != state.content() {
		return fmt.Sprintf("snapshot of version %d differs from the records", state.version)
	}
	return ""
}

// Returns the state that a snapshot and the changes read since give, or why
// the snapshot can't be used.
func (state State) adopted(whole assembly) (State, string) {
	if whole.head.Version < state.version {
		return state, fmt.Sprintf("snapshot of version %d, but version %d is in force", whole.head.Version, state.version)
	}
	if whole.head.Through < state.gap.start-1 {
		return state, fmt.Sprintf("snapshot through offset %d, but this reader began at %d", whole.head.Through, state.gap.start)
	}
	next, problem := whole.state()
	if problem != "" {
		return state, problem
	}
	for _, item := range state.gap.after(whole.head.Through) {
		next, _ = next.judge(item.offset, item.change)
	}
	next.first, next.next = state.first, state.next
	return next, ""
}

// Returns the state that an operator's reset gives, the same for readers with
// and without the records before it. Changes since the operator looked are
// overridden; a copy that arrives much later is not taken.
func (state State) reset(offset stream.Offset, whole assembly) (State, string) {
	if whole.first > whole.head.Through+resetReach {
		return state, fmt.Sprintf("reset after offset %d came too late", whole.head.Through)
	}
	name := Change{Writer: whole.head.Writer, Sequence: uint64(whole.head.Through)}
	if earlier, ok := state.recent.find(name); ok {
		return state, fmt.Sprintf("the copy of this reset at offset %d counts", earlier)
	}
	next, problem := whole.state()
	if problem != "" {
		return state, problem
	}
	next.first, next.next = state.first, state.next
	next.version = int64(offset)
	next.recent = newRecent().with(offset, name, []string{everything})
	return next.settled(), ""
}
