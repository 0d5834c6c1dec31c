package ledger

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"
	"github.com/sebdah/goldie/v2"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/config/mark"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// publisher is operators at their command lines, with a line for each verdict.
type publisher struct {
	t     *testing.T
	state State
	lines strings.Builder
	count uint64
}

func (pub *publisher) record(data []byte) {
	var verdict Verdict
	pub.state, verdict = pub.state.With(stream.Record{Offset: pub.state.Next(), Data: data})
	fmt.Fprintln(&pub.lines, verdict)
}

// Publishes edits on a base, which counts back from the version in force if it
// is not positive.
func (pub *publisher) publish(title string, base int64, edits ...Edit) []byte {
	pub.t.Helper()
	fmt.Fprintln(&pub.lines, "#", title)
	pub.count++
	if base <= 0 {
		base += pub.state.Version()
	}
	data, err := Encode(Change{Writer: "op", Sequence: pub.count, Base: base, Edits: edits})
	if err != nil {
		pub.t.Fatal(err)
	}
	pub.record(data)
	return data
}

func domainMark(name string, out bool) Edit {
	return Edit{Mark: &mark.Mark{Kind: mark.Domain, Name: name, Out: out}}
}

func TestVerdicts(t *testing.T) {
	pub := &publisher{t: t, state: New()}
	for _, data := range bigTables(t, 3, 0) {
		pub.record(data)
	}
	r0, _ := pub.state.Route("r0")
	faster, slower, unmatched := r0.WithDeadline(50), r0.WithDeadline(5000), r0.WithPools("nowhere")
	r1, _ := pub.state.Route("r1")
	r1 = r1.WithDeadline(60)
	start := pub.state.Version()

	pub.publish("the first operator changes a route", 0, Edit{PutRoute: &faster})
	pub.publish("the second changes it from the same base and loses", start, Edit{PutRoute: &slower})
	pub.publish("a third changes another row from the same base", start, Edit{PutRoute: &r1})
	pub.publish("whole tables need the newest base", start, Edit{Replace: &Tables{}})
	data := pub.publish("a failure domain goes out", 0, domainMark("a", true))
	pub.record(data)
	pub.publish("another operator takes it out from an older base", start, domainMark("a", true))
	pub.publish("back from a base before it was taken out", start, domainMark("a", false))
	pub.publish("cells may change now", 0, Edit{PutDomain: &pool.Domain{Name: "a", Cells: 2}})
	pub.publish("back", 0, domainMark("a", false))
	pub.publish("cells may not change any more", 0, Edit{PutDomain: &pool.Domain{Name: "a", Cells: 3}})
	pub.publish("out and cells in one change", 0, domainMark("a", true), Edit{PutDomain: &pool.Domain{Name: "a", Cells: 3}})
	pub.publish("a failure domain that is not known", 0, domainMark("z", true))
	pub.publish("a VM whose name is none", 0, Edit{Mark: &mark.Mark{Kind: mark.VM, Name: "a b", Out: true}})
	pub.publish("a mark of a rack", 0, Edit{Mark: &mark.Mark{Kind: "rack", Name: "r", Out: true}})
	pub.publish("a pool that routes name", 0, Edit{DropPool: "p"})
	pub.publish("a team that routes name", 0, Edit{DropTeam: "t"})
	pub.publish("a pool that is not there", 0, Edit{PutRoute: &unmatched})
	pub.publish("several faults", 0, Edit{PutTeam: &route.Team{Name: "t t", Quota: amount.Amount{MilliCores: -1, MemoryMB: -1}}})
	pub.publish("one of two edits is bad, so neither holds", 0, Edit{DropRoute: "r2"}, Edit{DropRoute: "r9"})
	pub.publish("a base that is yet to come", 999, domainMark("a", true))
	pub.record([]byte("not a record"))
	malformed, err := codec.Marshal(record{Change: &Change{Writer: "op", Sequence: 900, Edits: []Edit{{}}}})
	if err != nil {
		t.Fatal(err)
	}
	pub.record(malformed)
	goldie.New(t).Assert(t, "verdicts", []byte(pub.lines.String()))
}

// What is remembered stays bounded, and a copy from before that is refused.
func TestWindow(t *testing.T) {
	pub := &publisher{t: t, state: New()}
	old := pub.publish("the first", 0, Edit{PutTeam: &route.Team{Name: "t"}})
	for at := range window + 10 {
		pub.publish("marks", 0, Edit{Mark: &mark.Mark{Kind: mark.VM, Name: fmt.Sprint("w", at%10), Out: at%2 == 0}})
	}
	if diff := cmp.Diff(window+1, pub.state.recent.byOffset.Len()); diff != "" {
		t.Errorf("traces (-want +got):\n%s", diff)
	}
	_, verdict := pub.state.With(stream.Record{Offset: pub.state.Next(), Data: old})
	if diff := cmp.Diff([]any{Rejected, "based on version 0, which is too old; version 4107 is in force"}, []any{verdict.Kind, verdict.Reason}); diff != "" {
		t.Errorf("late copy (-want +got):\n%s", diff)
	}
}

