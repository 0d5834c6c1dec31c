package owner

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	standin "github.com/oriolepier/oriolepier/internal/standin/worker"
)

// Flags for runs by hand.
var (
	hostileSeeds = flag.Int("seeds", 1, "seeds of each hostile play")
	newEntries   = flag.Bool("new-entries", false, "let a quarter of the owners run in entries that no earlier owner asks and no other entry hears of")
	traceHostile = flag.Bool("owner-logs", false, "print the logs of the owners of a hostile play that breaks a rule")
)

// Times of a hostile play.
const (
	hostileJobs                     = 48
	hostileJobPeriod   clock.Millis = 350               // between submissions
	hostileFaultWindow clock.Millis = 14 * clock.Second // in which faults begin
	hostileCancelAt    clock.Millis = 45 * clock.Second // when long-running jobs are cancelled
	hostileLength      clock.Millis = 80 * clock.Second // when all jobs must be final
	hostileCheckPeriod clock.Millis = 150               // between checks for duplicate runs beside those at each event
)

// newHostileSimulation returns a simulation in which the steps of a takeover are
// apart in time.
func newHostileSimulation(t *testing.T, seed uint64, workers int) *simulation {
	t.Helper()
	sim := newSimulation(t, seed, workers)
	sim.drawTakeover = sim.drawSteps
	if *newEntries {
		entries := rand.New(rand.NewPCG(seed, 19))
		sim.drawNewEntry = func() bool { return entries.IntN(4) == 0 }
	}
	sim.drawAppend = sim.drawAppendTimes
	sim.drawWork = sim.drawLongWork
	sim.addEntries()
	sim.audit.enabled = true
	return sim
}

// drawLongWork draws a run of up to 12 s, which is longer than two leases. Half of
// the long-running tasks run until they are stopped, and half of them end by
// themselves.
func (sim *simulation) drawLongWork(task job.Task) standin.Work {
	const minLength, maxLength, maxLasting = 200, 12_000, 25_000
	lasting := sim.specs[task.Job].Steps[task.Step].Lasting
	switch {
	case lasting && sim.rng.IntN(2) == 0:
		return standin.Work{Room: fleet.Room{MilliCPU: 1000, MemoryMB: 1000}}
	case lasting:
		return sim.work(clock.Millis(minLength + sim.rng.IntN(maxLasting)))
	case sim.rng.IntN(3) > 0:
		return sim.drawShortWork(task)
	default:
		return sim.work(clock.Millis(minLength + sim.rng.IntN(maxLength-minLength)))
	}
}

// lastingJob draws a job of long-running tasks.
func (sim *simulation) lastingJob(number int) job.Spec {
	return job.Spec{ID: job.ID(fmt.Sprintf("%016x", number)), Queue: "q", Text: "x", Steps: []job.Step{{
		Count: 1 + sim.rng.IntN(4), MilliCPU: 1000, MemoryMB: 1000, Lasting: true,
	}}}
}

// submitHostile submits the jobs of a hostile play, one in six of them long-running,
// and cancels those before the end.
func (sim *simulation) submitHostile() {
	for i := range hostileJobs {
		number := i + 1
		sim.at(clock.Millis(i)*hostileJobPeriod, func() {
			if number%6 == 0 {
				sim.submit(sim.currentOwner(), sim.lastingJob(number))
				return
			}
			sim.submit(sim.currentOwner(), sim.randomJob(number))
		})
	}
	sim.at(hostileCancelAt, sim.cancelLasting)
}

// cancelLasting cancels the long-running jobs, again while that is not confirmed.
func (sim *simulation) cancelLasting() {
	pending := false
	for _, id := range slices.Sorted(maps.Keys(sim.accepted)) {
		if _, cancelled := sim.cancelled[id]; !cancelled && sim.specs[id].Steps[0].Lasting {
			pending = true
			sim.cancel(sim.currentOwner(), id)
		}
	}
	if pending {
		sim.at(clock.Second, sim.cancelLasting)
	}
}

// simulateHostile plays faults as simulateFaults does, in a hostile simulation.
func simulateHostile(t *testing.T, seed uint64, injections ...fault) *simulation {
	t.Helper()
	return newHostileSimulation(t, seed, 9).playHostile(injections...)
}

// playHostile plays the faults of simulateHostile.
func (sim *simulation) playHostile(injections ...fault) *simulation {
	sim.simOwner()
	sim.submitHostile()
	sim.injectWithin(hostileFaultWindow, injections)
	for at := clock.Millis(0); at < hostileLength; at += hostileCheckPeriod {
		sim.at(at, sim.checkDuplicateRuns)
	}
	sim.run(hostileLength)
	sim.checkFinalStates(sim.currentOwner())
	return sim
}

// injectWithin injects faults at drawn moments, the first ones not before any job
// runs.
func (sim *simulation) injectWithin(window clock.Millis, injections []fault) {
	for _, injected := range injections {
		begin := 1500 + clock.Millis(sim.rng.IntN(int(window)))
		if injected.begin != nil {
			sim.at(begin, func() {
				sim.tracef("fault %s begins", injected.name)
				injected.begin(sim, sim.currentOwner())
			})
		}
		if injected.end != nil {
			sim.at(begin+1000+clock.Millis(sim.rng.IntN(6000)), func() { injected.end(sim) })
		}
	}
}

// report fails the test of a play that broke a rule.
func (sim *simulation) report(seed uint64, names ...string) {
	sim.t.Helper()
	if len(sim.faults) > 0 {
		sim.t.Errorf("seed %d %v: invariants violated:\n%s\n%s", seed, names, strings.Join(sim.faults, "\n"), strings.Join(sim.trace, "\n"))
	}
}

// takeoverFault is part of all hostile plays.
var takeoverFault = fault{name: "takeover", begin: func(sim *simulation, _ *simOwner) { sim.startOwnerAfter(0) }}

// allFaults are those of hostile plays.
var allFaults = slices.Concat(faults, hostileFaults)

// TestHostileFaultsInPairs plays each fault with another one and a takeover from a live
// owner. Seed n pairs it with the fault n+1 rows below in the table.
func TestHostileFaultsInPairs(t *testing.T) {
	for i, first := range allFaults {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			for seed := range *hostileSeeds {
				second := allFaults[(i+seed+1)%len(allFaults)]
				simulateHostile(t, uint64(seed), first, second, takeoverFault).report(uint64(seed), second.name)
			}
		})
	}
}

// TestHostileFaults plays each fault, and a takeover from a live owner, in a hostile
// simulation.
func TestHostileFaults(t *testing.T) {
	for _, injected := range allFaults {
		t.Run(injected.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*hostileSeeds) {
				simulateHostile(t, seed, injected, takeoverFault).report(seed)
			}
		})
	}
}
