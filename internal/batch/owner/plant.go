package owner

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/batch/lease"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
)

const (
	// defaultHold and defaultLease hold where no pool of the cell says more.
	defaultHold  clock.Millis = 60 * clock.Second
	defaultLease clock.Millis = 15 * clock.Second
)

// plant is the cell's workers and the other cells, worked out from the world.
type plant struct {
	machines map[string]machine
	names    []string // of machines, in order
	whole    amount.Amount
	terms    cell.Terms
	out      bool    // the cell's failure domain is out
	moves    float64 // pace of evacuation, tasks a second
	others   []other // cells of other failure domains, in order of name
	split    map[string]string
	cells    int
}

// machine is a worker of the cell.
type machine struct {
	inventory.VM
	pool    pool.Pool
	pooled  bool
	stopped bool         // out, leaving or in no pool: no new work, and tasks move away
	gone    bool         // not listed any more, but tasks are committed on it
	backAt  clock.Millis // when it came back into service; 0: it was never out
}

// usualReserve is the pool's share of the worker that batch tasks leave free.
func (vm machine) usualReserve() amount.Amount {
	percent := int64(vm.pool.ReservePercent)
	return amount.Amount{MilliCores: vm.Size.MilliCores * percent / 100, MemoryMB: vm.Size.MemoryMB * percent / 100}
}

// other is another cell, with its usable workers as groups of equal size.
type other struct {
	name string
	vms  []inventory.VM
}

// SetWorld takes in a new world.
func (owner *Owner) SetWorld(world World) {
	changed := owner.world.Config.Version != world.Config.Version || !sameVMs(owner.world.VMs, world.VMs)
	owner.world = world
	owner.share = lease.NewShare(owner.liveEntries())
	if !changed {
		return
	}
	owner.plant = owner.survey(owner.plant)
	if owner.sched != nil {
		owner.sched.refit()
	}
}

func sameVMs(old, now []inventory.VM) bool { return slices.Equal(old, now) }

// liveEntries returns the entries that share the renewals.
func (owner *Owner) liveEntries() []string {
	var live []string
	for _, peer := range owner.world.Entries {
		if peer.Domain == owner.domain && (peer.Live || peer.Name == owner.options.Entry) {
			live = append(live, peer.Name)
		}
	}
	return live
}

// survey works the plant out.
func (owner *Owner) survey(old plant) plant {
	config := owner.world.Config
	cells := cellsOf(config.Pools, owner.domain)
	next := plant{machines: map[string]machine{}, cells: len(cells), split: old.split, out: config.Marks.DomainOut(owner.domain)}
	if old.cells != next.cells || next.split == nil {
		next.split = map[string]string{}
	}
	share := rendezvous.New(cells, xxhash.Sum64String)
	kept := map[string]string{}
	for _, vm := range owner.world.VMs {
		if vm.Role != inventory.Worker || vm.FailureDomain != owner.domain {
			continue
		}
		at, known := next.split[vm.Name]
		if !known {
			at = share.Lookup(vm.Name)
		}
		kept[vm.Name] = at
		if at == owner.options.Cell {
			next.machines[vm.Name] = owner.machine(vm, old.machines)
		}
	}
	next.split = kept
	owner.keepGone(old, &next)
	next.sum()
	next.others = owner.otherCells()
	return next
}

func (owner *Owner) machine(vm inventory.VM, old map[string]machine) machine {
	config := owner.world.Config
	row, pooled := config.Pools.Of(vm.Name, vm.FailureDomain)
	out := config.Marks.Out(vm.FailureDomain, vm.Name)
	next := machine{VM: vm, pool: row, pooled: pooled, stopped: out || !pooled || vm.State != inventory.Live}
	before, known := old[vm.Name]
	next.backAt = before.backAt
	if known && before.stopped && !next.stopped {
		next.backAt = owner.now()
	}
	return next
}

// keepGone keeps workers that left the list while tasks are committed on them:
// the list lags, and absence does not mean that the worker is dead.
func (owner *Owner) keepGone(old plant, next *plant) {
	for name, vm := range old.machines {
		if _, listed := next.machines[name]; listed || owner.state.VM(name) == nil {
			continue
		}
		vm.gone = true
		next.machines[name] = vm
	}
}

// sum works out what follows from the machines.
func (site *plant) sum() {
	for name, vm := range site.machines {
		site.names = append(site.names, name)
		site.whole = site.whole.Add(vm.Size)
		site.terms.Hold = max(site.terms.Hold, vm.pool.HoldMS)
		site.terms.Lease = max(site.terms.Lease, vm.pool.LeaseMS)
		site.moves = max(site.moves, float64(vm.pool.MaxMovesPerSec))
	}
	slices.Sort(site.names)
	if site.terms.Hold == 0 {
		site.terms.Hold = defaultHold
	}
	if site.terms.Lease == 0 {
		site.terms.Lease = defaultLease
	}
	if site.moves == 0 {
		site.moves = defaultMoves
	}
}

func cellsOf(table pool.Table, domain string) []string {
	var cells []string
	for _, row := range table.Domains {
		if row.Name != domain {
			continue
		}
		for index := range max(row.Cells, 1) {
			cells = append(cells, job.CellName(domain, index))
		}
	}
	if len(cells) == 0 {
		cells = []string{job.CellName(domain, 0)}
	}
	return cells
}

// otherCells returns the cells of other failure domains that are in service,
// with the workers that may run tasks.
func (owner *Owner) otherCells() []other {
	config := owner.world.Config
	byDomain := map[string][]inventory.VM{}
	for _, vm := range owner.world.VMs {
		usable := vm.Role == inventory.Worker && vm.State == inventory.Live && vm.FailureDomain != owner.domain
		if usable && !config.Marks.Out(vm.FailureDomain, vm.Name) {
			byDomain[vm.FailureDomain] = append(byDomain[vm.FailureDomain], vm)
		}
	}
	var found []other
	for _, row := range config.Pools.Domains {
		if row.Name == owner.domain || config.Marks.DomainOut(row.Name) {
			continue
		}
		found = append(found, split(cellsOf(config.Pools, row.Name), byDomain[row.Name])...)
	}
	slices.SortFunc(found, func(a, b other) int { return strings.Compare(a.name, b.name) })
	return found
}

// split divides the workers of a failure domain among its cells.
func split(cells []string, vms []inventory.VM) []other {
	share := rendezvous.New(cells, xxhash.Sum64String)
	found := make([]other, len(cells))
	for index, name := range cells {
		found[index].name = name
	}
	for _, vm := range vms {
		at := slices.Index(cells, share.Lookup(vm.Name))
		found[at].vms = append(found[at].vms, vm)
	}
	return found
}

func seedOf(text string) uint64 { return xxhash.Sum64String(text) }