// A reader of an older release judges nothing that it may not understand, keeps
// what is in force, and goes on from a snapshot of a newer one.
func TestNewerRules(t *testing.T) {
	pub := &publisher{t: t, state: New()}
	for _, data := range bigTables(t, 3, 0) {
		pub.record(data)
	}
	newer, old := pub.state, pub.state
	data := pub.publish("", 0, domainMark("a", true))
	newer, _ = newer.With(stream.Record{Offset: newer.Next(), Data: data})
	entry, err := decode(data)
	if err != nil {
		t.Fatal(err)
	}
	entry.Change.Rules = Rules + 1
	if data, err = codec.Marshal(entry); err != nil {
		t.Fatal(err)
	}
	old, verdict := old.With(stream.Record{Offset: old.Next(), Data: data})
	if diff := cmp.Diff([]any{Unjudged, int64(1), false}, []any{verdict.Kind, old.Version(), old.Complete()}); diff != "" {
		t.Errorf("older release (-want +got):\n%s", diff)
	}
	records, err := newer.Snapshot("newer")
	if err != nil {
		t.Fatal(err)
	}
	old, _ = old.With(stream.Record{Offset: old.Next(), Data: records[0]})
	newer, _ = newer.With(stream.Record{Offset: newer.Next(), Data: records[0]})
	if diff := cmp.Diff([]any{newer.Hash(), true}, []any{old.Hash(), old.Complete()}); diff != "" {
		t.Errorf("after the snapshot (-newer +older):\n%s", diff)
	}
}

// A reader without the records takes no snapshot that would harm it.
func TestHarmfulSnapshots(t *testing.T) {
	pub := &publisher{t: t, state: New()}
	for _, data := range bigTables(t, 3, 0) {
		pub.record(data)
	}
	early, err := pub.state.Snapshot("early")
	if err != nil {
		t.Fatal(err)
	}
	behind := pub.state // pauses here, with its version in force
	pub.publish("a change", 0, domainMark("a", true))
	missed := pub.state.Next()
	pub.publish("another", 0, domainMark("a", false))
	late, err := pub.state.Snapshot("late")
	if err != nil {
		t.Fatal(err)
	}
	tampered := lo.Map(late, func(data []byte, _ int) []byte { return edited(t, data, func(piece *part) { piece.Hash++ }) })
	ahead := lo.Map(late, func(data []byte, _ int) []byte { return edited(t, data, func(piece *part) { piece.Version-- }) })

	first := pub.state.Next()
	for _, reader := range []struct {
		title string
		state State
		parts [][]byte
	}{
		{"a reader that knows all, and its own snapshot", pub.state, late},
		{"a reader that knows all, and one that is older", pub.state, early},
		{"a reader that knows all, and one that differs", pub.state, tampered},
		{"a reader that lacks records, and a snapshot from before them", behind.WithFirst(first), early},
		{"a reader that lacks records, and a hash that does not match", behind.WithFirst(first), tampered},
		{"a reader that lacks records, and a version that does not match", behind.WithFirst(first), ahead},
		{"a newborn that lacks the record after the snapshot", New().WithFirst(missed + 1), early},
		{"a reader that lacks records, and an older version", pub.state.WithFirst(first + 1), early},
		{"a newborn", New().WithFirst(first), late},
	} {
		fmt.Fprintln(&pub.lines, "#", reader.title)
		state := reader.state
		for _, data := range reader.parts {
			var verdict Verdict
			state, verdict = state.With(stream.Record{Offset: state.Next(), Data: data})
			fmt.Fprintln(&pub.lines, verdict)
		}
		fmt.Fprintf(&pub.lines, "version %d, complete %t\n", state.Version(), state.Complete())
	}
	goldie.New(t).Assert(t, "snapshots", []byte(pub.lines.String()))
}

