package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	standin "github.com/oriolepier/oriolepier/internal/standin/worker"
)

// returningWorker is the worker that is cut off and comes back.
const returningWorker = "w04-b"

// TestTakeoverEndsNoRunStartedOnWorkerBackInContact replaces the owner at each moment after an unresponsive worker is back.
func TestTakeoverEndsNoRunStartedOnWorkerBackInContact(t *testing.T) {
	replacements := map[string]func(sim *simulation, first *simOwner){
		"owner_killed": func(sim *simulation, first *simOwner) {
			first.down = true
			sim.startOwnerAfter(400)
		},
		"owner_superseded": func(sim *simulation, _ *simOwner) { sim.startOwnerAfter(0) },
		"owner_superseded_and_worker_cut_off_again": func(sim *simulation, _ *simOwner) {
			sim.startOwnerAfter(20)
			sim.at(20, func() { sim.workers[returningWorker].reachable = false })
		},
	}
	for name, replace := range replacements {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for delay := clock.Millis(480); delay < 620; delay += 8 {
				violations := replaceOwnerAfterReturn(t, delay, replace)
				if diff := cmp.Diff([]string(nil), violations); diff != "" {
					t.Errorf("owner replaced %d ms after the return: invariants violated (-want +got):\n%s", delay, diff)
				}
			}
		})
	}
}

// replaceOwnerAfterReturn cuts a worker off until its leases have expired, and
// replaces the owner a while after the worker is back. It returns the violations.
func replaceOwnerAfterReturn(t *testing.T, delay clock.Millis, replace func(*simulation, *simOwner)) []string {
	t.Helper()
	const (
		cutAt      clock.Millis = 1000
		returnedAt clock.Millis = 8000
		runLength  clock.Millis = 2500
	)
	sim := newSimulation(t, 3, 9)
	for _, m := range sim.workers {
		m.DrawWork = func(task job.Task) standin.Work {
			work := sim.drawWork(task)
			work.Length = runLength
			return work
		}
	}
	first := sim.simOwner()
	for i := range 50 {
		sim.at(clock.Millis(i)*200, func() { sim.submit(sim.currentOwner(), sim.randomJob(i+1)) })
	}
	cut := sim.workers[returningWorker]
	sim.at(cutAt, func() { cut.reachable = false })
	sim.at(returnedAt, func() { cut.reachable = true })
	sim.at(returnedAt+delay, func() { replace(sim, first) })
	for i := range clock.Millis(75) {
		sim.at(returnedAt+i*20, sim.checkDuplicateRuns)
	}
	sim.run(returnedAt + 3*clock.Second)
	return sim.faults
}
