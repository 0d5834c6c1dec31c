package ledger

import (
	"testing"

	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

const benchRoutes = 43_000

func benchState(b *testing.B) State {
	b.Helper()
	state := New()
	for _, data := range bigTables(b, benchRoutes, 0) {
		state, _ = state.With(stream.Record{Offset: state.Next(), Data: data})
	}
	return state
}

// One changed route among 43,000, as an entry reads it.
func BenchmarkWithOneRoute(b *testing.B) {
	state := benchState(b)
	rt, _ := state.Route("r20000")
	b.ReportAllocs()
	bytes := 0
	for b.Loop() {
		rt = rt.WithDeadline(rt.DeadlineMS%1000 + 1)
		data, err := Encode(Change{Writer: "01K0000000000000000000000", Sequence: uint64(state.Next()), Base: state.Version(), Edits: []Edit{{PutRoute: &rt}}})
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(data)
		var verdict Verdict
		if state, verdict = state.With(stream.Record{Offset: state.Next(), Data: data}); verdict.Kind != Accepted {
			b.Fatal(verdict)
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "record-bytes/op")
}

// The whole tables as slices, which an entry needs once for each version that
// it puts in force.
func BenchmarkConfig(b *testing.B) {
	state := benchState(b)
	b.ReportAllocs()
	for b.Loop() {
		if config := state.settled().Config(); len(config.Routes.Routes) != benchRoutes {
			b.Fatal("rows are missing")
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	state := benchState(b)
	b.ReportAllocs()
	bytes, parts := 0, 0
	for b.Loop() {
		records, err := state.Snapshot("bench")
		if err != nil {
			b.Fatal(err)
		}
		bytes, parts = 0, len(records)
		for _, data := range records {
			bytes += len(data)
		}
	}
	b.ReportMetric(float64(bytes), "snapshot-bytes")
	b.ReportMetric(float64(parts), "parts")
}

func BenchmarkImport(b *testing.B) {
	records, err := benchState(b).Snapshot("bench")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Import(records); err != nil {
			b.Fatal(err)
		}
	}
}
