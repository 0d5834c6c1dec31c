package ledger

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/config/mark"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/config/table"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// model decides on changes the plain way: it keeps whole copies of the tables,
// every change ever judged, and checks everything each time.
type model struct {
	version int64
	tables  Tables
	marks   mark.Set
	judged  map[string]bool
	changes []modelChange
}

type modelChange struct {
	version int64
	things  []string // empty for whole tables
}

func (model *model) judge(offset stream.Offset, change Change) Kind {
	name := fmt.Sprint(change.Writer, change.Sequence)
	if model.judged[name] {
		return Duplicate
	}
	model.judged[name] = true
	if change.Base > model.version {
		return UnknownVersion
	}
	if model.conflicts(change) {
		return Rejected
	}
	tables, marks := model.tables, model.marks
	for _, edit := range change.Edits {
		next, nextMarks, ok := model.apply(tables, marks, edit)
		if !ok || len(table.Check(next.Routes, next.Pools)) > 0 {
			return Rejected
		}
		tables, marks = next, nextMarks
	}
	model.tables, model.marks, model.version = tables, marks, int64(offset)
	model.changes = append(model.changes, modelChange{model.version, things(change)})
	return Accepted
}

func things(change Change) []string {
	list := lo.Map(change.Edits, func(edit Edit, _ int) string { return edit.touches() })
	if lo.Contains(list, "") {
		return nil
	}
	return list
}

func (model *model) conflicts(change Change) bool {
	wanted := things(change)
	if wanted == nil {
		return change.Base != model.version
	}
	for _, edit := range change.Edits {
		if edit.Mark != nil && model.marks.Has(*edit.Mark) {
			wanted = lo.Without(wanted, edit.touches())
		}
	}
	return lo.SomeBy(model.changes, func(earlier modelChange) bool {
		overlap := (earlier.things == nil && len(wanted) > 0) || lo.Some(earlier.things, wanted)
		return earlier.version > change.Base && overlap
	})
}

func put[T any](rows []T, row T, name func(T) string) []T {
	next := slices.Clone(rows)
	for at := range next {
		if name(next[at]) == name(row) {
			next[at] = row
			return next
		}
	}
	return append(next, row)
}

func drop[T any](rows []T, gone string, name func(T) string) ([]T, bool) {
	next := lo.Reject(rows, func(row T, _ int) bool { return name(row) == gone })
	return next, len(next) < len(rows)
}

func (model *model) apply(now Tables, marks mark.Set, edit Edit) (Tables, mark.Set, bool) {
	ok := true
	next := now
	switch {
	case edit.Replace != nil:
		next = *edit.Replace
	case edit.Pools != nil:
		next.Pools = *edit.Pools
	case edit.PutRoute != nil:
		next.Routes.Routes = put(now.Routes.Routes, *edit.PutRoute, routeName)
	case edit.DropRoute != "":
		next.Routes.Routes, ok = drop(now.Routes.Routes, edit.DropRoute, routeName)
	case edit.PutTeam != nil:
		next.Routes.Teams = put(now.Routes.Teams, *edit.PutTeam, teamName)
	case edit.DropTeam != "":
		next.Routes.Teams, ok = drop(now.Routes.Teams, edit.DropTeam, teamName)
	case edit.PutPool != nil:
		next.Pools.Pools = put(now.Pools.Pools, *edit.PutPool, poolName)
	case edit.DropPool != "":
		next.Pools.Pools, ok = drop(now.Pools.Pools, edit.DropPool, poolName)
	case edit.PutDomain != nil:
		next.Pools.Domains = put(now.Pools.Domains, *edit.PutDomain, domainName)
	case edit.DropDomain != "":
		next.Pools.Domains, ok = drop(now.Pools.Domains, edit.DropDomain, domainName)
	case edit.Mark != nil:
		known := lo.Contains(names(now.Pools.Domains, domainName), edit.Mark.Name) || (!edit.Mark.Out && marks.DomainOut(edit.Mark.Name))
		return now, marks.With(*edit.Mark), edit.Mark.Kind == mark.VM || known
	}
	for _, domain := range now.Pools.Domains {
		same := lo.ContainsBy(next.Pools.Domains, func(other pool.Domain) bool {
			return other.Name == domain.Name && other.Cells == domain.Cells
		})
		ok = ok && (same || model.marks.DomainOut(domain.Name))
	}
	return next, marks, ok
}

