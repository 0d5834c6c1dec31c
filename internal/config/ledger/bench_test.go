package ledger

import (
	"runtime"
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/clock"
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

// Changes one row again and again, as an entry reads it from the stream.
func benchChange(b *testing.B, state State, next func(count int) Edit, after func(State)) {
	b.Helper()
	b.ReportAllocs()
	bytes, count := 0, 0
	for b.Loop() {
		count++
		data, err := Encode(Change{Writer: "01K0000000000000000000000", Sequence: uint64(count), Base: state.Version(), Edits: []Edit{next(count)}})
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(data)
		var verdict Verdict
		if state, verdict = state.With(stream.Record{Offset: state.Next(), Data: data}); verdict.Kind != Accepted {
			b.Fatal(verdict)
		}
		after(state)
	}
	b.ReportMetric(float64(bytes)/float64(count), "record-bytes/op")
}

func routeEdit(state State) func(int) Edit {
	rt, _ := state.Route("r20000")
	return func(count int) Edit {
		changed := rt.WithDeadline(clock.Millis(count%1000 + 1))
		return Edit{PutRoute: &changed}
	}
}

func markEdit(count int) Edit { return domainMark("a", count%2 == 0) }

func nothing(State) {}

// Builds the tables as slices, which an entry needs for what it puts in force.
func build(state State) { _ = state.Config() }

func BenchmarkWithRoute(b *testing.B) {
	state := benchState(b)
	benchChange(b, state, routeEdit(state), nothing)
}

func BenchmarkWithMark(b *testing.B) { benchChange(b, benchState(b), markEdit, nothing) }

func BenchmarkWithRouteAndConfig(b *testing.B) {
	state := benchState(b)
	benchChange(b, state, routeEdit(state), build)
}

func BenchmarkWithMarkAndConfig(b *testing.B) { benchChange(b, benchState(b), markEdit, build) }

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
	before := heap()
	state, err := Import(records)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(heap()-before), "state-bytes")
	runtime.KeepAlive(state)
}

func heap() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
