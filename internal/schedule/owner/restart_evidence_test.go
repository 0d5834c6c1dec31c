package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// A clock behind the last reading shows a new incarnation, which numbers its ends from 1.
func TestStartAnsweredByNextIncarnationAcknowledgesNoEnds(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	start := m.orderStart()
	other := fleet.End{Number: 40, Task: manualTask, Run: 9, Cause: fleet.EndDone}
	m.owner.Report("w", fleet.Report{ClockMS: int64(m.now), Incarnation: 1, Ended: []fleet.End{other}})
	m.now += m.owner.options.Times.Heartbeat
	m.owner.Flush()
	m.acknowledge()
	m.owner.Started(start, fleet.Answer{Outcome: fleet.Accepted, ClockMS: 100})
	m.advance(25)
	if diff := cmp.Diff(int64(0), m.holds[len(m.holds)-1].Acked); diff != "" {
		t.Errorf("ends acknowledged to the incarnation that runs the task (-want +got):\n%s", diff)
	}
}

// ackAfterStart reports an end of an incarnation whose clock has a reading, answers a
// start 500 ms after it was ordered, and returns what the next hold and the one after
// its report acknowledge.
func ackAfterStart(t *testing.T, reading int64, answer fleet.Answer) []int64 {
	t.Helper()
	m := newManualOwner(t, 1, clock.Hour)
	m.list(1, "w:1")
	m.advance(25)
	m.acknowledge()
	report := fleet.Report{ClockMS: reading, Incarnation: 1, Ended: []fleet.End{{Number: 40, Task: manualTask, Run: 9}}}
	m.owner.Report("w", report)
	m.submit()
	m.advance(25)
	m.acknowledge()
	m.now += 500
	m.owner.Started(m.starts[0], answer)
	var acked []int64
	for range 2 {
		m.owner.Report("w", report)
		m.advance(25)
		acked = append(acked, m.holds[len(m.holds)-1].Acked)
	}
	return acked
}

// A hold must not acknowledge the unread ends of an incarnation that may have executed a
// start since the last report. The clock of an incarnation that had just started is no
// proof, nor is a clock that does not continue the reported one, or a start without an
// answer. The next report is.
func TestHoldAfterStartThatNextIncarnationMayHaveAcknowledgesNoEnds(t *testing.T) {
	got := map[string][]int64{
		"same incarnation":      ackAfterStart(t, 3_600_000, fleet.Answer{Outcome: fleet.Accepted, ClockMS: 3_600_600}),
		"just started, unclear": ackAfterStart(t, 50, fleet.Answer{Outcome: fleet.Accepted, ClockMS: 490}),
		"clock far ahead":       ackAfterStart(t, 3_600_000, fleet.Answer{Outcome: fleet.Accepted, ClockMS: 9_000_000}),
		"clock far behind":      ackAfterStart(t, 3_600_000, fleet.Answer{Outcome: fleet.Accepted, ClockMS: 1_000_000}),
		"no answer":             ackAfterStart(t, 3_600_000, fleet.Answer{Outcome: fleet.Unanswered}),
	}
	want := map[string][]int64{
		"same incarnation": {40, 40}, "just started, unclear": {0, 40},
		"clock far ahead": {0, 40}, "clock far behind": {0, 40}, "no answer": {0, 40},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("acknowledged by the next hold and the one after a report (-want +got):\n%s", diff)
	}
}

// A start of the previous owner may reach the restarted worker after that owner has stopped.
func TestPreviousOwnerStoppedKeepsWaitForRestartedWorker(t *testing.T) {
	first := newManualOwner(t, 1, clock.Hour).successor(0)
	first.orderStart()
	next := first.successor(25)
	next.list(2, "w:1")
	next.owner.PreviousOwnerStopped(StopReleased)
	if took := next.timeToEnd(next.now); took < uncertainStartTTL {
		t.Errorf("run ended after %d ms, a start may be in transit for %d ms", took, uncertainStartTTL)
	}
}