// An operator starts anew: readers that remember and readers that do not come
// to the same state, whatever arrives between the parts or again.
func TestReset(t *testing.T) {
	pub := &publisher{t: t, state: New()}
	for _, data := range bigTables(t, 200, 900) {
		pub.record(data)
	}
	config := pub.state.Config()
	knows, lacks := pub.state, New().WithFirst(pub.state.Next())
	records, findings, err := Reset("op", pub.state.Next()-1, Tables{Routes: config.Routes, Pools: config.Pools})
	if err != nil || len(findings) > 0 || len(records) < 2 {
		t.Fatalf("%d records, findings %v, error %v", len(records), findings, err)
	}
	between := pub.publish("meanwhile a change", 0, Edit{DropRoute: "r3"})
	back := func(state State) []byte {
		data, err := Encode(Change{Writer: "op2", Sequence: 1, Base: state.Version(), Edits: []Edit{domainMark("a", false)}})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	pub.lines.Reset()
	feed := func(data []byte) {
		for _, state := range []*State{&knows, &lacks} {
			var verdict Verdict
			*state, verdict = state.With(stream.Record{Offset: state.Next(), Data: data})
			fmt.Fprintln(&pub.lines, verdict)
		}
	}
	for _, data := range slices.Concat([][]byte{between, records[0], records[0]}, records[1:]) {
		feed(data)
	}
	feed(back(knows))
	lo.ForEach(records, func(data []byte, _ int) { feed(data) })
	if diff := cmp.Diff([]any{knows.Hash(), false}, []any{lacks.Hash(), lacks.Marks().DomainOut("a")}); diff != "" {
		t.Errorf("state (-knows +lacks):\n%s", diff)
	}
	goldie.New(t).Assert(t, "reset", []byte(pub.lines.String()))
}

// A snapshot is due by age, by its place in the log and by what follows it, and
// not again as soon as it is written.
func TestSnapshotDue(t *testing.T) {
	const retention = 1000
	pub := &publisher{t: t, state: New()}
	due := []bool{pub.state.SnapshotDue(retention, retention)} // nothing to write
	for _, data := range bigTables(t, 3, 0) {
		pub.record(data)
	}
	due = append(due, pub.state.SnapshotDue(0, retention), pub.state.SnapshotDue(retention/4, retention))
	write := func() {
		records, err := pub.state.Snapshot("op")
		if err != nil {
			t.Fatal(err)
		}
		lo.ForEach(records, func(data []byte, _ int) { pub.record(data) })
	}
	write()
	last := pub.state.LastSnapshot()
	pub.state = pub.state.WithFirst(last) // all before it has expired
	due = append(due, pub.state.SnapshotDue(0, retention))
	write()
	due = append(due, pub.state.SnapshotDue(0, retention))
	for range 400 {
		pub.publish("", 0, Edit{Replace: &Tables{Pools: pub.state.Pools(), Routes: pub.state.Config().Routes}})
	}
	due = append(due, pub.state.SnapshotDue(0, retention))
	if diff := cmp.Diff([]bool{false, false, true, true, false, true}, due); diff != "" {
		t.Errorf("due (-want +got):\n%s", diff)
	}
}

func edited(t *testing.T, data []byte, edit func(*part)) []byte {
	t.Helper()
	entry, err := decode(data)
	if err != nil {
		t.Fatal(err)
	}
	edit(entry.Part)
	data, err = codec.Marshal(entry)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A record of the largest size that claims as many rows as it can stays within
// a fixed share of an entry's memory.
func TestHostileRecordMemory(t *testing.T) {
	const most = 128 << 20                                                                           // bytes allocated for one record
	rows := append([]byte{0x9a, 0x00, 0x01, 0xff, 0xff}, []byte(strings.Repeat("\xa0", 0x1ffff))...) // array of 131071 empty maps
	bodies := map[string][]byte{
		"routes": slices.Concat([]byte{0xa1, 0x01, 0xa3, 0x01, 0x61, 'w', 0x02, 0x01, 0x04, 0x81, 0xa1, 0x01, 0xa1, 0x01, 0xa1, 0x01}, rows),
		"edits":  slices.Concat([]byte{0xa1, 0x01, 0xa3, 0x01, 0x61, 'w', 0x02, 0x01, 0x04}, rows),
		"part":   slices.Concat([]byte{0xa1, 0x02, 0xa3, 0x01, 0x61, 'w', 0x06, 0x01, 0x07, 0xa1, 0x04}, rows),
	}
	for name, data := range bodies {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, verdict := New().With(stream.Record{Offset: 1, Data: data})
		runtime.ReadMemStats(&after)
		if verdict.Kind == Accepted || after.TotalAlloc-before.TotalAlloc > most {
			t.Errorf("%s: %s, %d bytes allocated", name, verdict.Kind, after.TotalAlloc-before.TotalAlloc)
		}
		t.Logf("%s: %d bytes of record, %d bytes allocated: %s", name, len(data), after.TotalAlloc-before.TotalAlloc, verdict)
	}
}

func FuzzRecord(f *testing.F) {
	for _, data := range bigTables(f, 3, 0) {
		f.Add(data)
	}
	state := New()
	for _, data := range bigTables(f, 3, 0) {
		state, _ = state.With(stream.Record{Offset: state.Next(), Data: data})
	}
	parts, _ := state.Snapshot("seed")
	f.Add(parts[0])
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, reader := range []State{state, New().WithFirst(4)} {
			next, verdict := reader.With(stream.Record{Offset: reader.Next(), Data: data})
			if next.Version() < reader.Version() || (verdict.Kind != Accepted && reader.Complete() && next.content() != reader.content()) {
				t.Fatalf("state changed by %s", verdict)
			}
		}
	})
}
