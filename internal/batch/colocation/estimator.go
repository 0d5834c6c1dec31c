// Package colocation estimates how much batch tasks slow the services of their
// VM, and decides which tasks to throttle or evict.
//
// An [Estimator] learns from lagging reports, for each pair of service and
// kind of task, the slowdown per processor that such tasks use:
//
//	slowdown(service, vm) = rest(service, vm) + sum over kinds of weight(service, kind) * processors(kind, vm)
//
// Each report corrects the weights by its error (normalised least mean
// squares), so that old errors decay. The rest, what no kind explains, is kept
// for each service and VM.
//
//	report ─> Observe ─> weights ─┬─> Harm    (placement)
//	                              └─> Decide: breach shown by two reports
//	                                    ├─ throttle, most relief first
//	                                    └─ still a breach: evict, most relief per lost work
//
// A decision about a VM waits for a report that was measured after the last
// one took effect. So late reports slow decisions down and cannot multiply
// them, and without reports there are none.
//
// [Estimator] is a mutable engine of the control thread and not safe for
// concurrent use.
//
// # Usage
//
//	estimator := colocation.New(colocation.Options{TargetPercent: 130})
//	estimator.Observe(now, usages)
//	index.Harm = estimator.Harm
//	for _, action := range estimator.Decide(now, vm, permits, tasks) { ... }
package colocation

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

const (
	// Part of a report's error that the weights take up.
	learnRate = 0.2
	// Part of the rest that is replaced by a report's error.
	restRate = 0.3
	// Part of a kind's usual processors that is replaced by a report.
	useRate = 0.1
	// Weight of a pair that was never seen, in slowdown per processor.
	priorWeight = 0.01
	// Processors of a kind that was never seen.
	priorCores = 1.0
	// BreachHarm is the least that Harm returns where a service is expected to
	// pass its target.
	BreachHarm = 10.0
)

// pair is a service and a kind of batch task.
type pair struct {
	service string
	kind    string
}

// Estimator holds what is known of a cell's colocation.
type Estimator struct {
	options  Options
	weights  map[pair]float64   // extra slowdown per processor, as a fraction
	cores    map[string]float64 // usual processors of a task, by kind
	vms      map[string]*machine
	order    []string     // of vms, for a turn
	counted  clock.Millis // when freshVMs was counted
	freshVMs int
	turn     int
	swept    clock.Millis   // when unused kinds were last dropped
	norm     float64        // usual sum of squared processors by kind of a VM
	evicted  []clock.Millis // recent evictions for relief, oldest first
	roomMade []clock.Millis // recent evictions for room, oldest first
}

// machine is what is known of one VM.
type machine struct {
	measured clock.Millis // time of the newest report's measurement
	services []service
	use      []use              // as measured, in order of kind
	tasks    map[string]float64 // processors by job, as measured
	pending  []start            // newer than the measurement

	acted     clock.Millis      // time of the last action
	breaches  int               // reports in a row that show a breach
	throttles int               // orders in this breach, and what is left of earlier ones
	slowed    map[string]slowed // throttled tasks, by job
	loosened  clock.Millis      // time of the last Unthrottle
	patience  clock.Millis      // wait between an action and an Unthrottle
}

// service is one service of a VM.
type service struct {
	name  string
	extra float64 // slowdown as a fraction, 0 when as fast as alone
	rest  float64 // part that the weights do not explain
}

// use is the processors that a VM's tasks of one kind use.
type use struct {
	kind  string
	cores float64
}

// start is a task that the reports do not show yet.
type start struct {
	at    clock.Millis
	kind  string
	cores float64
}

// slowed is a throttled task.
type slowed struct {
	cores float64      // that it used before
	since clock.Millis // when it was throttled
}

// never stands for a time before all others.
const never clock.Millis = -1 << 62

// New returns an estimator that knows nothing.
func New(options Options) *Estimator {
	return &Estimator{
		options: options.withDefaults(),
		counted: never,
		swept:   never,
		weights: map[pair]float64{},
		cores:   map[string]float64{},
		vms:     map[string]*machine{},
	}
}

// Observe takes in reports. One that is not newer than the last of its VM is
// ignored.
func (e *Estimator) Observe(now clock.Millis, usages []worker.Usage) {
	for _, usage := range usages {
		e.observe(now-usage.AgeMS, usage)
	}
}

// Forget drops a VM that left the cell.
func (e *Estimator) Forget(vm string) {
	if _, known := e.vms[vm]; !known {
		return
	}
	delete(e.vms, vm)
	e.order = slices.DeleteFunc(e.order, func(name string) bool { return name == vm })
}

// Started counts a task that no report shows yet, so that several are not
// placed on one VM between two reports.
func (e *Estimator) Started(now clock.Millis, vm, kind string, size amount.Amount) {
	state := e.machine(vm)
	// Without reports nothing else would drop them.
	state.pending = slices.DeleteFunc(state.pending, func(s start) bool { return now-s.at > staleLags*e.options.Lag })
	state.pending = append(state.pending, start{now, kind, e.expected(kind, size)})
}

// Harm returns the expected extra slowdown of the VM's services, summed, if a
// task of a kind and declared size joins, as a fraction of running alone.
// Where a service would pass its target it is BreachHarm and more.
func (e *Estimator) Harm(vm, kind string, size amount.Amount) float64 {
	state, known := e.vms[vm]
	if !known {
		return 0
	}
	cores := e.expected(kind, size)
	harm := 0.0
	for _, service := range state.services {
		added := e.weight(service.name, kind) * cores
		harm += added
		total := service.extra + e.coming(state, service.name) + added
		if past := total - e.options.allowed(service.name); past > 0 {
			harm += BreachHarm + past
		}
	}
	return harm
}

// coming returns the slowdown expected from tasks that no report shows yet.
func (e *Estimator) coming(state *machine, service string) float64 {
	sum := 0.0
	for _, start := range state.pending {
		sum += e.weight(service, start.kind) * start.cores
	}
	return sum
}

// expected returns the processors that a task will use: the declared ones, or
// the usual of its kind.
func (e *Estimator) expected(kind string, size amount.Amount) float64 {
	if size.MilliCores > 0 {
		return float64(size.MilliCores) / 1000
	}
	return e.usual(kind)
}

func (e *Estimator) machine(vm string) *machine {
	state, known := e.vms[vm]
	if !known {
		state = &machine{measured: never, acted: never, loosened: never, patience: loosenLags * e.options.Lag, slowed: map[string]slowed{}}
		e.order = append(e.order, vm)
		e.vms[vm] = state
	}
	return state
}

func (e *Estimator) weight(service, kind string) float64 {
	if weight, known := e.weights[pair{service, kind}]; known {
		return weight
	}
	return priorWeight
}

func (e *Estimator) usual(kind string) float64 {
	if cores, known := e.cores[kind]; known {
		return cores
	}
	return priorCores
}
