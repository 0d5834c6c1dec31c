package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	standin "github.com/oriolepier/oriolepier/internal/standin/worker"
)

// listed returns the ids in the acknowledged list of unresponsive workers.
func (m *manualOwner) listed() []string {
	m.t.Helper()
	var list unresponsiveList
	if err := codec.Unmarshal(m.recorded[keyUnresponsive].Value, &list); err != nil {
		m.t.Fatal(err)
	}
	var ids []string
	for _, w := range list.Workers {
		ids = append(ids, w.ID)
	}
	return ids
}

// An acknowledgement older than the renew window proves no ownership.
func TestLateAcknowledgementStartsNothing(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.placeRun(1)
	m.now += m.owner.options.Times.RenewWindow
	m.acknowledge()
	if len(m.starts) != 0 {
		t.Errorf("a start grants a lease until %d, %d ms after the append", m.starts[0].UntilMS, m.owner.options.Times.RenewWindow)
	}
}

// The next owner ends the runs of a listed worker by the recorded rest of its leases.
func TestStartGrantsNoLeaseToListedWorker(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.startRun()
	m.missHold()
	m.missHold()
	m.advance(25)
	m.acknowledge()
	m.owner.Submit(servingSpec(1), func(Verdict) {})
	m.advance(100)
	m.acknowledge()
	m.report(1, fleet.Run{Task: manualTask, Run: 1})
	m.now += m.owner.options.Times.AppendGap
	m.owner.Flush()
	m.acknowledge()
	if diff := cmp.Diff([]string(nil), m.listed()); diff != "" && len(m.starts) > 1 {
		t.Errorf("workers listed as unresponsive at a start there (-want +got):\n%s", diff)
	}
}

// The list holds the rest of the leases granted before it, so retries must not grant more.
func TestRetriedStartGrantsNoLeaseToListedWorker(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	start := m.orderStart()
	m.missHold()
	m.missHold()
	m.advance(300)
	m.acknowledge()
	if diff := cmp.Diff([]string{"w"}, m.listed()); diff != "" {
		t.Fatalf("unresponsive workers (-want +got):\n%s", diff)
	}
	m.owner.Started(start, fleet.Answer{Outcome: fleet.Unanswered})
	m.advance(100)
	for _, retried := range m.starts[1:] {
		if retried.UntilMS > start.UntilMS {
			t.Errorf("a retry extends leases by %d ms beyond the recorded rest", retried.UntilMS-start.UntilMS)
		}
	}
}

// The previous owner may have granted a lease just before the first report.
func TestFirstReportAssumesAFullLease(t *testing.T) {
	first := newManualOwner(t, 1, clock.Hour)
	run := first.startRun()
	next := first.successor(0)
	next.list(1, "w:1")
	next.advance(25)
	next.report(1, run)
	reported := next.now
	if took := next.timeToEnd(reported); took < next.owner.options.Times.Lease {
		t.Errorf("run ended %d ms after the first report, want at least %d", took, next.owner.options.Times.Lease)
	}
}

// An order for an earlier incarnation extends the leases of the present one to the longest.
func TestLapseWaitsForLateOrderOfEarlierIncarnation(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	late := m.orderStart()
	m.owner.Started(late, fleet.Answer{Outcome: fleet.Unanswered})
	w := standin.New(testEntry("w"), m.now)
	w.DrawWork = func(job.Task) standin.Work { return standin.Work{Length: clock.Minute} }
	m.owner.SetWorkers([]fleet.Entry{w.Entry})
	m.owner.Stopped(m.stops[0], w.Stop(m.stops[0], m.now))
	for range 40 {
		m.advance(25)
		m.owner.Report("w", w.Hold(m.holds[len(m.holds)-1], m.now))
		m.acknowledge()
	}
	second := m.starts[len(m.starts)-1]
	m.owner.Started(second, w.Start(second, m.now))
	w.Start(late, m.now)
	for m.owner.currentRun(manualTask, second.Run) != nil {
		m.advance(25)
	}
	ended := m.now
	for w.Advance(m.now); w.Running(manualTask) != 0; w.Advance(m.now) {
		m.now += 25
	}
	if overlap := m.now - ended; second.Run != 2 || overlap > 0 {
		t.Errorf("run %d went on for %d ms after it had ended for the owner", second.Run, overlap)
	}
}

// runAfterRestart leaves a hold for incarnation 1 unanswered, starts run 2 on
// incarnation 2, and cuts that off. It returns when the hold timed out.
func runAfterRestart(m *manualOwner) (missed clock.Millis) {
	const newClock = 1000
	m.report(1, m.startRun())
	m.advance(25)
	m.missHold()
	missed = m.now
	m.advance(25)
	m.owner.Report("w", fleet.Report{ClockMS: newClock, Incarnation: 2})
	m.list(2, "w:1")
	m.now += refusedTaskBackoff
	m.owner.Tick()
	m.acknowledge()
	m.owner.Started(m.starts[len(m.starts)-1], fleet.Answer{Outcome: fleet.Accepted, ClockMS: newClock + 100})
	for range missedHoldsToUnresponsive {
		m.missHold()
	}
	return missed
}

