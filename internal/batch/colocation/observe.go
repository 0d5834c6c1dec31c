package colocation

import (
	"maps"
	"slices"
	"strings"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// observe takes in one report, measured at a time of our clock.
func (e *Estimator) observe(measured clock.Millis, usage worker.Usage) {
	state := e.machine(usage.VM)
	if measured <= state.measured {
		return
	}
	state.measured = measured
	state.pending = slices.DeleteFunc(state.pending, func(s start) bool { return s.at <= measured })
	e.count(state, usage.TaskUsage)
	maps.DeleteFunc(state.slowed, func(job string, _ slowed) bool {
		_, runs := state.tasks[job]
		return !runs
	})
	state.replace(usage.Services)
	for i := range state.services {
		e.learn(state, &state.services[i])
	}
	e.grade(state)
}

// count notes how many processors tasks use, by kind and by job.
func (e *Estimator) count(state *machine, tasks []worker.TaskUsage) {
	state.use = state.use[:0]
	state.tasks = make(map[string]float64, len(tasks))
	for _, task := range tasks {
		cores := float64(task.Used.MilliCores) / 1000
		state.add(task.Kind, cores)
		state.tasks[task.Job] = cores
		if _, slowed := state.slowed[task.Job]; slowed {
			continue // says nothing of the kind's usual use
		}
		if usual, known := e.cores[task.Kind]; known {
			e.cores[task.Kind] = usual + useRate*(cores-usual)
		} else if e.admit(state.measured) {
			e.cores[task.Kind] = cores
		}
	}
}

// admit reports whether one more kind may be learnt, and drops unused ones when
// there are too many.
func (e *Estimator) admit(now clock.Millis) bool {
	if len(e.cores) >= maxKinds && now-e.swept >= sweepEvery {
		e.swept = now
		e.sweep()
	}
	return len(e.cores) < maxKinds
}

// sweep drops the kinds that no VM runs by its newest report.
func (e *Estimator) sweep() {
	used := map[string]bool{}
	for _, state := range e.vms {
		for _, use := range state.use {
			used[use.kind] = true
		}
	}
	maps.DeleteFunc(e.cores, func(kind string, _ float64) bool { return !used[kind] })
	maps.DeleteFunc(e.weights, func(pair pair, _ float64) bool { return !used[pair.kind] })
}

// add counts processors of a kind; the order of kinds stays fixed, so that sums
// are the same on every run.
func (m *machine) add(kind string, cores float64) {
	at, found := slices.BinarySearchFunc(m.use, kind, func(u use, kind string) int { return strings.Compare(u.kind, kind) })
	if !found {
		m.use = slices.Insert(m.use, at, use{kind: kind})
	}
	m.use[at].cores += cores
}

// replace takes the services of a report and keeps the rest of known ones.
func (m *machine) replace(reported []worker.Service) {
	services := make([]service, 0, len(reported))
	for _, now := range reported {
		next := service{name: now.Name, extra: float64(now.SlowdownPerc-100) / 100}
		at := slices.IndexFunc(m.services, func(old service) bool { return old.name == now.Name })
		if at >= 0 {
			next.rest = m.services[at].rest
		}
		services = append(services, next)
	}
	m.services = services
}

// learn corrects the weights of a service by the error of this report. A
// report with little use beside the usual one says little about weights, so
// that the noise of its measurement is not blown up.
func (e *Estimator) learn(state *machine, service *service) {
	explained, norm := 0.0, 0.0
	for _, use := range state.use {
		explained += e.weight(service.name, use.kind) * use.cores
		norm += use.cores * use.cores
	}
	if norm == 0 {
		service.rest += restRate * (service.extra - service.rest)
		return
	}
	if e.norm == 0 {
		e.norm = norm
	}
	e.norm += useRate * (norm - e.norm)
	miss := service.extra - explained - service.rest
	service.rest += restRate * miss
	for _, use := range state.use {
		if _, learnt := e.cores[use.kind]; !learnt {
			continue
		}
		weight := e.weight(service.name, use.kind) + learnRate*miss*use.cores/(norm+e.norm)
		e.weights[pair{service.name, use.kind}] = max(weight, 0)
	}
}

// grade counts breaches from the newest report.
func (e *Estimator) grade(state *machine) {
	if e.load(state) > 1 {
		state.breaches++
		return
	}
	state.breaches = 0
}

// load returns the largest slowdown of the VM's services as a part of what is
// allowed; above 1 is a breach.
func (e *Estimator) load(state *machine) float64 {
	load := 0.0
	for _, service := range state.services {
		load = max(load, service.extra/e.options.allowed(service.name))
	}
	return load
}
