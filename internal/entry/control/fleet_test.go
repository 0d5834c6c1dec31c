package control

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/config/mark"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
)

func liveVM(name, domain string) inventory.VM {
	return inventory.VM{Name: name, FailureDomain: domain, Role: inventory.Worker, State: inventory.Live}
}

// A VM that leaves the list is leaving for absentKept, also when the list does
// not change meanwhile, and is dropped afterwards.
func TestAbsentVMCountsAsLeaving(t *testing.T) {
	const absent = clock.Hour
	seen := fleet{}.withList([]inventory.VM{liveVM("a-1", "a"), liveVM("a-2", "a")}, absent-clock.Hour)
	seen = seen.withList([]inventory.VM{liveVM("a-1", "a")}, absent)
	states := func(f fleet) map[string]inventory.State {
		found := map[string]inventory.State{}
		for _, vm := range f.vms() {
			found[vm.Name] = vm.State
		}
		return found
	}
	got := []map[string]inventory.State{
		states(seen), states(seen.withSeen(absent + absentKept)), states(seen.withSeen(absent + absentKept + 1)),
	}
	want := []map[string]inventory.State{
		{"a-1": inventory.Live, "a-2": inventory.Leaving},
		{"a-1": inventory.Live, "a-2": inventory.Leaving},
		{"a-1": inventory.Live},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
}

// VMs that a new process finds count as warm; a return is ramped up.
func TestReturnToServiceIsDated(t *testing.T) {
	table := pool.Table{
		Domains: []pool.Domain{{Name: "a", Cells: 1}},
		Pools:   []pool.Pool{{Name: "p", FailureDomains: []string{"a"}}},
	}
	in := ledger.Config{Pools: table}
	out := ledger.Config{Pools: table, Marks: mark.Set{}.With(mark.Mark{Kind: mark.VM, Name: "a-1", Out: true})}
	type row struct {
		Since    clock.Millis
		Draining bool
	}
	look := func(f fleet, cfg ledger.Config) row {
		one := f.pools(cfg)["p"].Backends[0]
		return row{one.Since, one.Draining}
	}
	seen := fleet{}.withList([]inventory.VM{liveVM("a-1", "a")}, 100)
	found := seen.withService(in, true, 100)
	marked := found.withService(out, false, 200)
	back := marked.withService(in, false, 300)
	late := seen.withService(in, false, 400)
	got := []row{look(found, in), look(marked, out), look(back, in), look(late, in)}
	if diff := cmp.Diff([]row{{1, false}, {1, true}, {300, false}, {400, false}}, got); diff != "" {
		t.Errorf("service (-want +got):\n%s", diff)
	}
}

func TestWantedDomains(t *testing.T) {
	cfg := ledger.Config{Pools: pool.Table{Pools: []pool.Pool{
		{Name: "near", FailureDomains: []string{"b", "a"}},
		{Name: "far", FailureDomains: []string{"x", "y"}},
	}}}
	got := [][]string{
		wantedDomains("a", ledger.Config{}, nil),
		wantedDomains("a", cfg, []string{"a.0", "z.3"}),
	}
	if diff := cmp.Diff([][]string{{"a"}, {"a", "b", "z"}}, got); diff != "" {
		t.Errorf("failure domains (-want +got):\n%s", diff)
	}
}
