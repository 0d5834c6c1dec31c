package colocation

import (
	"slices"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Permits say what the pool allows to be done to batch tasks.
type Permits struct {
	Throttle bool
	Evict    bool
}

// Task is a task that runs on a VM, as the cell knows it.
type Task struct {
	Job       string
	Attempt   int
	Kind      string
	Size      amount.Amount // committed; only MakeRoom reads it
	Urgent    bool          // never touched
	Throttled bool
	Stopping  bool         // its eviction is under way
	Since     clock.Millis // start of the attempt
	Lost      clock.Millis // work that would be lost if it were evicted now
}

// Do is what to do to a task.
type Do string

// The actions.
const (
	Throttle   Do = "throttle"
	Unthrottle Do = "unthrottle"
	Evict      Do = "evict" // checkpoint, stop and queue again
)

// Action is a decision about one task.
type Action struct {
	Do      Do
	VM      string
	Job     string
	Attempt int
}

// Decide returns what to do about the tasks of a VM: at most one action, and
// none until a report shows the effect of the last one. The caller carries it
// out; a decision counts as done.
func (e *Estimator) Decide(now clock.Millis, vm string, permits Permits, tasks []Task) []Action {
	state, known := e.vms[vm]
	if !known || !e.informed(now, state) {
		return nil
	}
	action, found := e.decide(now, state, permits, tasks)
	if !found {
		return nil
	}
	action.VM = vm
	state.acted = now
	return []Action{action}
}

// informed reports whether the newest report is fresh and shows the last action.
func (e *Estimator) informed(now clock.Millis, state *machine) bool {
	return e.fresh(now, state) && state.measured > state.acted && now-state.acted >= e.options.Lag
}

func (e *Estimator) fresh(now clock.Millis, state *machine) bool {
	return now-state.measured <= staleLags*e.options.Lag
}

func (e *Estimator) decide(now clock.Millis, state *machine, permits Permits, tasks []Task) (Action, bool) {
	if state.breaches >= confirmReports {
		return e.relieve(now, state, permits, tasks)
	}
	if state.breaches > 0 || now-state.acted < state.patience {
		return Action{}, false
	}
	state.throttles = min(state.throttles, throttled(tasks))
	if action, found := e.loosen(now, state, tasks); found {
		return action, true
	}
	return e.relocate(now, state, permits, tasks)
}

// throttled counts the tasks that are.
func throttled(tasks []Task) int {
	return lo.CountBy(tasks, func(task Task) bool { return task.Throttled })
}

// relocate evicts a task that stays throttled here while it would slow nobody
// past the target elsewhere, at a moment when little work is lost.
func (e *Estimator) relocate(now clock.Millis, state *machine, permits Permits, tasks []Task) (Action, bool) {
	if !permits.Evict || len(state.slowed) == 0 {
		return Action{}, false
	}
	for _, task := range tasks {
		held, known := state.slowed[task.Job]
		due := known && task.Throttled && !task.Stopping && now-held.since >= relocateLags*e.options.Lag
		if !due || task.Lost > maxRelocateLoss || !e.harmlessElsewhere(task.Kind, held.cores) || !e.mayEvict(now) {
			continue
		}
		e.evicted = append(e.evicted, now)
		return Action{Do: Evict, Job: task.Job, Attempt: task.Attempt}, true
	}
	return Action{}, false
}

// harmlessElsewhere looks at some VMs in turn for one where a task would keep
// all services within their targets.
func (e *Estimator) harmlessElsewhere(kind string, cores float64) bool {
	size := amount.Amount{MilliCores: int64(cores * 1000)}
	for range min(relocateLooks, len(e.order)) {
		e.turn++
		if e.Harm(e.order[e.turn%len(e.order)], kind, size) < BreachHarm {
			return true
		}
	}
	return false
}

// relieve throttles the task that gives the relief at the least cost in work,
// or evicts once throttling did not help or is not allowed.
func (e *Estimator) relieve(now clock.Millis, state *machine, permits Permits, tasks []Task) (Action, bool) {
	e.relapse(now, state)
	if permits.Throttle && state.throttles < maxThrottles {
		task, found := e.best(state, tasks, func(task Task, relief float64) float64 {
			if task.Throttled {
				return 0
			}
			return min(relief, e.excess(state)) / e.coresOf(state, task)
		})
		if found {
			state.throttles++
			state.slowed[task.Job] = slowed{e.coresOf(state, task), now}
			return Action{Do: Throttle, Job: task.Job, Attempt: task.Attempt}, true
		}
	}
	if !permits.Evict || !e.mayEvict(now) {
		return Action{}, false
	}
	task, found := e.best(state, tasks, func(task Task, relief float64) float64 {
		return relief / float64(task.Lost+evictCost)
	})
	if !found {
		return Action{}, false
	}
	e.evicted = append(e.evicted, now)
	return Action{Do: Evict, Job: task.Job, Attempt: task.Attempt}, true
}

// relapse doubles the wait for the next Unthrottle if the last one brought the
// breach back.
func (e *Estimator) relapse(now clock.Millis, state *machine) {
	lag := e.options.Lag
	if now-state.loosened > relapseLags*lag {
		return
	}
	state.loosened = never
	state.patience = min(2*state.patience, maxLoosenLags*lag)
}

// best returns the batch task of the highest merit among those whose relief is
// worth an action.
func (e *Estimator) best(state *machine, tasks []Task, merit func(Task, float64) float64) (Task, bool) {
	var best Task
	top := 0.0
	for _, task := range tasks {
		if task.Urgent || task.Stopping {
			continue
		}
		relief := e.relief(state, task)
		if relief < minRelief {
			continue
		}
		if got := merit(task, relief); got > top {
			best, top = task, got
		}
	}
	return best, top > 0
}

// relief returns how much less the slowed services would be slowed without a
// task, as a fraction.
func (e *Estimator) relief(state *machine, task Task) float64 {
	cores := e.coresOf(state, task)
	sum := 0.0
	for _, service := range state.services {
		if service.extra > e.options.allowed(service.name) {
			sum += e.weight(service.name, task.Kind) * cores
		}
	}
	return sum
}

// excess returns the slowdown past the targets, summed over services.
func (e *Estimator) excess(state *machine) float64 {
	sum := 0.0
	for _, service := range state.services {
		sum += max(service.extra-e.options.allowed(service.name), 0)
	}
	return sum
}

// coresOf returns the processors that a task uses, or the usual of its kind.
func (e *Estimator) coresOf(state *machine, task Task) float64 {
	cores, measured := state.tasks[task.Job]
	if !measured {
		cores = e.usual(task.Kind)
	}
	return max(cores, minCores)
}

// loosen lets the throttled task run freely that slows services least, if that
// is not expected to bring the breach back.
func (e *Estimator) loosen(now clock.Millis, state *machine, tasks []Task) (Action, bool) {
	var best Task
	least := loosenPart
	for _, task := range tasks {
		if !task.Throttled || task.Stopping {
			continue
		}
		if load := e.loadFreed(state, task); load < least {
			best, least = task, load
		}
	}
	if best.Job == "" {
		return Action{}, false
	}
	delete(state.slowed, best.Job)
	state.loosened = now
	state.throttles = max(state.throttles-1, 0)
	return Action{Do: Unthrottle, Job: best.Job, Attempt: best.Attempt}, true
}

// loadFreed returns the VM's load if a throttled task ran freely.
func (e *Estimator) loadFreed(state *machine, task Task) float64 {
	cores := e.coresOf(state, task)
	before := cores * freedFactor
	if held, known := state.slowed[task.Job]; known {
		before = held.cores
	}
	load := 0.0
	for _, service := range state.services {
		extra := service.extra + e.weight(service.name, task.Kind)*max(before-cores, 0)
		load = max(load, extra/e.options.allowed(service.name))
	}
	return load
}

// mayEvict reports whether the cell may evict one more task now.
func (e *Estimator) mayEvict(now clock.Millis) bool {
	e.evicted = slices.DeleteFunc(e.evicted, func(at clock.Millis) bool { return now-at >= e.options.Lag })
	fresh := e.countFresh(now)
	if float64(fresh) < freshPart*float64(len(e.vms)) {
		return false
	}
	return float64(len(e.evicted)) < max(evictPart*float64(fresh), 1)
}

// countFresh returns the VMs with fresh reports, counted anew once a second.
func (e *Estimator) countFresh(now clock.Millis) int {
	if now-e.counted < countEvery {
		return e.freshVMs
	}
	e.counted, e.freshVMs = now, 0
	for _, state := range e.vms {
		if e.fresh(now, state) {
			e.freshVMs++
		}
	}
	return e.freshVMs
}