// A hold for the old incarnation's clock grants the new one the longest lease there is.
func TestLeaseByHoldAcrossRestartIsCounted(t *testing.T) {
	const longestLease, newClock = 6000, 1000
	m := newManualOwner(t, 1, clock.Hour)
	m.report(1, m.startRun())
	m.missHold()
	m.advance(25)
	leaseEnd := m.now + clock.Millis(min(m.holds[len(m.holds)-1].UntilMS-newClock, longestLease))
	m.owner.Report("w", fleet.Report{ClockMS: newClock, Incarnation: 2})
	m.list(2, "w:1")
	m.now += refusedTaskBackoff
	m.owner.Tick()
	m.acknowledge()
	second := m.owner.currentRun(manualTask, 2)
	if second == nil || second.stage != stageOrdered {
		t.Fatal("no run on the new incarnation")
	}
	m.owner.Started(m.starts[len(m.starts)-1], fleet.Answer{Outcome: fleet.Accepted, ClockMS: newClock + 100})
	for m.missHold(); m.owner.currentRun(manualTask, 2) != nil; m.advance(25) {
	}
	if early := leaseEnd - m.now; early > 0 {
		t.Errorf("run ended %d ms before its lease", early)
	}
}

// A stop that an earlier incarnation confirmed keeps no late start from beginning in the next.
func TestStopConfirmedBeforeRestartIsRepeated(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.orderStart()
	for range maxStartsSent {
		m.owner.Started(m.starts[len(m.starts)-1], fleet.Answer{Outcome: fleet.Unanswered})
		m.advance(m.owner.options.Times.OrderRetry)
	}
	m.owner.Stopped(m.stops[0], fleet.Answer{Outcome: fleet.Accepted, ClockMS: int64(m.now)})
	m.missHold()
	m.advance(25)
	m.report(2)
	if !m.holdsRun() {
		t.Error("the run counts as ended by a stop that the present incarnation has not confirmed")
	}
}

// An order may be executed just before uncertainStartTTL is over, and grants a lease then.
func TestWaitForRestartedWorkerIncludesLease(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.orderStart()
	m.list(2, "w:1")
	if took, want := m.timeToEnd(m.now), uncertainStartTTL+m.owner.options.Times.Lease; took < want {
		t.Errorf("run ended after %d ms, want at least %d", took, want)
	}
}

// A worker's Unix clock may be set back before it starts again.
func TestWorkerWithUnixClockSetBackGetsRuns(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.contact(5)
	m.list(3, "w:1")
	for i := range 40 {
		m.advance(500)
		m.report(3)
		m.acknowledge()
		if i == 20 {
			m.submit()
		}
	}
	if len(m.starts) == 0 {
		t.Error("no start in 9 s, though the worker is listed and answers")
	}
}

// A run that the new incarnation reports belongs to it for the next owner, too.
func TestNextOwnerKeepsRunOfNextIncarnation(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	run := m.startRun()
	m.advance(100)
	m.report(2, run)
	for range 3 {
		m.advance(500)
		m.acknowledge()
	}
	next := m.successor(25)
	next.list(2, "w:1")
	if diff := cmp.Diff([]fleet.Stop(nil), next.stops); diff != "" {
		t.Errorf("stops of the run (-want +got):\n%s", diff)
	}
}

// The clock of a new incarnation can be ahead of the old one's last reading, if that had just started.
func TestRunAcceptedAfterTwoRestartsIsNotEnded(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.list(1, "w:1")
	m.advance(25)
	m.acknowledge()
	m.owner.Report("w", fleet.Report{ClockMS: 100, Incarnation: 1})
	m.now += clock.Second
	m.submit()
	m.advance(25)
	m.acknowledge()
	m.owner.Started(m.starts[0], fleet.Answer{Outcome: fleet.Accepted, ClockMS: 500})
	m.list(2, "w:1")
	if !m.holdsRun() {
		t.Error("the run counts as ended, but the incarnation that answered its start began after the last reading")
	}
}

