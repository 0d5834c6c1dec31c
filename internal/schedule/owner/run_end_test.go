package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// The owner before a previous owner that has stopped may still renew leases.
func TestPreviousOwnerStoppedKeepsWaitForEarlierOwner(t *testing.T) {
	first := newManualOwner(t, 1, clock.Hour)
	first.startRun()
	second := first.successor(0)
	claimed := second.now
	second.advance(25)
	second.acknowledge()
	third := second.successor(1200)
	third.owner.PreviousOwnerStopped(StopReleased)
	if took := third.timeToEnd(claimed); took < third.owner.previousOwnerLeaseSpan() {
		t.Errorf("run ended %d ms after the second claim, want at least %d", took, third.owner.previousOwnerLeaseSpan())
	}
}

// Between a claim and its fence the previous owner goes on granting leases.
func TestRecordedRestCountsFromLoad(t *testing.T) {
	first := newManualOwner(t, 1, clock.Hour)
	first.startRun()
	next := newManualOwner(t, 2, first.now)
	for range 5 {
		first.advance(500)
		first.report(1, fleet.Run{Task: manualTask, Run: 1})
	}
	for range missedHoldsToUnresponsive {
		first.advance(25)
		first.missHold()
	}
	first.advance(25)
	first.acknowledge() // of the heartbeat
	first.advance(25)
	first.acknowledge() // of the list
	next.now = first.now
	next.load(first)
	if early := -next.timeToEnd(first.leaseEnd()); early > 0 {
		t.Errorf("run ended %d ms before its lease", early)
	}
}

// The renew window of the previous owner begins at the next owner's fence.
func TestRenewWindowCountsFromLoad(t *testing.T) {
	first := newManualOwner(t, 1, clock.Hour)
	first.startRun()
	next := newManualOwner(t, 2, first.now)
	next.now += 3000
	loaded := next.now
	next.load(first)
	if took := next.timeToEnd(loaded); took < next.owner.previousOwnerLeaseSpan() {
		t.Errorf("run ended %d ms after the records were read, want at least %d", took, next.owner.previousOwnerLeaseSpan())
	}
}

// A worker's clock may lose 2 %, so that its leases last longer.
func TestLapseWaitsForSlowClock(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	run := m.startRun()
	m.report(1, run)
	m.advance(100)
	const lastClock = 3_600_000
	m.owner.Report("w", fleet.Report{ClockMS: lastClock, Incarnation: 1, Running: []fleet.Run{run}})
	reported := m.now
	m.advance(100)
	left := clock.Millis(m.owner.workers["w"].leaseUntilMS - lastClock)
	if took := m.timeToEnd(reported); took < left*100/(100-driftPercent) {
		t.Errorf("run ended %d ms after the report, want at least %d", took, left*100/(100-driftPercent))
	}
}

// A start that was under way when its worker restarted runs in the new incarnation.
func TestRunAcceptedByNextIncarnationIsNotEnded(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	run := m.startRun()
	m.advance(100)
	m.report(2, run)
	if !m.holdsRun() {
		t.Error("the run counts as ended, but the new incarnation reports it as running")
	}
}

// A start without an answer may still arrive when the list shows a restart.
func TestStartUnderwayAtRestartIsStoppedFirst(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.orderStart()
	m.list(2, "w:1")
	if !m.holdsRun() {
		t.Errorf("the run counts as ended after %d stops, and its start is under way", len(m.stops))
	}
}

// A report that an earlier incarnation sent says nothing of the present one.
func TestLateReportOfEarlierIncarnation(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.orderStart()
	m.list(2, "w:1")
	m.owner.Report("w", fleet.Report{
		ClockMS: int64(m.now), Incarnation: 1, Ended: []fleet.End{{Number: 40, Task: manualTask, Run: 1, Cause: fleet.EndDone}},
	})
	m.now += m.owner.options.Times.AppendGap
	m.owner.Flush()
	m.acknowledge()
	m.advance(25)
	got := m.holds[len(m.holds)-1]
	if diff := cmp.Diff([]int64{0, 0}, []int64{got.UntilMS, got.Acked}); diff != "" {
		t.Errorf("lease and acknowledged end of the next hold (-want +got):\n%s", diff)
	}
}

