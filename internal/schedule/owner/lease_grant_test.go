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
