// Package relocation plans moves of long-running tasks that make room for
// best-effort tasks.
//
// A best-effort image can be incompatible with several images of long-running
// tasks. If one task of such an image stands on each worker, the best-effort
// task waits although processors are idle everywhere. Moving few long-running
// tasks together, to workers that the waiting images cannot use anyway, makes
// the worker that they leave usable.
//
// The planner knows nothing of jobs and orders: its input is what stands on each
// worker and what waits, and it returns one worker to clear and where its tasks
// go. It has no state.
//
// # Usage
//
//	planner := relocation.New(workers, demands, incompatible)
//	plan, ok := planner.Best()
package relocation

import (
	"cmp"
	"slices"

	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

const (
	maxDemands = 64 // images of best-effort tasks that are weighed, those with most waiting; one bit each
	maxSources = 32 // workers whose clearing is planned in full, those that would gain most

	// minGainPerMoved is the least gain, in processors, for each processor that
	// the moved tasks request. A moved task does not serve for about a second.
	minGainPerMoved = 0.5
)

// Demand is the processors that waiting best-effort tasks of an image request.
type Demand struct {
	Image    string
	MilliCPU int64
}

// Task is a long-running task on a worker.
type Task struct {
	ID      int // index in the caller's own list
	Image   string
	Room    fleet.Room // what it commits
	Use     int64      // milli-CPU that it is expected to use
	Movable bool       // the caller may move it now
}

// Worker is what stands on a worker.
type Worker struct {
	Free  fleet.Room       // not committed
	Idle  int64            // milli-CPU that is not in use
	Tasks []Task           // long-running tasks with a latency target
	Loads map[string]int64 // milli-CPU of its best-effort tasks by image
	// Allows reports whether the worker may get a task, apart from its room.
	// Planned are the tasks that the plan moves there already.
	Allows func(task Task, planned []Task) bool
}

// Move is a task and the index of the worker that it goes to.
type Move struct {
	Task Task
	To   int
}

// Plan moves long-running tasks off one worker.
type Plan struct {
	From  int // index of the worker
	Moves []Move
	Gain  int64 // idle milli-CPU that waiting tasks can use afterwards, less what they lose elsewhere
}

// Planner finds the best plan for one state of the workers.
type Planner struct {
	workers      []Worker
	demands      []Demand
	incompatible func(serving, bestEffort string) bool
	blocks       map[string]uint64 // by image of long-running tasks: bits of the demands that it is incompatible with
}

// New returns a planner. The function incompatible reports whether a pair of
// images is known to be incompatible.
func New(workers []Worker, demands []Demand, incompatible func(serving, bestEffort string) bool) *Planner {
	demands = slices.Clone(demands)
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.MilliCPU, a.MilliCPU), cmp.Compare(a.Image, b.Image))
	})
	p := &Planner{workers: workers, demands: demands[:min(len(demands), maxDemands)], incompatible: incompatible, blocks: map[string]uint64{}}
	for i := range workers {
		for _, task := range workers[i].Tasks {
			p.addImage(task.Image)
		}
	}
	return p
}

func (p *Planner) addImage(serving string) {
	if _, known := p.blocks[serving]; known {
		return
	}
	blocked := uint64(0)
	for i, demand := range p.demands {
		if p.incompatible(serving, demand.Image) {
			blocked |= 1 << i
		}
	}
	p.blocks[serving] = blocked
}

// Best returns the plan with the largest gain beyond its cost, and false if none
// is worth its cost.
func (p *Planner) Best() (Plan, bool) {
	best, bestWorth, found := Plan{}, int64(0), false
	for _, source := range p.sources() {
		plan, ok := p.plan(source)
		if !ok {
			continue
		}
		if worth := plan.Gain - source.cost; worth > bestWorth {
			best, bestWorth, found = plan, worth, true
		}
	}
	return best, found
}

// source is a worker and the tasks to move off it.
type source struct {
	worker int
	tasks  []Task
	gain   int64 // gain if the tasks cost nothing where they go
	cost   int64 // gain from which the moves are worth it
}