// playRestarts plays restarts of workers that take up to some time, while tasks start there.
func playRestarts(t *testing.T, longest clock.Millis) {
	t.Helper()
	const restarts, period, seeds = 25, 500, 12
	for seed := range uint64(seeds) {
		restartOften := fault{begin: func(sim *simulation, _ *simOwner) {
			for i := range restarts {
				sim.at(clock.Millis(i*period+sim.rng.IntN(period)), func() {
					m := sim.workers[sim.workerIDs()[sim.rng.IntN(len(sim.workers))]]
					m.down = true
					sim.at(clock.Millis(1+sim.rng.IntN(int(longest))), func() { m.restart(sim.now) })
				})
			}
		}}
		simulateHostile(t, seed, restartOften).report(seed)
	}
}

// A start may be answered by a newer incarnation than its owner knows.
func TestRestartsWithinASecondRunNoTaskTwice(t *testing.T) { playRestarts(t, 800) }

// A hold may acknowledge the ends of an earlier incarnation to a newer one.
func TestRestartsAtOnceLoseNoEnds(t *testing.T) { playRestarts(t, 20) }

// The entry of an earlier incarnation says where that one was, not a later one.
func TestOtherWorkerAtEarlierIncarnationsAddressEndsNoRuns(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.list(2, "w:2")
	m.advance(25)
	m.acknowledge()
	m.report(2)
	m.submit()
	m.advance(25)
	m.acknowledge()
	next := m.successor(25)
	next.list(1, "w:1")
	next.advance(25)
	next.owner.Report("w", fleet.Report{Outcome: fleet.OtherIncarnation})
	if !next.holdsRun() {
		t.Error("the run counts as ended, though nothing asked the incarnation that has it")
	}
}

// A worker whose time of day was set back has an earlier start time after a restart. It
// numbers its ends from 1 and counts its clock anew all the same.
func TestWorkerWithEarlierStartTimeGetsNothingOfItsEarlierIncarnation(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.list(5, "w:1")
	m.advance(25)
	m.acknowledge()
	ends := []fleet.End{{Number: 40, Task: manualTask, Run: 9}}
	m.owner.Report("w", fleet.Report{ClockMS: int64(m.now), Incarnation: 5, Ended: ends})
	m.advance(25)
	m.owner.Report("w", fleet.Report{ClockMS: 1000, Incarnation: 3})
	m.list(3, "w:1")
	for range 2 {
		m.advance(25)
		m.acknowledge()
	}
	hold := m.holds[len(m.holds)-1]
	leaseOver := int64(1000+25) + int64(m.owner.options.Times.LongestLease)
	if hold.Acked != 0 || hold.UntilMS > leaseOver || m.owner.workers["w"].leaseUntilMS > leaseOver {
		t.Errorf("the hold acknowledges %d and grants a lease until %d, counted until %d; want 0 and at most %d",
			hold.Acked, hold.UntilMS, m.owner.workers["w"].leaseUntilMS, leaseOver)
	}
}

// An end of the earlier incarnation may be recorded after the next one has reported.
func TestEndRecordedAfterRestartIsNotAcknowledgedToNextIncarnation(t *testing.T) {
	for _, next := range []int64{3, 7} {
		m := newManualOwner(t, 1, clock.Hour)
		run := fleet.End{Number: 40, Task: manualTask, Run: 1, Cause: fleet.EndDone}
		m.list(5, "w:1")
		m.advance(25)
		m.acknowledge()
		m.owner.Report("w", fleet.Report{ClockMS: int64(m.now), Incarnation: 5})
		m.submit()
		m.advance(25)
		m.acknowledge()
		m.owner.Report("w", fleet.Report{ClockMS: int64(m.now), Incarnation: 5, Ended: []fleet.End{run}})
		m.advance(25)
		m.owner.Report("w", fleet.Report{ClockMS: 10, Incarnation: next})
		m.acknowledge()
		m.advance(25)
		if acked := m.holds[len(m.holds)-1].Acked; acked != 0 {
			t.Errorf("incarnation %d after 5: end %d acknowledged to it", next, acked)
		}
	}
}
