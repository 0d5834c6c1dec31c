package fleet

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

func newFleet(options Options, vms ...inventory.VM) (*Fleet, *clock.Fake) {
	time := clock.NewFake(clock.Hour)
	options.Clock, options.VMs = time.Clock(), vms
	return New(options), time
}

func vm(name string) inventory.VM {
	return inventory.VM{Name: name, FailureDomain: name[:1], State: inventory.Live}
}

func wantVMs(t *testing.T, fleet *Fleet, want ...string) {
	t.Helper()
	vms, err := fleet.Fetch(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	seen := []string{}
	for _, vm := range vms {
		seen = append(seen, vm.Name+" "+string(vm.State))
	}
	if diff := cmp.Diff(want, seen); diff != "" {
		t.Errorf("list (-want +got):\n%s", diff)
	}
}

func TestListLags(t *testing.T) {
	fleet, time := newFleet(Options{LagMS: 2000}, vm("b1"), vm("a1"))
	wantVMs(t, fleet, "a1 live", "b1 live")
	fleet.SetState("a1", inventory.Leaving)
	time.Advance(1000)
	fleet.Remove("a1")
	fleet.Put(vm("c1"))
	time.Advance(999)
	wantVMs(t, fleet, "a1 live", "b1 live")
	time.Advance(1)
	wantVMs(t, fleet, "a1 leaving", "b1 live")
	fleet.SetFaults(Faults{Frozen: true})
	time.Advance(1000)
	wantVMs(t, fleet, "a1 leaving", "b1 live")
	fleet.SetFaults(Faults{})
	wantVMs(t, fleet, "b1 live", "c1 live")
	if fleet.SetState("a1", inventory.Live) || fleet.Remove("a1") {
		t.Error("a removed VM was found")
	}
}

func TestUsageLags(t *testing.T) {
	fleet, time := newFleet(Options{UsageLagMS: 1000}, vm("a1"), vm("b1"))
	report := func(cores int64) {
		fleet.Report(worker.Usage{VM: "a1", Used: amount.Amount{MilliCores: cores}})
		fleet.Report(worker.Usage{VM: "b1", Used: amount.Amount{MilliCores: cores}})
	}
	want := func(reports ...worker.Usage) {
		t.Helper()
		usages, err := fleet.Usages("").Fetch(t.Context(), "a")
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(append([]worker.Usage{}, reports...), usages); diff != "" {
			t.Errorf("usage (-want +got):\n%s", diff)
		}
	}
	report(100)
	time.Advance(500)
	report(200)
	want()
	time.Advance(500)
	want(worker.Usage{VM: "a1", AgeMS: 1000, Used: amount.Amount{MilliCores: 100}})
	time.Advance(700)
	fleet.SetFaults(Faults{UsageStops: true})
	report(300)
	time.Advance(5000)
	want(worker.Usage{VM: "a1", AgeMS: 6200, Used: amount.Amount{MilliCores: 200}})
}

func TestCut(t *testing.T) {
	fleet, _ := newFleet(Options{}, vm("a1"))
	fleet.SetFaults(Faults{Cut: []string{"a"}})
	if _, err := fleet.List("a").Fetch(t.Context()); err == nil {
		t.Error("a cut domain reached the list")
	}
	if _, err := fleet.List("b").Fetch(t.Context()); err != nil {
		t.Error(err)
	}
}