// Draws from few names, so that changes meet.
func drawEdit(t *rapid.T) Edit {
	name := func(kind string) string { return rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, kind) }
	domain := pool.Domain{Name: name("domain"), Cells: rapid.IntRange(1, 2).Draw(t, "cells")}
	pl := pool.Pool{
		Name: name("pool"), FailureDomains: []string{name("domain of pool")}, Slots: 8, Connections: 64, LeaseMS: 10_000, HoldMS: 60_000,
		VMPrefix: rapid.SampledFrom([]string{"", "w", "w-x"}).Draw(t, "prefix"), MaxMovesPerSec: 5,
		ReservePercent: rapid.SampledFrom([]int{0, 0, 0, 100}).Draw(t, "reserve"),
	}
	team := route.Team{Name: name("team"), Quota: amount.Amount{MilliCores: rapid.SampledFrom([]int64{1, 2, 3, 4, 5, 6, -1}).Draw(t, "quota")}}
	rt := route.Route{
		Name: name("route"), Team: team.Name, Pools: []string{pl.Name}, DeadlineMS: 100, MaxRequestBytes: 1, MaxAnswerBytes: 1, MaxQueued: 1,
		Class: rapid.SampledFrom([]route.Class{route.Urgent, route.Batch}).Draw(t, "class"),
	}
	if rt.Class == route.Batch {
		rt.MaxAttempts = 1
	} else {
		rt.Match.PathPrefix = rapid.SampledFrom([]string{"/a", "/b"}).Draw(t, "path")
	}
	word := mark.Mark{Kind: rapid.SampledFrom([]mark.Kind{mark.Domain, mark.VM}).Draw(t, "kind"), Name: name("marked"), Out: rapid.Bool().Draw(t, "out")}
	tables := Tables{
		Routes: route.Table{Routes: []route.Route{rt}, Teams: []route.Team{team}},
		Pools:  pool.Table{Domains: []pool.Domain{domain}, Pools: []pool.Pool{pl}},
	}
	return rapid.SampledFrom([]Edit{
		{PutRoute: &rt},
		{PutRoute: &rt},
		{DropRoute: rt.Name},
		{PutTeam: &team},
		{PutTeam: &team},
		{DropTeam: team.Name},
		{PutPool: &pl},
		{PutPool: &pl},
		{DropPool: pl.Name},
		{PutDomain: &domain},
		{PutDomain: &domain},
		{DropDomain: domain.Name},
		{Mark: &word},
		{Mark: &word},
		{Replace: &tables},
		{Pools: &tables.Pools},
	}).Draw(t, "edit")
}

func sorted(tables Tables) Tables {
	tables.Routes.Routes = slices.SortedFunc(slices.Values(tables.Routes.Routes), func(a, b route.Route) int { return cmpNames(a.Name, b.Name) })
	tables.Routes.Teams = slices.SortedFunc(slices.Values(tables.Routes.Teams), func(a, b route.Team) int { return cmpNames(a.Name, b.Name) })
	return tables
}

func cmpNames(a, b string) int {
	if a < b {
		return -1
	}
	return lo.Ternary(a > b, 1, 0)
}