// sources lists the workers that can be cleared for one of the demands, those
// that would gain most first.
func (p *Planner) sources() []source {
	var sources []source
	for i := range p.workers {
		seen := uint64(0)
		for _, task := range p.workers[i].Tasks {
			for k := range p.demands {
				bit := uint64(1) << k
				if p.blocks[task.Image]&bit == 0 || seen&bit != 0 {
					continue
				}
				seen |= bit
				if cleared, ok := p.source(i, bit); ok {
					sources = append(sources, cleared)
				}
			}
		}
	}
	slices.SortStableFunc(sources, func(a, b source) int { return cmp.Compare(b.gain-b.cost, a.gain-a.cost) })
	return sources[:min(len(sources), maxSources)]
}

// source selects the tasks of a worker that block a demand.
func (p *Planner) source(i int, bit uint64) (source, bool) {
	w := &p.workers[i]
	idle, left, moved := w.Idle, uint64(0), int64(0)
	selected := source{worker: i}
	for _, task := range w.Tasks {
		if p.blocks[task.Image]&bit == 0 {
			left |= p.blocks[task.Image]
			continue
		}
		if !task.Movable {
			return source{}, false
		}
		selected.tasks = append(selected.tasks, task)
		idle += task.Use
		moved += task.Room.MilliCPU
	}
	selected.gain = p.usable(idle, left) - p.usable(w.Idle, p.blocked(w))
	selected.cost = int64(minGainPerMoved * float64(moved))
	return selected, selected.gain > selected.cost
}

// blocked returns the bits of the demands that a worker cannot run.
func (p *Planner) blocked(w *Worker) uint64 {
	blocked := uint64(0)
	for _, task := range w.Tasks {
		blocked |= p.blocks[task.Image]
	}
	return blocked
}

// usable is how much of a worker's idle processors the demands can use that are
// not blocked there.
func (p *Planner) usable(idle int64, blocked uint64) int64 {
	waiting := int64(0)
	for i, demand := range p.demands {
		if blocked&(1<<i) == 0 {
			waiting += demand.MilliCPU
		}
	}
	return max(min(idle, waiting), 0)
}

// plan finds a destination for each task of a source, the largest first.
func (p *Planner) plan(from source) (Plan, bool) {
	plan := Plan{From: from.worker, Gain: from.gain}
	slices.SortStableFunc(from.tasks, func(a, b Task) int { return cmp.Compare(b.Room.MilliCPU, a.Room.MilliCPU) })
	planned := map[int][]Task{}
	for _, task := range from.tasks {
		to, loss, ok := p.destination(from.worker, task, planned)
		if !ok || plan.Gain-loss <= from.cost {
			return Plan{}, false
		}
		plan.Gain -= loss
		plan.Moves = append(plan.Moves, Move{Task: task, To: to})
		planned[to] = append(planned[to], task)
	}
	return plan, true
}

// destination returns the worker where a task takes least from best-effort
// tasks; of equal ones the fullest.
func (p *Planner) destination(from int, task Task, planned map[int][]Task) (to int, loss int64, ok bool) {
	least := int64(0)
	for i := range p.workers {
		w := &p.workers[i]
		free := w.Free
		for _, other := range planned[i] {
			free = free.Plus(other.Room, -1)
		}
		if i == from || !task.Room.FitsIn(free) || !w.Allows(task, planned[i]) {
			continue
		}
		lost := p.lossAt(w, task, planned[i])
		if !ok || lost < least || lost == least && free.MilliCPU < p.workers[to].Free.MilliCPU {
			to, least, ok = i, lost, true
		}
	}
	return to, least, ok
}

// lossAt is the milli-CPU that best-effort tasks lose on a worker that gets a
// task: idle processors that waiting ones could use, and processors that running
// ones use.
func (p *Planner) lossAt(w *Worker, task Task, planned []Task) int64 {
	blocked, idle := p.blocked(w), w.Idle
	for _, other := range planned {
		blocked |= p.blocks[other.Image]
		idle -= other.Use
	}
	loss := p.usable(idle, blocked) - p.usable(idle-task.Use, blocked|p.blocks[task.Image])
	loss += max(task.Use-max(idle, 0), 0)
	for image, used := range w.Loads {
		if p.incompatible(task.Image, image) {
			loss += used
		}
	}
	return loss
}
