package placement_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/batch/placement"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

var benchSizes = []int{100, 1_000, 10_000}

// filled returns an index of workers that are committed to a random part, 27
// tasks each on average at most.
func filled(count int, random *rand.Rand) *placement.Index {
	index := placement.New(1)
	for i := range count {
		worker := placement.Worker{
			Name: fmt.Sprint("vm-", i), Rack: fmt.Sprint(i / 11), Pool: "p",
			Size:    amount.Amount{MilliCores: 64_000, MemoryMB: 250_000},
			Reserve: amount.Amount{MilliCores: 6_400, MemoryMB: 25_000},
		}
		worker.Committed = amount.Amount{MilliCores: random.Int64N(57_000), MemoryMB: random.Int64N(225_000)}
		index.Put(worker)
	}
	return index
}

// BenchmarkStart is a decision with its commit and the end of an older task.
func BenchmarkStart(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			index := filled(count, random)
			type run struct {
				vm   string
				size amount.Amount
			}
			runs := make([]run, 0, 4*count)
			b.ReportAllocs()
			for b.Loop() {
				size := amount.Amount{MilliCores: 500 + random.Int64N(3500), MemoryMB: 1000 + random.Int64N(15_000)}
				vm, _ := index.Place(placement.Need{Size: size, Pools: []string{"p"}, Class: route.Batch})
				if vm != "" {
					index.Commit(vm, size)
					runs = append(runs, run{vm, size})
				}
				if len(runs) == cap(runs) {
					at := random.IntN(len(runs))
					index.Release(runs[at].vm, runs[at].size)
					runs[at] = runs[len(runs)-1]
					runs = runs[:len(runs)-1]
				}
			}
		})
	}
}

// BenchmarkNoRoom is the worst case for pruning by the largest of each
// dimension: half of the workers have only processors and half only memory.
func BenchmarkNoRoom(b *testing.B) {
	for _, count := range benchSizes {
		for _, twin := range []string{"trees", "scan"} {
			b.Run(fmt.Sprint(twin, "/", count), func(b *testing.B) {
				size := amount.Amount{MilliCores: 64_000, MemoryMB: 250_000}
				index := placement.New(1)
				scan := &naive{workers: map[string]placement.Worker{}}
				for i := range count {
					worker := placement.Worker{Name: fmt.Sprint("vm-", i), Pool: "p", Size: size, Committed: amount.Amount{MilliCores: 63_000}}
					if i%2 == 0 {
						worker.Committed = amount.Amount{MemoryMB: 249_000}
					}
					index.Put(worker)
					scan.workers[worker.Name] = worker
				}
				need := placement.Need{Size: amount.Amount{MilliCores: 4000, MemoryMB: 8000}, Pools: []string{"p"}, Class: route.Batch}
				for b.Loop() {
					if twin == "trees" {
						index.Place(need)
					} else {
						scan.find(need, func(placement.Worker) bool { return true })
					}
				}
			})
		}
	}
}

// BenchmarkChange is a commit and a release.
func BenchmarkChange(b *testing.B) {
	for _, count := range benchSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			index := filled(count, random)
			names := make([]string, count)
			for i := range names {
				names[i] = fmt.Sprint("vm-", i)
			}
			size := amount.Amount{MilliCores: 500, MemoryMB: 2000}
			for b.Loop() {
				vm := names[random.IntN(count)]
				index.Commit(vm, size)
				index.Release(vm, size)
			}
		})
	}
}

// BenchmarkMemory reports the bytes that a worker takes.
func BenchmarkMemory(b *testing.B) {
	const count = 10_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		index := filled(count, rand.New(rand.NewPCG(1, 1)))
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(index)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/worker")
	}
}
