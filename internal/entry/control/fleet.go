package control

import (
	"maps"
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/entry/member"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

// fleet is what this entry knows of VMs. It is immutable.
type fleet struct {
	rows   map[string]vmRow
	readAt clock.Millis // 0: never read
	absent bool         // some rows are of VMs that are no longer listed
}

type vmRow struct {
	vm       inventory.VM
	absentAt clock.Millis // first list that no longer named it; 0: listed
	serving  clock.Millis // when it came into service; see withService
	out      bool         // not to get new work: marked out, leaving or no longer listed
}

// withList returns the fleet after a VM list. A VM that the list no longer
// names counts as leaving, since absence is no proof of death, and is dropped
// after absentKept.
func (f fleet) withList(vms []inventory.VM, now clock.Millis) fleet {
	rows := make(map[string]vmRow, len(vms))
	for _, vm := range vms {
		row := f.rows[vm.Name]
		row.vm, row.absentAt = vm, 0
		rows[vm.Name] = row
	}
	next := fleet{rows: rows, readAt: now}
	for name, row := range f.rows {
		if _, listed := rows[name]; listed {
			continue
		}
		if row.absentAt == 0 {
			row.absentAt = now
		}
		if now-row.absentAt <= absentKept {
			row.vm.State = inventory.Leaving
			rows[name] = row
			next.absent = true
		}
	}
	return next
}

// withSeen returns the fleet after a list that had not changed.
func (f fleet) withSeen(now clock.Millis) fleet {
	if f.absent {
		listed := lo.PickBy(f.rows, func(_ string, row vmRow) bool { return row.absentAt == 0 })
		return f.withList(lo.MapToSlice(listed, func(_ string, row vmRow) inventory.VM { return row.vm }), now)
	}
	f.readAt = now
	return f
}

// withService returns the fleet with each VM's time of coming into service. A
// VM that a new process finds in service counts as warm; one that appears later
// or returns is ramped up from now.
func (f fleet) withService(cfg ledger.Config, fresh bool, now clock.Millis) fleet {
	rows := make(map[string]vmRow, len(f.rows))
	for name, row := range f.rows {
		known := row.serving != 0
		wasOut := row.out
		row.out = row.vm.State != inventory.Live || cfg.Marks.Out(row.vm.FailureDomain, name)
		switch {
		case !known && fresh && !row.out:
			row.serving = 1
		case !known, wasOut && !row.out:
			row.serving = now
		}
		rows[name] = row
	}
	return fleet{rows: rows, readAt: f.readAt, absent: f.absent}
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

// wantedDomains are those whose VMs an entry must know: they share a pool with
// its own failure domain, or have a cell that it follows. Before the first
// configuration it is its own alone.
func wantedDomains(own string, cfg ledger.Config, cells []string) []string {
	wanted := []string{own}
	for _, pl := range cfg.Pools.Pools {
		if slices.Contains(pl.FailureDomains, own) {
			wanted = append(wanted, pl.FailureDomains...)
		}
	}
	for _, cell := range cells {
		wanted = append(wanted, job.DomainOf(cell))
	}
	slices.Sort(wanted)
	return slices.Compact(wanted)
}
