package machine

import (
	"cmp"
	"math"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// Noise says how much running tasks slow a service down. The slowdown depends
// on the pair of service and kind of task, and grows with the load.
type Noise struct {
	// ByPair is the slowdown, in percent of the undisturbed time, that a kind
	// of task would cause a service if it held all processors of the VM.
	ByPair map[Pair]int
	// LoadPercent is added to each slowdown when all slots are busy, as a
	// share of it, and proportionally less when fewer are.
	LoadPercent int
}

// Pair is a service and a kind of task. An empty service means any.
type Pair struct{ Service, Kind string }

// of returns the percentage of a pair, or that of the kind for any service.
func (noise Noise) of(service, kind string) int {
	if percent, found := noise.ByPair[Pair{service, kind}]; found {
		return percent
	}
	return noise.ByPair[Pair{"", kind}]
}

// SetNoise replaces the noise from now on.
func (machine *Machine) SetNoise(noise Noise) {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	machine.options.Noise = noise
}

// slowdown returns the factor on a service's time, 1 when nothing disturbs it.
func (machine *Machine) slowdown(service string) float64 {
	cores := float64(max(1, machine.options.VM.Size.MilliCores))
	load := float64(len(machine.slots)) / float64(cap(machine.slots))
	extra := 0.0
	for _, task := range machine.tasks {
		if task.phase != worker.Running {
			continue
		}
		share := float64(task.used().MilliCores) / cores * float64(task.speed(machine.options.ThrottledSpeed)) / fullSpeed
		extra += share * float64(machine.options.Noise.of(service, task.order.Kind)) / 100
	}
	return 1 + extra*(1+load*float64(machine.options.Noise.LoadPercent)/100)
}

// serviceTime draws how long a request takes; want 0 means the default.
func (machine *Machine) serviceTime(service string, want clock.Millis) (took clock.Millis, factor float64) {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	machine.settle()
	if want <= 0 {
		want = machine.options.ServiceMS
	}
	factor = machine.slowdown(service)
	jitter := 1 + float64(machine.lots.IntN(2*jitterPercent+1)-jitterPercent)/100
	return clock.Millis(math.Round(float64(want)*factor*jitter)) + machine.faults.SlowMS, factor
}

// latencies are the last ones of one service.
type latencies struct {
	times   [keptLatencies]clock.Millis
	factors [keptLatencies]float64
	count   int
}

func (latencies *latencies) add(took clock.Millis, factor float64) {
	at := latencies.count % keptLatencies
	latencies.times[at], latencies.factors[at] = took, factor
	latencies.count++
}

func (machine *Machine) noteLatency(service string, took clock.Millis, factor float64) {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	known := machine.served[service]
	if known == nil {
		known = &latencies{}
		machine.served[service] = known
	}
	known.add(took, factor)
}

// services reports on each service that was asked lately.
func (machine *Machine) services() []worker.Service {
	services := make([]worker.Service, 0, len(machine.served))
	for service, known := range machine.served {
		kept := min(known.count, keptLatencies)
		times := slices.Sorted(slices.Values(known.times[:kept]))
		sum := 0.0
		for _, factor := range known.factors[:kept] {
			sum += factor
		}
		services = append(services, worker.Service{
			Name: service, P99MS: times[(kept-1)*99/100], SlowdownPerc: int(math.Round(100 * sum / float64(kept))),
		})
	}
	slices.SortFunc(services, func(one, other worker.Service) int { return cmp.Compare(one.Name, other.Name) })
	return services
}
