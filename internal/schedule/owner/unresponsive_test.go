package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// TestTakeoverEndsUnreachableRunsBeforeLongestLease cuts off all workers but
// one and kills the owner 3 s later. The next owner cannot reach these workers,
// and must end their runs from the recorded list of unresponsive workers,
// without waiting for the longest lease that could have been granted.
func TestTakeoverEndsUnreachableRunsBeforeLongestLease(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	first := sim.simOwner()
	for i := range 6 {
		sim.submit(first, sim.randomJob(i+1))
	}
	sim.at(600, func() {
		for _, m := range sim.workers {
			m.reachable = m.Entry.ID == "w00-a"
		}
	})
	sim.at(3600, func() { first.down = true })
	var delay clock.Millis
	sim.at(4200, func() {
		next := sim.simOwner()
		claimed := sim.now
		var pollRuns func()
		pollRuns = func() {
			for _, worker := range next.owner.sortedWorkers {
				if worker.lastReportAt == 0 && len(worker.runs) > 0 {
					sim.at(50, pollRuns)
					return
				}
			}
			delay = sim.now - claimed
		}
		sim.at(50, pollRuns)
	})
	sim.run(30 * clock.Second)
	if diff := cmp.Diff([]string(nil), sim.faults); diff != "" {
		t.Errorf("invariants violated (-want +got):\n%s", diff)
	}
	const maxDelay = 4 * clock.Second // well below the 7 s for which a long-running task may be away
	if delay == 0 || delay > maxDelay {
		t.Errorf("runs of unreachable workers ended %d ms after the takeover (0: never), want at most %d", delay, maxDelay)
	}
}

// TestTakeoverAfterUnresponsiveWorkerWasUnlisted cuts a worker off until its
// entry and its leases have expired, then reconnects it and kills the owner.
// The next owner must not treat it as unresponsive any more; otherwise its runs
// would be ended while they execute, and start twice.
func TestTakeoverAfterUnresponsiveWorkerWasUnlisted(t *testing.T) {
	sim := newSimulation(t, 3, 3)
	first := sim.simOwner()
	for i := range 60 {
		sim.at(clock.Millis(i)*200, func() { sim.submit(sim.currentOwner(), sim.randomJob(i+1)) })
	}
	m := sim.workers["w01-b"]
	sim.at(1000, func() { m.reachable = false })
	sim.at(9000, func() { m.unlisted = true })
	sim.at(9500, func() { m.reachable = true })
	sim.at(10000, func() { m.unlisted = false })
	other := sim.workers["w02-c"] // makes the owner record its list once the leases have expired
	sim.at(7300, func() { other.reachable = false })
	sim.at(14000, func() { other.reachable = true })
	sim.at(11000, func() { first.down = true })
	sim.at(11500, func() { sim.simOwner() })
	for i := range 200 {
		sim.at(clock.Millis(i)*100, sim.checkDuplicateRuns)
	}
	sim.run(40 * clock.Second)
	sim.checkFinalStates(sim.currentOwner())
	if diff := cmp.Diff([]string(nil), sim.faults); diff != "" {
		t.Errorf("invariants violated (-want +got):\n%s", diff)
	}
}
