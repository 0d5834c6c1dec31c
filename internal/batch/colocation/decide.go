package colocation

import (
	"slices"

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
	Urgent    bool // never touched
	Throttled bool
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
	calm := state.calmSince != never && state.measured-state.calmSince >= calmLags*e.options.Lag
	if !calm {
		return Action{}, false
	}
	state.throttles = 0
	return e.loosen(state, tasks)
}

// relieve throttles the task with the most relief, or evicts once throttling
// did not help or is not allowed.
func (e *Estimator) relieve(now clock.Millis, state *machine, permits Permits, tasks []Task) (Action, bool) {
	if permits.Throttle && state.throttles < maxThrottles {
		task, found := e.most(state, tasks, func(task Task, relief float64) float64 {
			if task.Throttled {
				return 0
			}
			return relief
		})
		if found {
			state.throttles++
			return Action{Do: Throttle, Job: task.Job, Attempt: task.Attempt}, true
		}
	}
	if !permits.Evict || !e.mayEvict(now) {
		return Action{}, false
	}
	task, found := e.most(state, tasks, func(task Task, relief float64) float64 {
		return relief / float64(task.Lost+evictCost)
	})
	if !found {
		return Action{}, false
	}
	e.evicted = append(e.evicted, now)
	return Action{Do: Evict, Job: task.Job, Attempt: task.Attempt}, true
}

// most returns the batch task of the highest merit among those whose relief is
// worth an action.
func (e *Estimator) most(state *machine, tasks []Task, merit func(Task, float64) float64) (Task, bool) {
	var best Task
	top := 0.0
	for _, task := range tasks {
		if task.Urgent {
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
	cores, measured := state.tasks[task.Job]
	if !measured {
		cores = e.usual(task.Kind)
	}
	sum := 0.0
	for _, service := range state.services {
		if service.extra > e.options.allowed(service.name) {
			sum += e.weight(service.name, task.Kind) * cores
		}
	}
	return sum
}

// loosen lets the throttled task run freely whose kind slows services least,
// if that is not expected to bring the breach back.
func (e *Estimator) loosen(state *machine, tasks []Task) (Action, bool) {
	var best Task
	found := false
	least := 0.0
	for _, task := range tasks {
		if !task.Throttled {
			continue
		}
		load := e.loadWith(state, task.Kind)
		if load < 1 && (!found || load < least) {
			best, least, found = task, load, true
		}
	}
	return Action{Do: Unthrottle, Job: best.Job, Attempt: best.Attempt}, found
}

// loadWith returns the VM's load if a task of a kind ran freely besides.
func (e *Estimator) loadWith(state *machine, kind string) float64 {
	load := 0.0
	for _, service := range state.services {
		extra := service.extra + e.weight(service.name, kind)*e.usual(kind)
		load = max(load, extra/e.options.allowed(service.name))
	}
	return load
}

// mayEvict reports whether the cell may evict one more task now.
func (e *Estimator) mayEvict(now clock.Millis) bool {
	e.evicted = slices.DeleteFunc(e.evicted, func(at clock.Millis) bool { return now-at >= e.options.Lag })
	fresh := 0
	for _, state := range e.vms {
		if e.fresh(now, state) {
			fresh++
		}
	}
	if float64(fresh) < freshPart*float64(len(e.vms)) {
		return false
	}
	return float64(len(e.evicted)) < max(evictPart*float64(fresh), 1)
}
