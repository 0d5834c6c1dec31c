// Package placement chooses the worker for a task.
//
// An [Index] holds the workers of one cell with what is committed on each. It
// never commits beyond a worker's size in any dimension, keeps each worker's
// reserve free of batch tasks, and finds a worker whenever one fits, at a cost
// logarithmic in the number of workers.
//
// Workers of one pool and one count of free accelerators form a tree ordered
// by free processors in which every node knows the most free memory below it.
// The suffix "enough processors" is a range of that tree, and the memory bound
// leads straight to a member, so that all three dimensions are exact:
//
//	Need ─> pool by pool ─> free accelerators, fewest first ─> tree
//	                                                            │ random starts
//	        least harm, then fit  <── bounded candidates  <─────┘
//
// [Index] is a mutable engine of the control thread and not safe for
// concurrent use. The same calls after the same seed give the same choices.
//
// # Usage
//
//	index := placement.New(seed)
//	index.Put(placement.Worker{Name: "vm-1", Pool: "batch", Size: size})
//	vm, refusal := index.Place(placement.Need{Size: task, Pools: []string{"batch"}, Class: route.Batch})
//	if refusal.Kind == placement.Placed {
//		index.Commit(vm, task)
//	}
package placement

import (
	"math/rand/v2"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Worker is a VM that runs tasks.
type Worker struct {
	Name      string
	Rack      string
	Domain    string // failure domain
	Pool      string
	Size      amount.Amount // all that the VM has
	Reserve   amount.Amount // kept free of batch tasks
	Committed amount.Amount
	Harm      float64 // expected extra slowdown of its services by any task, as a fraction
	SetAside  bool    // takes no tasks for now
}

// Index is the set of workers of a cell.
type Index struct {
	// Harm, when set, gives the expected extra slowdown of a VM's services if
	// a task of a kind and size joins, as a fraction; it is added to the worker's own.
	Harm func(vm, kind string, size amount.Amount) float64
	// MaxHarm, when above 0, keeps batch tasks that are not overdue off
	// workers whose harm is at least this; they wait instead.
	MaxHarm float64

	workers map[string]*entry
	pools   map[string]*group
	holds   map[string]*hold          // by job
	spreads map[string]map[string]int // group, VM: members
	random  *rand.Rand
	serial  uint64
	calls   uint64 // of Place
}

// entry is a worker with its places in the trees.
type entry struct {
	Worker
	serial  uint64
	heldFor string // job for which batch tasks are kept off, or empty
	closed  bool   // held for an urgent job: other urgent tasks are kept off too
	places  [views]node
	levels  [views]int // accelerators of the tree that holds the place, or absent
}

// The views of a worker that are indexed, one forest each.
const (
	freeForBatch = iota
	freeForUrgent
	emptyForBatch
	emptyForUrgent
	views

	absent = -1
)

// group is a pool: its forests by view, then by accelerators.
type group struct {
	forests [views]forest
	workers int
	holds   int
	gone    []capacity // of removed workers, which may come back
}

// capacity is what an empty worker offers to each class.
type capacity struct {
	batch  amount.Amount
	urgent amount.Amount
}

// Capacities of removed workers that a pool remembers.
const maxGone = 64

// New returns an index without workers.
func New(seed uint64) *Index {
	return &Index{
		workers: map[string]*entry{},
		pools:   map[string]*group{},
		holds:   map[string]*hold{},
		spreads: map[string]map[string]int{},
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// Put inserts a worker or replaces the one of that name.
func (x *Index) Put(worker Worker) {
	held, known := x.workers[worker.Name]
	if known && held.Pool == worker.Pool {
		held.Worker = worker
		x.refresh(held)
		return
	}
	if known {
		x.drop(held)
	}
	x.serial++
	added := &entry{Worker: worker, serial: x.serial}
	for view := range added.places {
		added.places[view] = node{worker: added, priority: x.random.Uint32()}
		added.levels[view] = absent
	}
	x.workers[worker.Name] = added
	x.pool(worker.Pool).workers++
	x.refresh(added)
}

// Remove takes a worker out; unknown names are ignored. What it could hold is
// remembered, so that a task does not count as impossible while the only
// worker for it is being replaced.
func (x *Index) Remove(name string) {
	gone, known := x.workers[name]
	if !known {
		return
	}
	x.drop(gone)
	x.pool(gone.Pool).remember(gone)
}

func (x *Index) drop(gone *entry) {
	delete(x.workers, gone.Name)
	pool := x.pool(gone.Pool)
	pool.workers--
	for view := range pool.forests {
		pool.forests[view].drop(gone, view)
	}
	if gone.heldFor != "" {
		x.Unhold(gone.heldFor)
	}
}

func (g *group) remember(gone *entry) {
	batch, _ := gone.offers(emptyForBatch)
	urgent, _ := gone.offers(emptyForUrgent)
	kept := capacity{batch, urgent}
	if slices.Contains(g.gone, kept) {
		return
	}
	if len(g.gone) == maxGone {
		g.gone = g.gone[1:]
	}
	g.gone = append(g.gone, kept)
}

// Get returns a worker.
func (x *Index) Get(name string) (Worker, bool) {
	held, known := x.workers[name]
	if !known {
		return Worker{}, false
	}
	return held.Worker, true
}

// Room returns what a worker has free for batch and for urgent tasks; nothing
// if it is unknown, set aside or held.
func (x *Index) Room(vm string) (batch, urgent amount.Amount) {
	none := amount.Amount{MilliCores: -1, MemoryMB: -1, Accelerators: -1}
	held, known := x.workers[vm]
	if !known {
		return none, none
	}
	batch, open := held.offers(freeForBatch)
	if !open {
		batch = none
	}
	urgent, open = held.offers(freeForUrgent)
	if !open {
		urgent = none
	}
	return batch, urgent
}

// Len returns the number of workers.
func (x *Index) Len() int { return len(x.workers) }

// Commit counts an amount as taken on a worker. Unknown workers are ignored.
func (x *Index) Commit(vm string, a amount.Amount) { x.change(vm, a) }

// Release gives back an amount that was committed.
func (x *Index) Release(vm string, a amount.Amount) { x.change(vm, amount.Amount{}.Sub(a)) }

func (x *Index) change(vm string, a amount.Amount) {
	held, known := x.workers[vm]
	if !known {
		return
	}
	held.Committed = held.Committed.Add(a)
	x.refresh(held)
}

// refresh moves a worker to the places that its amounts call for.
func (x *Index) refresh(held *entry) {
	pool := x.pool(held.Pool)
	for view := range pool.forests {
		pool.forests[view].move(held, view)
	}
}

func (x *Index) pool(name string) *group {
	pool, known := x.pools[name]
	if !known {
		pool = &group{}
		x.pools[name] = pool
	}
	return pool
}

// offers returns what a worker has to give in a view, and whether it takes
// part in it.
func (e *entry) offers(view int) (amount.Amount, bool) {
	switch view {
	case freeForBatch:
		return e.spare(route.Batch), !e.SetAside && e.heldFor == ""
	case freeForUrgent:
		return e.spare(route.Urgent), !e.SetAside && !e.closed
	case emptyForBatch:
		return e.Size.Sub(e.Reserve), true
	default:
		return e.Size, true
	}
}

// spare returns what a worker has free for a class.
func (e *entry) spare(class route.Class) amount.Amount {
	free := e.Size.Sub(e.Committed)
	if class == route.Urgent {
		return free
	}
	return free.Sub(e.Reserve)
}

// freeView returns the view in which a class looks for room.
func freeView(class route.Class) int {
	if class == route.Urgent {
		return freeForUrgent
	}
	return freeForBatch
}

// emptyView returns the view that tells whether a class could ever fit.
func emptyView(class route.Class) int {
	if class == route.Urgent {
		return emptyForUrgent
	}
	return emptyForBatch
}

// Charge returns what to commit for a running task: the larger of declared and
// observed, but no more beyond the declared than its worker has free.
func Charge(declared, observed, free amount.Amount) amount.Amount {
	room := free.Max(amount.Amount{})
	excess := observed.Sub(declared).Max(amount.Amount{})
	return declared.Add(amount.Amount{
		MilliCores:   min(excess.MilliCores, room.MilliCores),
		MemoryMB:     min(excess.MemoryMB, room.MemoryMB),
		Accelerators: min(excess.Accelerators, room.Accelerators),
	})
}

// Ramp returns the reserve of a worker that came back into service some time
// ago: all of its size at first, falling evenly to the usual reserve.
func Ramp(size, reserve amount.Amount, since, warmup clock.Millis) amount.Amount {
	if since >= warmup {
		return reserve
	}
	fall := func(from, to int64) int64 {
		return from - (from-to)*int64(max(since, 0))/int64(warmup)
	}
	return amount.Amount{
		MilliCores:   fall(size.MilliCores, reserve.MilliCores),
		MemoryMB:     fall(size.MemoryMB, reserve.MemoryMB),
		Accelerators: fall(size.Accelerators, reserve.Accelerators),
	}
}
