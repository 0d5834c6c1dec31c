package owner

import (
	"flag"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// hostileSeeds is the number of seeds of each hostile play.
var hostileSeeds = flag.Int("seeds", 1, "seeds of each hostile play")

// hostileFaultWindow is the time in which the faults of a hostile play begin.
const hostileFaultWindow = 12 * clock.Second

// newHostileSimulation returns a simulation in which the steps of a takeover are
// apart in time.
func newHostileSimulation(t *testing.T, seed uint64, workers int) *simulation {
	t.Helper()
	sim := newSimulation(t, seed, workers)
	sim.drawTakeover = sim.drawSteps
	sim.drawAppend = sim.drawAppendTimes
	return sim
}

// simulateHostile plays faults as simulateFaults does, in a hostile simulation.
func simulateHostile(t *testing.T, seed uint64, injections ...fault) *simulation {
	t.Helper()
	sim := newHostileSimulation(t, seed, 9)
	sim.simOwner()
	for i := range 48 {
		sim.at(clock.Millis(i)*250, func() { sim.submit(sim.currentOwner(), sim.randomJob(i+1)) })
	}
	sim.injectWithin(hostileFaultWindow, injections)
	for i := range 400 {
		sim.at(clock.Millis(i)*150, sim.checkDuplicateRuns)
	}
	sim.run(60 * clock.Second)
	sim.checkFinalStates(sim.currentOwner())
	return sim
}

// injectWithin injects faults at drawn moments, the first ones not before any job
// runs.
func (sim *simulation) injectWithin(window clock.Millis, injections []fault) {
	for _, injected := range injections {
		begin := 1500 + clock.Millis(sim.rng.IntN(int(window)))
		if injected.begin != nil {
			sim.at(begin, func() { injected.begin(sim, sim.currentOwner()) })
		}
		if injected.end != nil {
			sim.at(begin+1000+clock.Millis(sim.rng.IntN(6000)), func() { injected.end(sim) })
		}
	}
}

// TestHostileFaults plays each fault, and a takeover from a live owner, in a hostile
// simulation.
func TestHostileFaults(t *testing.T) {
	takeover := fault{name: "takeover", begin: func(sim *simulation, _ *simOwner) { sim.startOwnerAfter(0) }}
	for _, injected := range faults {
		t.Run(injected.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*hostileSeeds) {
				sim := simulateHostile(t, seed, injected, takeover)
				if diff := cmp.Diff([]string(nil), sim.faults); diff != "" {
					t.Errorf("seed %d: invariants violated (-want +got):\n%s", seed, diff)
				}
			}
		})
	}
}