// Another worker at the address of a stale entry says nothing of the newer incarnation.
func TestOtherWorkerAtStaleAddressEndsNoRuns(t *testing.T) {
	first := newManualOwner(t, 1, clock.Hour)
	first.startRun()
	next := first.successor(0)
	next.list(0, "stale:1")
	next.advance(25)
	next.list(1, "w:1")
	next.owner.Report("w", fleet.Report{Outcome: fleet.OtherIncarnation})
	if diff := cmp.Diff("stale:1", next.holds[0].To.Host); diff != "" || !next.holdsRun() {
		t.Errorf("the run ended by the answer of another worker at %s", next.holds[0].To.Host)
	}
}

// Another worker at the address of a stale entry cannot confirm a stop.
func TestStopAnsweredByOtherWorkerEndsNoRun(t *testing.T) {
	first := newManualOwner(t, 1, clock.Hour)
	first.startRun()
	next := first.successor(0)
	next.list(0, "stale:1")
	next.advance(25)
	next.acknowledge()
	next.owner.Cancel(JobRef{ID: bestEffortJob}, func(Verdict) {})
	next.advance(25)
	next.acknowledge()
	if len(next.stops) != 1 {
		t.Fatalf("%d stops ordered, want one", len(next.stops))
	}
	next.list(1, "w:1")
	next.owner.Stopped(next.stops[0], fleet.Answer{Outcome: fleet.OtherIncarnation})
	if !next.holdsRun() {
		t.Errorf("the run ended by the answer of another worker at %s", next.stops[0].To.Host)
	}
}

// A list that the directly preceding owner did not write says nothing of that owner.
func TestPreviousOwnerStoppedNeedsItsList(t *testing.T) {
	first := newManualOwner(t, 1, clock.Hour)
	first.startRun()
	second := first.successor(0)
	third := second.successor(100)
	third.owner.PreviousOwnerStopped(StopReleased)
	if took := third.timeToEnd(third.owner.claimedAt); took < third.owner.previousOwnerLeaseSpan() {
		t.Errorf("run ended %d ms after the claim, want at least %d", took, third.owner.previousOwnerLeaseSpan())
	}
}

// A report to a hold that was sent before the stop was confirmed may be older than the stop.
func TestStoppedRunMissingFromOlderReport(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	run := m.startRun()
	m.report(1, run)
	m.advance(100)
	m.owner.Cancel(JobRef{ID: bestEffortJob}, func(Verdict) {})
	m.advance(25)
	m.acknowledge()
	if len(m.stops) != 1 {
		t.Fatalf("%d stops ordered, want one", len(m.stops))
	}
	m.owner.Stopped(m.stops[0], fleet.Answer{Outcome: fleet.Accepted})
	m.report(1)
	before := m.holdsRun()
	m.advance(100)
	m.report(1)
	if diff := cmp.Diff([]bool{true, false}, []bool{before, m.holdsRun()}); diff != "" {
		t.Errorf("run held after the older and after the newer report (-want +got):\n%s", diff)
	}
}

// startsAfterRecord returns how many starts are ordered if something happens while
// the record of a run is under way.
func startsAfterRecord(t *testing.T, meanwhile func(m *manualOwner)) int {
	t.Helper()
	m := newManualOwner(t, 1, clock.Hour)
	m.placeRun(1)
	meanwhile(m)
	m.acknowledge()
	return len(m.starts)
}

