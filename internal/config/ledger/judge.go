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
func (s State) judge(offset stream.Offset, change Change) (State, Verdict) {
	s.recent = s.recent.pruned(offset)
	if problem := shapeProblem(change); problem != "" {
		return s, s.verdict(Rejected, offset, change, problem)
	}
	if earlier, ok := s.recent.find(change); ok {
		return s, s.verdict(Duplicate, offset, change, fmt.Sprintf("the copy at offset %d counts", earlier))
	}
	kind, reason := s.stale(offset, change)
	next := s
	if kind == Accepted {
		next, reason = s.applied(change)
	}
	if reason != "" {
		kind = lo.Ternary(kind == Accepted, Rejected, kind)
		s.recent = s.recent.with(offset, change, nil)
		return s, s.verdict(kind, offset, change, reason)
	}
	next.version = int64(offset)
	next.recent = s.recent.with(offset, change, touched(change))
	return next.settled(), next.verdict(Accepted, offset, change, "")
}

// Says whether what the operator looked at still holds for what is written.
func (s State) stale(offset stream.Offset, change Change) (Kind, string) {
	if change.Base > s.version {
		return UnknownVersion, fmt.Sprintf("based on version %d, but version %d is in force", change.Base, s.version)
	}
	if change.Base == s.version {
		return Accepted, ""
	}
	if change.Base < int64(offset)-window {
		return Rejected, fmt.Sprintf("based on version %d, which is too old; version %d is in force", change.Base, s.version)
	}
	for _, thing := range touched(s.unmet(change)) {
		if thing == everything {
			return Rejected, fmt.Sprintf("replaces whole tables based on version %d, but version %d is in force", change.Base, s.version)
		}
		at, ok := s.recent.changed(thing)
		if ok && int64(at) > change.Base {
			return Rejected, fmt.Sprintf("%s was changed by version %d, after version %d that this change is based on", thing, at, change.Base)
		}
	}
	return Accepted, ""
}

// Applies all edits, or says why not.
func (s State) applied(change Change) (State, string) {
	next := s
	for at, edit := range change.Edits {
		var problem string
		next, problem = next.edited(edit, s.marks)
		if problem == "" {
			continue
		}
		if len(change.Edits) > 1 {
			problem = fmt.Sprintf("edit %d of %d: %s", at+1, len(change.Edits), problem)
		}
		return s, problem
	}
	return next, ""
}

// Applies one edit. Whether a failure domain is out is decided by the marks
// before the change, since its tasks need time to leave.
func (s State) edited(edit Edit, before mark.Set) (State, string) {
	if edit.Mark != nil {
		return s.marked(*edit.Mark)
	}
	index, findings := edit.apply(s.index)
	if len(findings) == 1 {
		return s, findings[0].String()
	}
	if len(findings) > 1 {
		return s, fmt.Sprintf("%s (and %d more)", findings[0], len(findings)-1)
	}
	if problem := domainProblem(s.index.Pools(), index.Pools(), before); problem != "" {
		return s, problem
	}
	s.index = index
	return s, ""
}

func (e Edit) apply(index table.Index) (table.Index, []table.Finding) {
	switch {
	case e.Replace != nil:
		return index.WithTables(e.Replace.Routes, e.Replace.Pools)
	case e.Pools != nil:
		return index.WithPools(*e.Pools)
	case e.PutRoute != nil:
		return index.WithRoute(*e.PutRoute)
	case e.DropRoute != "":
		return index.WithoutRoute(e.DropRoute)
	case e.PutTeam != nil:
		return index.WithTeam(*e.PutTeam)
	case e.DropTeam != "":
		return index.WithoutTeam(e.DropTeam)
	case e.PutPool != nil:
		return index.WithPool(*e.PutPool)
	case e.DropPool != "":
		return index.WithoutPool(e.DropPool)
	case e.PutDomain != nil:
		return index.WithDomain(*e.PutDomain)
	default:
		return index.WithoutDomain(e.DropDomain)
	}
}

func (s State) marked(change mark.Mark) (State, string) {
	switch change.Kind {
	case mark.Domain:
		known := lo.ContainsBy(s.index.Pools().Domains, func(domain pool.Domain) bool { return domain.Name == change.Name })
		if !known && (change.Out || !s.marks.DomainOut(change.Name)) {
			return s, fmt.Sprintf("no failure domain %q in the table of pools", change.Name)
		}
	case mark.VM:
		if !table.ValidVM(change.Name) {
			return s, fmt.Sprintf("%q can't be the name of a VM", change.Name)
		}
		if change.Out && len(s.marks.VMs) >= maxVMMarks && !s.marks.VMs[change.Name] {
			return s, fmt.Sprintf("%d VMs are marked out, which is the limit", maxVMMarks)
		}
	default:
		return s, fmt.Sprintf("a mark is of a %s or a %s, not %q", mark.Domain, mark.VM, change.Kind)
	}
	s.marks = s.marks.With(change)
	return s, ""
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
func (s State) unmet(change Change) Change {
	change.Edits = lo.Reject(change.Edits, func(edit Edit, _ int) bool {
		return edit.Mark != nil && s.marks.Has(*edit.Mark)
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
