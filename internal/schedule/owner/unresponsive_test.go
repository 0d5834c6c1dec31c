package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
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

// TestNoStartGrantsLeaseWhereHoldsMayNot tries to start a run in each state in which
// the next owner may count on an earlier end of the leases.
func TestNoStartGrantsLeaseWhereHoldsMayNot(t *testing.T) {
	states := map[leaseBlock]func(o *Owner, w *worker){
		leaseAllowed:        func(*Owner, *worker) {},
		clockUnknown:        func(_ *Owner, w *worker) { w.clockReadAt = 0 },
		holdsMissed:         func(_ *Owner, w *worker) { w.missedHolds = missedHoldsToUnresponsive },
		workerListed:        func(o *Owner, w *worker) { o.markUnresponsive(w) },
		delistingUnrecorded: func(o *Owner, w *worker) { w.namedInList = o.listsRecorded },
		renewWindowOver: func(o *Owner, _ *worker) {
			o.options.Times.RenewWindow = 1 // ms, which the append exceeds
		},
	}
	for want, enter := range states {
		t.Run(want.String(), func(t *testing.T) {
			b := newHarness(testEntry("w"))
			b.reportAndDeliver()
			b.owner.Submit(bestEffortSpec(1), func(Verdict) {})
			b.owner.Flush()
			enter(b.owner, b.owner.workers["w"])
			if got := b.owner.leaseBlock(b.owner.workers["w"]); got != want && want != renewWindowOver {
				t.Fatalf("the state blocks leases by %s", got)
			}
			b.now += 10
			b.owner.Appended(journal.Done)
			if started := len(b.runs["w"]) > 0; started != (want == leaseAllowed) {
				t.Errorf("start order sent: %t", started)
			}
		})
	}
}