// A run that ends while its record is under way is never ordered to start.
func TestRunThatEndsWhileItIsRecordedIsNotOrdered(t *testing.T) {
	got := []int{
		startsAfterRecord(t, func(*manualOwner) {}),
		startsAfterRecord(t, func(m *manualOwner) { m.owner.SetDomainsOut(map[string]bool{"d": true}) }),
		startsAfterRecord(t, func(m *manualOwner) { m.list(2, "w:1") }),
		startsAfterRecord(t, func(m *manualOwner) { m.owner.stopJob(m.owner.jobs[bestEffortJob], "test") }),
	}
	if diff := cmp.Diff([]int{1, 0, 0, 0}, got); diff != "" {
		t.Errorf("starts: undisturbed, domain out, worker restarted, job stopped (-want +got):\n%s", diff)
	}
}

// endAfterStarts answers the starts of a run in turn and reports whether the run
// ended without a stop.
func endAfterStarts(t *testing.T, outcomes ...fleet.Outcome) bool {
	t.Helper()
	m := newManualOwner(t, 1, clock.Hour)
	m.orderStart()
	for i, outcome := range outcomes {
		m.owner.Started(m.starts[i], fleet.Answer{Outcome: outcome})
		m.now += m.owner.options.Times.OrderRetry
		m.owner.timers.runDue(m.now)
	}
	return !m.holdsRun() && len(m.stops) == 0
}

// A run is abandoned without a stop only if no start of it may have been executed.
func TestAbandonedStartIsStoppedIfItMayArrive(t *testing.T) {
	got := map[string]bool{
		"never sent":              endAfterStarts(t, fleet.NotSent, fleet.NotSent, fleet.NotSent),
		"late each time":          endAfterStarts(t, fleet.LeaseExpired, fleet.LeaseExpired, fleet.LeaseExpired),
		"no room":                 endAfterStarts(t, fleet.NoRoom),
		"unhealthy":               endAfterStarts(t, fleet.Unhealthy),
		"malformed":               endAfterStarts(t, fleet.Malformed),
		"other worker":            endAfterStarts(t, fleet.OtherIncarnation),
		"unanswered, no room":     endAfterStarts(t, fleet.Unanswered, fleet.NoRoom),
		"unanswered, never sent":  endAfterStarts(t, fleet.Unanswered, fleet.NotSent, fleet.NotSent),
		"unanswered, other":       endAfterStarts(t, fleet.Unanswered, fleet.OtherIncarnation),
		"not sent, then executed": endAfterStarts(t, fleet.NotSent, fleet.RunSuperseded),
	}
	want := map[string]bool{
		"never sent": true, "late each time": true, "no room": true, "unhealthy": true, "malformed": true, "other worker": true,
		"unanswered, no room": false, "unanswered, never sent": false, "unanswered, other": false, "not sent, then executed": false,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("ended without a stop (-want +got):\n%s", diff)
	}
}

// An entry of another writer names no worker, whatever start time it has.
func TestEntryOfUnknownServiceEndsNoRuns(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.startRun()
	foreign := testEntry("w")
	foreign.Incarnation, foreign.Service, foreign.Address = 9, "unnamed", "foreign:1"
	m.owner.SetWorkers([]fleet.Entry{foreign})
	m.advance(25)
	m.missHold()
	m.advance(25)
	if diff := cmp.Diff("w:1", m.holds[len(m.holds)-1].To.Host); diff != "" || !m.holdsRun() {
		t.Errorf("run held: %v; address of the next hold (-want +got):\n%s", m.holdsRun(), diff)
	}
}

// A worker whose time of day went back has an earlier start time in its new incarnation.
func TestWorkerWithEarlierStartTimeIsHeard(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.placeRun(9)
	m.acknowledge()
	m.owner.Started(m.starts[0], fleet.Answer{Outcome: fleet.Accepted})
	m.list(5, "w:1")
	for range 2 { // the first answers a hold that is older than the run
		m.advance(100)
		m.report(5)
	}
	if len(m.stops) != 1 {
		t.Fatalf("%d stops of the run that the worker has lost, want one", len(m.stops))
	}
	m.owner.Stopped(m.stops[0], fleet.Answer{Outcome: fleet.Accepted})
	m.advance(100)
	m.report(5)
	if m.holdsRun() {
		t.Error("the run still counts as executing")
	}
}
