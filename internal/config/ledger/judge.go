package ledger

import (
	"fmt"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/config/mark"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/table"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// Decides on a change at its offset. The state must be complete.
func (state State) judge(offset stream.Offset, change Change) (State, Verdict) {
	state.recent = state.recent.pruned(offset)
	if problem := shapeProblem(change); problem != "" {
		return state, state.verdict(Rejected, offset, change, problem)
	}
	if earlier, ok := state.recent.find(change); ok {
		return state, state.verdict(Duplicate, offset, change, fmt.Sprintf("the copy at offset %d counts", earlier))
	}
	kind, reason := state.stale(offset, change)
	next := state
	if kind == Accepted {
		next, reason = state.applied(change)
	}
	if reason != "" {
		kind = lo.Ternary(kind == Accepted, Rejected, kind)
		state.recent = state.recent.with(offset, change, nil)
		return state, state.verdict(kind, offset, change, reason)
	}
	next.version = int64(offset)
	next.recent = state.recent.with(offset, change, touched(change))
	return next.settled(), next.verdict(Accepted, offset, change, "")
}

// Says whether what the operator looked at still holds for what is written.
func (state State) stale(offset stream.Offset, change Change) (Kind, string) {
	if change.Base > state.version {
		return UnknownVersion, fmt.Sprintf("based on version %d, but version %d is in force", change.Base, state.version)
	}
	if change.Base == state.version {
		return Accepted, ""
	}
	if change.Base < int64(offset)-window {
		return Rejected, fmt.Sprintf("based on version %d, which is too old; version %d is in force", change.Base, state.version)
	}
	for _, thing := range touched(state.unmet(change)) {
		if thing == everything {
			return Rejected, fmt.Sprintf("replaces whole tables based on version %d, but version %d is in force", change.Base, state.version)
		}
		at, ok := state.recent.changed(thing)
		if ok && int64(at) > change.Base {
			return Rejected, fmt.Sprintf("%s was changed by version %d, after version %d that this change is based on", thing, at, change.Base)
		}
	}
	return Accepted, ""
}

// Applies all edits, or says why not.
func (state State) applied(change Change) (State, string) {
	next := state
	for at, edit := range change.Edits {
		var problem string
		next, problem = next.edited(edit, state.marks)
		if problem == "" {
			continue
		}
		if len(change.Edits) > 1 {
			problem = fmt.Sprintf("edit %d of %d: %s", at+1, len(change.Edits), problem)
		}
		return state, problem
	}
	return next, ""
}

// Applies one edit. Whether a failure domain is out is decided by the marks
// before the change, since its tasks need time to leave.
func (state State) edited(edit Edit, before mark.Set) (State, string) {
	if edit.Mark != nil {
		return state.marked(*edit.Mark)
	}
	index, findings := edit.apply(state.index)
	if len(findings) == 1 {
		return state, findings[0].String()
	}
	if len(findings) > 1 {
		return state, fmt.Sprintf("%s (and %d more)", findings[0], len(findings)-1)
	}
	if problem := domainProblem(state.index.Pools(), index.Pools(), before); problem != "" {
		return state, problem
	}
	state.index = index
	return state, ""
}

func (edit Edit) apply(index table.Index) (table.Index, []table.Finding) {
	switch {
	case edit.Replace != nil:
		return index.WithTables(edit.Replace.Routes, edit.Replace.Pools)
	case edit.Pools != nil:
		return index.WithPools(*edit.Pools)
	case edit.PutRoute != nil:
		return index.WithRoute(*edit.PutRoute)
	case edit.DropRoute != "":
		return index.WithoutRoute(edit.DropRoute)
	case edit.PutTeam != nil:
		return index.WithTeam(*edit.PutTeam)
	case edit.DropTeam != "":
		return index.WithoutTeam(edit.DropTeam)
	case edit.PutPool != nil:
		return index.WithPool(*edit.PutPool)
	case edit.DropPool != "":
		return index.WithoutPool(edit.DropPool)
	case edit.PutDomain != nil:
		return index.WithDomain(*edit.PutDomain)
	default:
		return index.WithoutDomain(edit.DropDomain)
	}
}

func (state State) marked(change mark.Mark) (State, string) {
	switch change.Kind {
	case mark.Domain:
		known := lo.ContainsBy(state.index.Pools().Domains, func(domain pool.Domain) bool { return domain.Name == change.Name })
		if !known && (change.Out || !state.marks.DomainOut(change.Name)) {
			return state, fmt.Sprintf("no failure domain %q in the table of pools", change.Name)
		}
	case mark.VM:
		if !table.ValidVM(change.Name) {
			return state, fmt.Sprintf("%q can't be the name of a VM", change.Name)
		}
		if change.Out && len(state.marks.VMs) >= maxVMMarks && !state.marks.VMs[change.Name] {
			return state, fmt.Sprintf("%d VMs are marked out, which is the limit", maxVMMarks)
		}
	default:
		return state, fmt.Sprintf("a mark is of a %s or a %s, not %q", mark.Domain, mark.VM, change.Kind)
	}
	state.marks = state.marks.With(change)
	return state, ""
}

// A failure domain that is in service keeps its cells, since jobs are found by
// their home cell.
func domainProblem(old, now pool.Table, marks mark.Set) string {
	cells := lo.SliceToMap(now.Domains, func(domain pool.Domain) (string, int) { return domain.Name, domain.Cells })
	for _, domain := range old.Domains {
		count, kept := cells[domain.Name]
		if marks.DomainOut(domain.Name) || (kept && count == domain.Cells) {
			continue
		}
		if !kept {
			return fmt.Sprintf("failure domain %q can be dropped only while it is out", domain.Name)
		}
		return fmt.Sprintf("cells of failure domain %q can be changed only while it is out", domain.Name)
	}
	return ""
}

// Leaves out the marks that are in force already: who asks for what is so does
// not lose to another operator who asked first.
func (state State) unmet(change Change) Change {
	change.Edits = lo.Reject(change.Edits, func(edit Edit, _ int) bool {
		return edit.Mark != nil && state.marks.Has(*edit.Mark)
	})
	return change
}

// Stands for all that a change can touch.
const everything = "*"

// Names what a change writes.
func touched(change Change) []string {
	if len(change.Edits) > maxFineEdits {
		return []string{everything}
	}
	things := lo.Uniq(lo.Map(change.Edits, func(edit Edit, _ int) string { return edit.touches() }))
	if lo.Contains(things, "") {
		return []string{everything}
	}
	return things
}
