package cell

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

func usualSpec(n int) job.Spec {
	return job.Spec{
		Caller: "merchant-orders", Key: fmt.Sprintf("formulation-%08d", n), Route: "formulation", Team: "feeds",
		Class: route.Batch, Pools: []string{"batch"}, Kind: "formulate", Payload: fmt.Sprintf(`{"recipe":%d,"run_ms":60000}`, n),
		Size: amount.Amount{MilliCores: 1500, MemoryMB: 4000}, RunMS: 60_000, MaxAttempts: 5,
	}
}

// life returns the records of one task's life that no failure disturbs.
func life(n int) [][]byte {
	spec := usualSpec(n)
	id := job.ID("eu-a.0", spec.Caller, spec.Key)
	return [][]byte{
		Encode(Submit{Spec: spec}),
		Encode(Start{
			Epoch: 12, ID: id, Attempt: 1, VM: fmt.Sprintf("eu-a-w-%04d", n%1200), Boot: "0192f0c4a7d1", NotAfter: 86_400_000,
			Whole: amount.Amount{MilliCores: 64_000_000, MemoryMB: 250_000_000},
		}),
		Encode(End{ID: id, Attempt: 1, Phase: worker.Finished, Checkpoint: id + "/1/9"}),
	}
}

// filled returns a state with running and queued jobs, on 1,200 workers.
func filled(running, queued int) *State {
	state := New("eu-a.0")
	feed(state, Encode(Claim{Epoch: 1, Entry: "e"}))
	state.epoch, state.owner = 12, "e"
	for n := range running + queued {
		records := life(n)
		feed(state, records[0])
		if n < running {
			feed(state, records[1])
		}
	}
	return state
}

// BenchmarkRecordBytes reports the bytes of each record of a task's life, and
// of the rarer ones.
func BenchmarkRecordBytes(b *testing.B) {
	records := life(1)
	id := job.ID("eu-a.0", "c", "k")
	kept := &Job{ID: id, Spec: usualSpec(1), Hand: 1, Attempt: 1, Phase: job.Finished}
	for name, data := range map[string][]byte{
		"submit": records[0], "start": records[1], "end": records[2],
		"cancel": Encode(Cancel{ID: id}), "evict": Encode(Evict{Epoch: 12, ID: id, Attempt: 1, Reason: "its worker leaves service"}),
		"heartbeat": Encode(Heartbeat{Epoch: 12, Elapsed: 1000, Entry: "eu-a-e-1", Number: 100_000, ReadTo: 1_000_000}),
		"presence":  Encode(Presence{Entry: "eu-a-e-1", Domain: "eu-a", Number: 100_000, ReadTo: 1_000_000}),
		"hand":      Encode(Hand{Epoch: 12, ID: id, Hand: 1, To: "eu-b.0"}), "receipt": Encode(ReceiptOf("eu-a.0", kept)),
		"result": Encode(ResultOf(kept)), "delivered": Encode(Delivered{ID: id, Hand: 1}),
		"drop": Encode(Drop{Epoch: 12, VM: "eu-a-w-0001"}), "claim": Encode(Claim{Epoch: 12, Entry: "eu-a-e-1", Domain: "eu-a"}),
		"empty_batch": EncodeBatch(Batch{Writer: "eu-a-e-1/01JE0000000000000000000000", Sequence: 100_000}),
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_ = len(data)
			}
			b.ReportMetric(float64(len(data)), "bytes/record")
		})
	}
}

// BenchmarkApply measures one task's life: submit, start and end, in groups of
// 32 records to an append as under load.
func BenchmarkApply(b *testing.B) {
	for _, kept := range []int{1000, 33_000, 133_000} {
		b.Run(fmt.Sprintf("jobs=%d", kept), func(b *testing.B) {
			state := filled(min(kept, 33_000), max(kept-33_000, 0))
			n := kept
			b.ResetTimer()
			for b.Loop() {
				b.StopTimer()
				var group [3][][]byte
				for range 32 {
					for at, record := range life(n) {
						group[at] = append(group[at], record)
					}
					n++
				}
				b.StartTimer()
				for _, records := range group {
					feed(state, records...)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*96), "ns/record")
		})
	}
}

// BenchmarkSnapshot measures encoding the whole state, and its bytes.
func BenchmarkSnapshot(b *testing.B) {
	for _, kept := range []int{1000, 33_000, 133_000} {
		state := filled(min(kept, 33_000), max(kept-33_000, 0))
		b.Run(fmt.Sprintf("jobs=%d", kept), func(b *testing.B) {
			var parts [][]byte
			for b.Loop() {
				parts = state.Snapshot()
			}
			size := 0
			for _, data := range parts {
				size += len(data)
			}
			b.ReportMetric(float64(size)/float64(kept), "bytes/job")
		})
	}
}

// BenchmarkRestore measures what a new reader does with a snapshot.
func BenchmarkRestore(b *testing.B) {
	parts := filled(33_000, 0).Snapshot()
	for b.Loop() {
		if _, err := Restore(parts, Rules{}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReplay measures what a new reader does with 50,000 records.
func BenchmarkReplay(b *testing.B) {
	var records []stream.Record
	for n := 0; len(records) < 50_000/96*3; n++ {
		var group [3][][]byte
		for i := range 32 {
			for at, record := range life(n*32 + i) {
				group[at] = append(group[at], record)
			}
		}
		for _, lines := range group {
			offset := stream.Offset(len(records) + 1)
			records = append(records, stream.Record{Offset: offset, Data: EncodeBatch(Batch{Writer: "w", Sequence: uint64(offset), Records: lines})})
		}
	}
	for b.Loop() {
		state := New("eu-a.0")
		state.epoch, state.owner = 12, "e"
		for _, rec := range records {
			state.Apply(rec)
		}
	}
}

// BenchmarkStateMemory reports the heap that a running, a queued and an ended
// job take.
func BenchmarkStateMemory(b *testing.B) {
	const jobs = 50_000
	heap := func(build func() *State) float64 {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		state := build()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(state)
		return float64(after.HeapAlloc-before.HeapAlloc) / jobs
	}
	for b.Loop() {
		b.ReportMetric(heap(func() *State { return filled(jobs, 0) }), "bytes/running")
		b.ReportMetric(heap(func() *State { return filled(0, jobs) }), "bytes/queued")
		b.ReportMetric(heap(func() *State {
			state := New("eu-a.0")
			state.epoch, state.owner = 12, "e"
			for n := range jobs {
				feed(state, life(n)...)
			}
			return state
		}), "bytes/ended")
	}
}