// Racing operators, stale bases and repeated appends: the state and its reference
// model reach the same verdicts and tables, and a reader that begins later from
// a snapshot reaches the same state, hash and later verdicts.
func TestStateAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, plain := New(), &model{judged: map[string]bool{}}
		var late *State
		sent := [][]byte{first(t)}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			data := sent[0]
			if step > 0 {
				data = drawRecord(t, state, step, sent)
			}
			sent = append(sent, data)
			rec := stream.Record{Offset: state.Next(), Data: data}
			change, _ := Decode(data)
			wanted := plain.judge(rec.Offset, change)
			before := state.Version()
			var verdict Verdict
			state, verdict = state.With(rec)
			if diff := cmp.Diff(wanted, verdict.Kind); diff != "" {
				t.Fatalf("verdict on %+v (-model +state):\n%s%s", change, diff, verdict)
			}
			if state.Version() < before {
				t.Fatalf("version went from %d back to %d", before, state.Version())
			}
			late = follow(t, late, state, rec, verdict)
		}
		config := state.Config()
		got := sorted(Tables{Routes: config.Routes, Pools: config.Pools})
		if diff := cmp.Diff(sorted(plain.tables), got, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("tables (-model +state):\n%s", diff)
		}
		if diff := cmp.Diff(plain.marks, config.Marks, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("marks (-model +state):\n%s", diff)
		}
	})
}

// The first record fills the tables, so that most edits meet rows.
func first(t *rapid.T) []byte {
	pl := pool.Pool{FailureDomains: []string{"x", "y"}, Slots: 8, Connections: 64, LeaseMS: 10_000, HoldMS: 60_000, MaxMovesPerSec: 5}
	inner, outer := pl, pl
	inner.Name, inner.VMPrefix, outer.Name = "x", "w", "y"
	rt := route.Route{Name: "x", Team: "x", Class: route.Batch, DeadlineMS: 100, MaxRequestBytes: 1, MaxAnswerBytes: 1, MaxQueued: 1, MaxAttempts: 1}
	second := rt.WithPools("y")
	second.Name = "y"
	data, err := Encode(Change{Writer: "first", Edits: []Edit{{Replace: &Tables{
		Routes: route.Table{Routes: []route.Route{rt.WithPools("x"), second}, Teams: []route.Team{{Name: "x"}, {Name: "y"}}},
		Pools:  pool.Table{Domains: []pool.Domain{{Name: "x", Cells: 1}, {Name: "y", Cells: 1}}, Pools: []pool.Pool{inner, outer}},
	}}}})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func drawRecord(t *rapid.T, state State, step int, sent [][]byte) []byte {
	if len(sent) > 0 && rapid.IntRange(0, 9).Draw(t, "repeat") == 9 {
		return rapid.SampledFrom(sent).Draw(t, "copy")
	}
	change := Change{
		Writer: rapid.SampledFrom([]string{"first", "second"}).Draw(t, "writer"), Sequence: uint64(step),
		Base:  max(0, state.Version()-rapid.SampledFrom([]int64{0, 0, 0, 0, 0, 1, 2, 5, -1}).Draw(t, "behind")),
		Edits: rapid.SliceOfN(rapid.Custom(drawEdit), 1, 3).Draw(t, "edits"),
	}
	data, err := Encode(change)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Runs a second reader beside the first: it begins at some record with nothing,
// gets a snapshot of the first, and must agree from then on.
func follow(t *rapid.T, late *State, state State, rec stream.Record, verdict Verdict) *State {
	if late == nil {
		if rapid.IntRange(0, 4).Draw(t, "begin") > 0 {
			return nil
		}
		fresh, _ := New().With(rec)
		return &fresh
	}
	next, own := late.With(rec)
	if next.Complete() {
		if diff := cmp.Diff([]any{verdict, state.Hash()}, []any{own, next.Hash()}); diff != "" {
			t.Fatalf("late reader (-first +late):\n%s", diff)
		}
		return &next
	}
	if rapid.IntRange(0, 3).Draw(t, "snapshot") > 0 {
		return &next
	}
	records, err := state.Snapshot("snapshotter")
	if err != nil {
		t.Fatal(err)
	}
	imported, err := Import(records)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(state.Hash(), imported.Hash()); diff != "" {
		t.Fatalf("imported state (-first +imported):\n%s", diff)
	}
	return &imported
}
