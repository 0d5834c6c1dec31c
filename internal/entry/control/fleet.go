package control

import (
	"maps"
	"slices"
	"strings"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/entry/member"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

// fleet is what this entry knows of VMs. It is immutable.
type fleet struct {
	rows   map[string]vmRow
	readAt clock.Millis // 0: never read
}

type vmRow struct {
	vm       inventory.VM
	listedAt clock.Millis // newest list that named it
	serving  clock.Millis // when it came into service; see withService
	out      bool         // not to get new work: marked out, leaving or no longer listed
}

// withList returns the fleet after a VM list. A VM that the list no longer
// names counts as leaving, since absence is no proof of death, and is dropped
// after absentKept.
func (f fleet) withList(vms []inventory.VM, now clock.Millis) fleet {
	rows := maps.Clone(f.rows)
	if rows == nil {
		rows = map[string]vmRow{}
	}
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		row := rows[vm.Name]
		row.vm, row.listedAt = vm, now
		rows[vm.Name] = row
		listed[vm.Name] = true
	}
	for name, row := range rows {
		if listed[name] {
			continue
		}
		if now-row.listedAt > absentKept {
			delete(rows, name)
			continue
		}
		row.vm.State = inventory.Leaving
		rows[name] = row
	}
	return fleet{rows: rows, readAt: now}
}

// withService returns the fleet with each VM's time of coming into service. A
// VM that is in service when it is first seen by a new process counts as warm;
// one that appears later or returns is ramped up from now.
func (f fleet) withService(cfg ledger.Config, first bool, now clock.Millis) fleet {
	rows := make(map[string]vmRow, len(f.rows))
	for name, row := range f.rows {
		known := row.serving != 0
		wasOut := row.out
		row.out = row.vm.State != inventory.Live || cfg.Marks.Out(row.vm.FailureDomain, name)
		switch {
		case !known && first && !row.out:
			row.serving = 1
		case !known, wasOut && !row.out:
			row.serving = now
		}
		rows[name] = row
	}
	return fleet{rows: rows, readAt: f.readAt}
}

// vms returns all VMs in order of name.
func (f fleet) vms() []inventory.VM {
	names := slices.Sorted(maps.Keys(f.rows))
	vms := make([]inventory.VM, 0, len(names))
	for _, name := range names {
		vms = append(vms, f.rows[name].vm)
	}
	return vms
}

// entries returns the listed entry VMs as seeds of the membership.
func (f fleet) entries() []member.Seed {
	var seeds []member.Seed
	for _, vm := range f.vms() {
		if vm.Role == inventory.Entry && vm.State == inventory.Live {
			seeds = append(seeds, member.Seed{Name: vm.Name, FailureDomain: vm.FailureDomain, Address: vm.Agent})
		}
	}
	return seeds
}

// pools joins VMs to the pools that select them.
func (f fleet) pools(cfg ledger.Config) map[string]view.Pool {
	pools := make(map[string]view.Pool, len(cfg.Pools.Pools))
	for _, pl := range cfg.Pools.Pools {
		pools[pl.Name] = view.Pool{Config: pl}
	}
	for name, row := range f.rows {
		if row.vm.Role != inventory.Worker {
			continue
		}
		pl, ok := cfg.Pools.Of(name, row.vm.FailureDomain)
		if !ok {
			continue
		}
		joined := pools[pl.Name]
		joined.Backends = append(joined.Backends, view.Backend{
			Name:          name,
			Address:       row.vm.Requests,
			FailureDomain: row.vm.FailureDomain,
			Rack:          row.vm.Rack,
			Draining:      row.out,
			Since:         row.serving,
		})
		pools[pl.Name] = joined
	}
	for _, joined := range pools {
		slices.SortFunc(joined.Backends, func(a, b view.Backend) int { return strings.Compare(a.Name, b.Name) })
	}
	return pools
}
