// Package fleet is the stand-in of the platform's list of VMs and of its usage
// reports. Both lag, and both can be away.
//
// It follows the clock it is given and starts no goroutine: a change is seen
// by the first call after its lag.
//
// # Usage
//
//	list := fleet.New(fleet.Options{Clock: clk, LagMS: 2 * clock.Second, VMs: vms})
//	list.SetState("a-w-01", inventory.Leaving)
//	vms, err := list.Fetch(ctx)
//	http.Serve(listener, list.Handler())
package fleet

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// Options set up a list.
type Options struct {
	Clock      clock.Clock
	LagMS      clock.Millis   // until a change of the list is seen
	UsageLagMS clock.Millis   // until a usage report is seen
	VMs        []inventory.VM // seen from the first
}

// Faults are the switches of what goes wrong.
type Faults struct {
	Down       bool         `json:"down"`        // calls break off
	Refuse     bool         `json:"refuse"`      // calls are refused
	SlowMS     clock.Millis `json:"slow_ms"`     // of each call
	Frozen     bool         `json:"frozen"`      // changes are not seen until it ends
	UsageStops bool         `json:"usage_stops"` // new reports are dropped
	Cut        []string     `json:"cut"`         // failure domains that cannot reach the list
}

// Fleet is a VM list. Its methods may be called from any goroutine.
type Fleet struct {
	options Options

	mu      sync.Mutex
	faults  Faults
	actual  map[string]inventory.VM // as it is now
	seen    map[string]inventory.VM // as the list shows it
	changes []change                // not yet seen, oldest first
	usages  map[string][]sample
}

// change is a new row of the list, or the end of one.
type change struct {
	at      clock.Millis
	vm      inventory.VM
	removed bool
}

type sample struct {
	at    clock.Millis
	usage worker.Usage
}

// New returns a list.
func New(options Options) *Fleet {
	fleet := &Fleet{
		options: options,
		actual:  map[string]inventory.VM{},
		usages:  map[string][]sample{},
	}
	for _, vm := range options.VMs {
		fleet.actual[vm.Name] = vm
	}
	fleet.seen = maps.Clone(fleet.actual)
	return fleet
}

// SetFaults replaces all switches.
func (fleet *Fleet) SetFaults(faults Faults) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.faults = faults
}

// Put adds a VM or replaces it.
func (fleet *Fleet) Put(vm inventory.VM) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if vm.State == "" {
		vm.State = inventory.Live
	}
	fleet.put(vm)
}

func (fleet *Fleet) put(vm inventory.VM) {
	fleet.actual[vm.Name] = vm
	fleet.changes = append(fleet.changes, change{at: fleet.options.Clock.Now(), vm: vm})
}

// SetState changes the state of a VM; false when there is none of that name.
func (fleet *Fleet) SetState(name string, state inventory.State) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	vm, found := fleet.actual[name]
	if !found {
		return false
	}
	vm.State = state
	fleet.put(vm)
	return true
}

// Remove drops a VM; false when there is none of that name.
func (fleet *Fleet) Remove(name string) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	vm, found := fleet.actual[name]
	if !found {
		return false
	}
	delete(fleet.actual, name)
	fleet.changes = append(fleet.changes, change{at: fleet.options.Clock.Now(), vm: vm, removed: true})
	return true
}

// Report takes a measurement of a VM, made now.
func (fleet *Fleet) Report(usage worker.Usage) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if fleet.faults.UsageStops {
		return
	}
	now := fleet.options.Clock.Now()
	samples := append(fleet.usages[usage.VM], sample{now, usage})
	fleet.usages[usage.VM] = samples[max(0, newest(samples, now-fleet.options.UsageLagMS)):]
}

// newest returns the index of the newest sample up to a time, or -1.
func newest(samples []sample, at clock.Millis) int {
	for index := len(samples) - 1; index >= 0; index-- {
		if samples[index].at <= at {
			return index
		}
	}
	return -1
}

// List returns a client that calls directly, from a failure domain or none.
func (fleet *Fleet) List(domain string) inventory.List {
	return inventory.List{Fetch: func(ctx context.Context, of ...string) ([]inventory.VM, error) {
		return fleet.fetchFrom(ctx, domain, of...)
	}}
}

// Usages returns a client that calls directly, from a failure domain or none.
func (fleet *Fleet) Usages(domain string) worker.Usages {
	return worker.Usages{Fetch: func(ctx context.Context, of string) ([]worker.Usage, error) {
		return fleet.usagesFrom(ctx, domain, of)
	}}
}

// Fetch returns the list as it is seen now, in order of name.
func (fleet *Fleet) Fetch(ctx context.Context) ([]inventory.VM, error) {
	return fleet.fetchFrom(ctx, "")
}

func (fleet *Fleet) fetchFrom(ctx context.Context, domain string, of ...string) ([]inventory.VM, error) {
	if err := fleet.enter(ctx, domain, "list VMs"); err != nil {
		return nil, err
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.catchUp(fleet.options.Clock.Now() - fleet.options.LagMS)
	vms := slices.AppendSeq(make([]inventory.VM, 0, len(fleet.seen)), maps.Values(fleet.seen))
	if len(of) > 0 {
		vms = slices.DeleteFunc(vms, func(vm inventory.VM) bool { return !slices.Contains(of, vm.FailureDomain) })
	}
	slices.SortFunc(vms, func(one, other inventory.VM) int { return cmp.Compare(one.Name, other.Name) })
	return vms, nil
}

// catchUp shows the changes up to a time.
func (fleet *Fleet) catchUp(until clock.Millis) {
	if fleet.faults.Frozen {
		return
	}
	done := 0
	for done < len(fleet.changes) && fleet.changes[done].at <= until {
		change := fleet.changes[done]
		if change.removed {
			delete(fleet.seen, change.vm.Name)
		} else {
			fleet.seen[change.vm.Name] = change.vm
		}
		done++
	}
	fleet.changes = slices.Delete(fleet.changes, 0, done)
}

func (fleet *Fleet) usagesFrom(ctx context.Context, domain, of string) ([]worker.Usage, error) {
	if err := fleet.enter(ctx, domain, "read usage"); err != nil {
		return nil, err
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	now := fleet.options.Clock.Now()
	found := []worker.Usage{}
	for _, name := range slices.Sorted(maps.Keys(fleet.usages)) {
		samples := fleet.usages[name]
		index := newest(samples, now-fleet.options.UsageLagMS)
		if index < 0 || fleet.actual[name].FailureDomain != of {
			continue
		}
		usage := samples[index].usage
		usage.AgeMS = now - samples[index].at
		found = append(found, usage)
	}
	return found, nil
}

func (fleet *Fleet) enter(ctx context.Context, domain, step string) error {
	fleet.mu.Lock()
	faults := fleet.faults
	fleet.mu.Unlock()
	if faults.SlowMS > 0 {
		if err := fleet.options.Clock.Sleep(ctx, faults.SlowMS); err != nil {
			return fault.New(fault.Unknown, step, domain, err)
		}
	}
	switch {
	case faults.Down, domain != "" && slices.Contains(faults.Cut, domain):
		return fault.Newf(fault.Unknown, step, domain, "the VM list is away")
	case faults.Refuse:
		return fault.Newf(fault.NotRun, step, domain, "the VM list is closed")
	}
	return nil
}
