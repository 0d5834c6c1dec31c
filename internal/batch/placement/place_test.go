package placement_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/batch/placement"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// naive scans all workers for every question.
type naive struct {
	workers map[string]placement.Worker
	gone    []placement.Worker
	members map[string]int // of the one spread group, by VM
}

func room(worker placement.Worker, class route.Class) amount.Amount {
	if class == route.Urgent {
		return worker.Size.Sub(worker.Committed)
	}
	return worker.Size.Sub(worker.Committed).Sub(worker.Reserve)
}

func (n *naive) find(need placement.Need, accept func(placement.Worker) bool) bool {
	for _, worker := range n.workers {
		if worker.SetAside || !slices.Contains(need.Pools, worker.Pool) || !accept(worker) {
			continue
		}
		if room(worker, need.Class).Fits(need.Size) {
			return true
		}
	}
	return false
}

func (n *naive) usedRacks() map[string]bool {
	used := map[string]bool{}
	for vm, count := range n.members {
		if worker, known := n.workers[vm]; known && count > 0 {
			used[worker.Rack] = true
		}
	}
	return used
}

// refusal says which refusal is due when nothing fits now.
func (n *naive) refusal(need placement.Need) placement.Kind {
	seen := false
	for _, worker := range append(slices.Collect(maps.Values(n.workers)), n.gone...) {
		if !slices.Contains(need.Pools, worker.Pool) {
			continue
		}
		seen = true
		worker.Committed = amount.Amount{}
		if room(worker, need.Class).Fits(need.Size) {
			return placement.NoRoom
		}
	}
	if seen {
		return placement.NeverFits
	}
	return placement.NoRoom
}

func drawAmount(t *rapid.T, label string, cores, memory, accelerators int64) amount.Amount {
	return amount.Amount{
		MilliCores:   rapid.Int64Range(0, cores).Draw(t, label+" cores") * 500,
		MemoryMB:     rapid.Int64Range(0, memory).Draw(t, label+" memory") * 512,
		Accelerators: rapid.Int64Range(0, accelerators).Draw(t, label+" accelerators"),
	}
}

// TestAgainstFullScan compares every decision with a scan of all workers: a
// worker is found whenever one fits, never beyond its size, off avoided VMs
// and used racks while that is possible, and refusals are of the right kind.
func TestAgainstFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := placement.New(1)
		twin := &naive{workers: map[string]placement.Worker{}, members: map[string]int{}}
		vm := rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("vm-%d", rapid.IntRange(0, 15).Draw(t, "vm")) })
		pool := rapid.SampledFrom([]string{"a", "b"})
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				worker := placement.Worker{
					Name: vm.Draw(t, "name"), Pool: pool.Draw(t, "pool"),
					Rack:     rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "rack"),
					Size:     drawAmount(t, "size", 16, 16, 2),
					Reserve:  drawAmount(t, "reserve", 3, 3, 1),
					Harm:     rapid.Float64Range(0, 1).Draw(t, "harm"),
					SetAside: rapid.IntRange(0, 4).Draw(t, "aside") == 0,
				}
				index.Put(worker)
				twin.workers[worker.Name] = worker
			},
			"remove": func(t *rapid.T) {
				name := vm.Draw(t, "name")
				if worker, known := twin.workers[name]; known {
					twin.gone = append(twin.gone, worker)
				}
				index.Remove(name)
				delete(twin.workers, name)
			},
			"release": func(t *rapid.T) {
				name := vm.Draw(t, "name")
				worker, known := twin.workers[name]
				if !known {
					t.Skip("unknown")
				}
				index.Release(name, worker.Committed)
				worker.Committed = amount.Amount{}
				twin.workers[name] = worker
				delete(twin.members, name)
				for range 20 {
					index.Leave("group", name)
				}
			},
			"place": func(t *rapid.T) {
				need := placement.Need{
					Size:  drawAmount(t, "need", 8, 8, 1),
					Pools: rapid.SliceOfNDistinct(pool, 1, 2, rapid.ID).Draw(t, "pools"),
					Class: rapid.SampledFrom([]route.Class{route.Urgent, route.Batch}).Draw(t, "class"),
					Avoid: rapid.SliceOfN(vm, 0, 8).Draw(t, "avoid"),
				}
				if rapid.Bool().Draw(t, "spread") {
					need.Spread = "group"
				}
				compare(t, index, twin, need)
			},
			"": func(t *rapid.T) {
				for name, worker := range twin.workers {
					held, _ := index.Get(name)
					if diff := cmp.Diff(worker, held); diff != "" {
						t.Fatalf("worker differs (-twin +index):\n%s", diff)
					}
				}
			},
		})
	})
}