// A hold for an earlier incarnation may be executed by the present one seconds later,
// and extends its leases to the longest. The next owner must wait for that as well.
func TestLapseWaitsForLateHoldOfEarlierIncarnation(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	latestEnd := runAfterRestart(m) + uncertainStartTTL + m.owner.options.Times.LongestLease
	for range 2 {
		m.advance(25)
		m.acknowledge()
	}
	for _, o := range []*manualOwner{m, m.successor(0)} {
		for o.missHold(); o.owner.currentRun(manualTask, 2) != nil; o.advance(25) {
		}
		if early := latestEnd - o.now; early > 0 {
			t.Errorf("owner %d ended the run %d ms before the last lease that the hold may grant", o.owner.options.Epoch, early)
		}
	}
}

// An unanswered order to the present incarnation must not delay the lapse of its leases,
// after which its tasks start elsewhere.
func TestLapseWaitsForNoOrderOfPresentIncarnation(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.owner.Started(m.orderStart(), fleet.Answer{Outcome: fleet.Unanswered})
	m.report(1, fleet.Run{Task: manualTask, Run: 1})
	m.advance(25)
	if took, longest := m.timeToEnd(m.now), m.owner.slowClockSpan(m.owner.options.Times.Lease)+clock.Second; took > longest {
		t.Errorf("run ended after %d ms, want at most %d", took, longest)
	}
}

// restartWithLateStart restarts worker w with a start for its earlier incarnation in
// transit, and starts run 2 of manualTask on its present one, as an owner whose
// predecessor's list is recorded. A second later, it returns the owner, the worker and
// both starts.
func restartWithLateStart(t *testing.T) (m *manualOwner, w *standin.Worker, late, second fleet.Start) {
	t.Helper()
	m = newManualOwner(t, 1, clock.Hour).successor(0)
	late = m.orderStart()
	w = standin.New(testEntry("w"), m.now)
	w.DrawWork = func(job.Task) standin.Work { return standin.Work{Length: clock.Minute} }
	m.owner.SetWorkers([]fleet.Entry{w.Entry})
	m.owner.Stopped(m.stops[0], w.Stop(m.stops[0], m.now))
	for range 40 {
		m.advance(25)
		m.owner.Report("w", w.Hold(m.holds[len(m.holds)-1], m.now))
		m.acknowledge()
	}
	second = m.starts[len(m.starts)-1]
	if second.Run != 2 {
		t.Fatalf("run %d on the present incarnation, want 2", second.Run)
	}
	m.owner.Started(second, w.Start(second, m.now))
	return m, w, late, second
}

// expectLapsed ticks until the owner holds a run on worker w for over, and fails the
// test if the worker still executes it.
func (m *manualOwner) expectLapsed(w *standin.Worker, run int) {
	m.t.Helper()
	const limit = 30 * clock.Second
	m.missHold()
	for begun := m.now; m.owner.currentRun(manualTask, run) != nil; m.advance(25) {
		if m.now-begun > limit {
			m.t.Fatalf("the run has not ended after %d ms", limit)
		}
	}
	if w.Advance(m.now); w.Running(manualTask) != 0 {
		m.t.Errorf("run %d goes on after it has ended for its owner", run)
	}
}

// A late order of the previous owner may have extended the leases of a restarted worker
// to the longest just before it first reports to the next owner.
func TestFirstReportAssumesLateOrderOfEarlierIncarnation(t *testing.T) {
	first, w, late, second := restartWithLateStart(t)
	next := first.successor(0)
	next.owner.SetWorkers([]fleet.Entry{w.Entry})
	w.Start(late, next.now)
	next.advance(1)
	next.owner.Report("w", w.Hold(next.holds[len(next.holds)-1], next.now))
	next.expectLapsed(w, second.Run)
}

// The same order, where the worker is cut off before it reports to the next owner.
func TestPreviousOwnerStoppedWaitsForLateOrderOfEarlierIncarnation(t *testing.T) {
	first, w, late, second := restartWithLateStart(t)
	w.Start(late, first.now)
	next := first.successor(0)
	next.owner.SetWorkers([]fleet.Entry{w.Entry})
	next.owner.PreviousOwnerStopped(StopReleased)
	next.expectLapsed(w, second.Run)
}

// An answered start for an earlier incarnation may have reached the present one after its
// first report.
func TestAnsweredOrderOfEarlierIncarnationExtendsLease(t *testing.T) {
	m, w, late, second := restartWithLateStart(t)
	m.owner.Started(late, w.Start(late, m.now))
	m.expectLapsed(w, second.Run)
}

// Where leases may be longer than the renew window and an ordinary lease, the wait for a
// previous owner that is not known to have stopped covers them.
func TestRenewWindowCoversLongestLease(t *testing.T) {
	const longestLease = 20 * clock.Second
	first := newManualOwner(t, 1, clock.Hour)
	first.startRun()
	next := newManualOwner(t, 2, first.now)
	next.owner.options.Times = DefaultTimes(longestLease, clock.Minute)
	next.load(first)
	if took := next.timeToEnd(first.now); took < longestLease {
		t.Errorf("run ended %d ms after the fence, a lease lasts up to %d", took, longestLease)
	}
}