func compare(t *rapid.T, index *placement.Index, twin *naive, need placement.Need) {
	vm, refusal := index.Place(need)
	fits := twin.find(need, func(placement.Worker) bool { return true })
	if (vm != "") != fits {
		t.Fatalf("placed on %q (%+v), a scan finds room: %v", vm, refusal, fits)
	}
	if !fits {
		if diff := cmp.Diff(twin.refusal(need), refusal.Kind); diff != "" {
			t.Fatalf("refusal differs (-twin +index):\n%s", diff)
		}
		return
	}
	worker := twin.workers[vm]
	if worker.SetAside || !room(worker, need.Class).Fits(need.Size) || !slices.Contains(need.Pools, worker.Pool) {
		t.Fatalf("%+v has no room for %+v", worker, need)
	}
	welcome := func(w placement.Worker) bool { return !slices.Contains(need.Avoid, w.Name) }
	if !welcome(worker) && twin.find(need, welcome) {
		t.Fatalf("%s is avoided and another fits", vm)
	}
	used := twin.usedRacks()
	apart := func(w placement.Worker) bool { return welcome(w) && !used[w.Rack] }
	if need.Spread != "" && !apart(worker) && twin.find(need, apart) {
		t.Fatalf("%s shares a rack and another does not", vm)
	}
	index.Commit(vm, need.Size)
	worker.Committed = worker.Committed.Add(need.Size)
	twin.workers[vm] = worker
	if need.Spread != "" {
		index.Join(need.Spread, vm)
		twin.members[vm]++
	}
}

// TestOneWelcomeWorker looks for the one worker among many that is neither
// avoided nor on a used rack.
func TestOneWelcomeWorker(t *testing.T) {
	const count, welcome = 400, "vm-317"
	index := placement.New(1)
	need := placement.Need{Size: amount.Amount{MilliCores: 1}, Pools: []string{"p"}, Class: route.Batch}
	apart := need
	apart.Spread = "group"
	for i := range count {
		name := fmt.Sprint("vm-", i)
		index.Put(placement.Worker{Name: name, Rack: name, Pool: "p", Size: amount.Amount{MilliCores: 10}})
		if name != welcome {
			need.Avoid = append(need.Avoid, name)
			index.Join(apart.Spread, name)
		}
	}
	for _, need := range []placement.Need{need, apart} {
		if vm, refusal := index.Place(need); vm != welcome {
			t.Errorf("placed on %q (%+v), want %s", vm, refusal, welcome)
		}
	}
}

// TestRefusals pins the reasons that operators and callers read.
func TestRefusals(t *testing.T) {
	index := placement.New(1)
	index.Put(placement.Worker{
		Name: "a", Pool: "batch", Size: amount.Amount{MilliCores: 64_000, MemoryMB: 250_000, Accelerators: 2},
		Reserve: amount.Amount{MilliCores: 6400}, Committed: amount.Amount{MilliCores: 32_000},
	})
	var text strings.Builder
	for _, need := range []placement.Need{
		{Size: amount.Amount{MilliCores: 30_000}, Pools: []string{"batch"}, Class: route.Batch},
		{Size: amount.Amount{MilliCores: 30_000}, Pools: []string{"batch"}, Class: route.Urgent},
		{Size: amount.Amount{MilliCores: 60_500, MemoryMB: 512}, Pools: []string{"batch", "spare"}, Class: route.Batch},
		{Size: amount.Amount{Accelerators: 3}, Pools: []string{"batch"}, Class: route.Urgent},
		{Size: amount.Amount{MilliCores: 1}, Pools: []string{"spare"}, Class: route.Batch},
		{Size: amount.Amount{MilliCores: -1}, Pools: []string{"batch"}, Class: route.Batch},
	} {
		vm, refusal := index.Place(need)
		fmt.Fprintf(&text, "%s %v on %q: %s %s\n", need.Class, need.Size, vm, refusal.Kind, refusal.Reason)
	}
	index.MaxHarm = 1
	index.Put(placement.Worker{Name: "a", Pool: "batch", Size: amount.Amount{MilliCores: 1000}, Harm: 2})
	for _, overdue := range []bool{false, true} {
		vm, refusal := index.Place(placement.Need{Size: amount.Amount{MilliCores: 1}, Pools: []string{"batch"}, Class: route.Batch, Overdue: overdue})
		fmt.Fprintf(&text, "overdue %v on %q: %s %s\n", overdue, vm, refusal.Kind, refusal.Reason)
	}
	goldie.New(t).Assert(t, "refusals", []byte(text.String()))
}
