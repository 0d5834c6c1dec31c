package owner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	standin "github.com/oriolepier/oriolepier/internal/standin/worker"
)

// unlistedRestart restarts worker w, and the owner does not know it yet. Its clock begins
// at 0, and its tasks run for a minute.
func (m *manualOwner) unlistedRestart() *standin.Worker {
	w := standin.New(testEntry("w"), m.now)
	w.DrawWork = func(job.Task) standin.Work { return standin.Work{Length: clock.Minute} }
	return w
}

// restartedWorker restarts worker w and lists it again.
func (m *manualOwner) restartedWorker() *standin.Worker {
	w := m.unlistedRestart()
	m.owner.SetWorkers([]fleet.Entry{w.Entry})
	return w
}

// answerHold lets worker w answer the newest hold.
func (m *manualOwner) answerHold(w *standin.Worker) {
	m.owner.Report("w", w.Hold(m.holds[len(m.holds)-1], m.now))
}

// fence lets worker w answer holds until it executes no order to its earlier incarnation.
func (m *manualOwner) fence(w *standin.Worker) {
	m.t.Helper()
	for range 3 {
		m.answerHold(w)
		m.advance(m.owner.options.Times.ReportGap)
		m.acknowledge()
	}
	if !m.owner.workers["w"].earlierFenced {
		m.t.Fatal("orders to the earlier incarnation are not fenced")
	}
}

// Guards against work that waits for 22 s where its worker restarted while an order had no
// answer, and was lost some seconds later: the lease of that order ends on another clock.
func TestWorkerLostAfterRestartLapsesInTime(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.contact(1)
	m.advance(25)
	m.missHold()
	w := m.restartedWorker()
	m.advance(25)
	for range 3 {
		m.answerHold(w)
		m.advance(m.owner.options.Times.ReportGap)
	}
	m.submit()
	m.advance(25)
	m.acknowledge()
	m.owner.Started(m.starts[0], w.Start(m.starts[0], m.now))
	if took, longest := m.timeToEnd(m.now), m.owner.longestLeaseSpan()+clock.Second; took > longest {
		t.Errorf("run ended %d ms after its worker was lost, want at most %d", took, longest)
	}
}

// The record for the next owner must not hold more of a late order than the owner waits for.
func TestRecordedRestOfRestartedWorkerIsThatOfItsLeases(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.orderStart()
	m.owner.Started(m.starts[0], fleet.Answer{Outcome: fleet.Unanswered})
	w := m.restartedWorker()
	m.advance(25)
	m.fence(w)
	for range missedHoldsToUnresponsive {
		m.missHold()
	}
	list := m.owner.unresponsiveList()
	if longest := m.owner.longestLeaseSpan(); len(list.Workers) != 1 || list.Workers[0].Remaining > longest {
		t.Errorf("recorded %+v, want worker w with at most %d ms", list.Workers, longest)
	}
}

// Guards against leases that a late order extends after the first report of its worker's
// next incarnation: until a report answers a hold with the newest token, none is final.
func TestLateOrderBeforeTheFenceExtendsLease(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.contact(1)
	m.advance(25)
	late := m.holds[len(m.holds)-1]
	m.missHold()
	w := m.unlistedRestart()
	m.advance(25)
	m.answerHold(w)
	m.owner.SetWorkers([]fleet.Entry{w.Entry})
	m.submit()
	m.advance(25)
	m.acknowledge()
	m.now += 500
	w.Hold(late, m.now)
	m.owner.Started(m.starts[0], w.Start(m.starts[0], m.now))
	m.expectLapsed(w, 1)
}

// The same order, where the worker answers a hold with the newest token before it is lost.
func TestLateOrderBetweenFirstReportAndFenceExtendsLease(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.contact(1)
	m.advance(25)
	late := m.holds[len(m.holds)-1]
	m.missHold()
	w := m.unlistedRestart()
	m.advance(25)
	m.answerHold(w)
	m.advance(25)
	m.now += 500
	w.Hold(late, m.now)
	m.answerHold(w)
	m.owner.SetWorkers([]fleet.Entry{w.Entry})
	m.submit()
	m.advance(25)
	m.acknowledge()
	m.owner.Started(m.starts[0], w.Start(m.starts[0], m.now))
	m.expectLapsed(w, 1)
}

// An answered start to the earlier incarnation grants a lease, too, where it is executed
// after the first report and before the fence.
func TestAnsweredStartBeforeTheFenceExtendsLease(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	start := m.orderStart()
	m.advance(25)
	w := m.unlistedRestart()
	m.answerHold(w)
	m.advance(25)
	m.now += clock.Second
	m.owner.Started(start, w.Start(start, m.now))
	m.expectLapsed(w, 1)
}

// Guards against a new incarnation that stays open to late orders for the wait of a hold.
func TestFirstHoldWithRaisedTokenDoesNotWait(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.contact(1)
	m.advance(25)
	before := m.holds[len(m.holds)-1]
	m.report(2)
	m.advance(25)
	after := m.holds[len(m.holds)-1]
	if after.Token <= before.Token || after.WaitMS != 0 {
		t.Errorf("hold with token %d after %d, and a wait of %d ms", after.Token, before.Token, after.WaitMS)
	}
}

// startOnUnknownIncarnation leaves a start unanswered, and repeats it at the next
// incarnation of worker w, which the owner does not know. The first start is in transit.
func startOnUnknownIncarnation(t *testing.T) (m *manualOwner, w *standin.Worker, late fleet.Start) {
	t.Helper()
	m = newManualOwner(t, 1, clock.Hour).successor(0)
	late = m.orderStart()
	m.owner.Started(late, fleet.Answer{Outcome: fleet.Unanswered})
	w = m.unlistedRestart()
	m.advance(m.owner.options.Times.OrderRetry)
	m.owner.Started(m.starts[1], w.Start(m.starts[1], m.now))
	m.now += clock.Second
	return m, w, late
}

// A late order of the previous owner may extend the lease of an incarnation that neither
// owner has fenced, just before its first report to the next owner.
func TestFirstReportAssumesLateOrderToUnknownIncarnation(t *testing.T) {
	first, w, late := startOnUnknownIncarnation(t)
	next := first.successor(0)
	next.owner.SetWorkers([]fleet.Entry{w.Entry})
	w.Start(late, next.now)
	next.advance(1)
	next.answerHold(w)
	next.expectLapsed(w, 1)
}

// The same order, where the worker is cut off before it reports to the next owner.
func TestPreviousOwnerStoppedWaitsForLateOrderToUnknownIncarnation(t *testing.T) {
	first, w, late := startOnUnknownIncarnation(t)
	w.Start(late, first.now)
	next := first.successor(0)
	next.owner.SetWorkers([]fleet.Entry{w.Entry})
	next.owner.PreviousOwnerStopped(StopReleased)
	next.expectLapsed(w, 1)
}

// Guards against an owner that gives up the cell since its worker's next incarnation, which
// has seen a higher token of the same owner, refuses an order to the earlier one.
func TestFencedOrderToEarlierIncarnationIsNoNewerOwner(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	start := m.orderStart()
	stop := fleet.Stop{To: start.To, Task: start.Task, Run: start.Run, Token: start.Token}
	pace := fleet.Pace{To: start.To, Task: start.Task, Run: start.Run, Token: start.Token}
	m.advance(25)
	hold := m.holds[len(m.holds)-1]
	w := m.restartedWorker()
	w.Stop(m.stops[0], m.now)
	m.owner.Started(start, w.Start(start, m.now))
	m.owner.Stopped(stop, w.Stop(stop, m.now))
	m.owner.Paced(pace, w.Pace(pace, m.now))
	m.owner.Report("w", w.Hold(hold, m.now))
	m.advance(25)
	m.fence(w)
	if m.owner.resigned {
		t.Error("the owner has resigned")
	}
	newer := m.holds[len(m.holds)-1]
	newer.Token = fleet.NewToken(2, 0)
	w.Hold(newer, m.now)
	m.answerHold(w)
	if !m.owner.resigned {
		t.Error("the owner goes on, though the worker has seen the token of the next one")
	}
}

// Guards against an owner that gives up the cell since a worker that restarted, was gone
// from the list and is back has seen a higher token than its orders carry then.
func TestTokenOutlivesRemovalFromTheList(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	m.contact(1)
	w := m.restartedWorker()
	m.advance(25)
	m.fence(w)
	before := m.holds[len(m.holds)-1].Token
	m.answerHold(w)
	m.owner.SetWorkers(nil)
	if len(m.owner.workers) != 0 {
		t.Fatal("the worker is not removed")
	}
	m.owner.SetWorkers([]fleet.Entry{w.Entry})
	m.advance(25)
	if token := m.holds[len(m.holds)-1].Token; token < before {
		t.Errorf("token %d after %d", token, before)
	}
}

// Tokens rise with the epoch whatever the restarts of an earlier owner.
func TestTokensOfTheNextOwnerAreHigher(t *testing.T) {
	for _, epoch := range []int64{1, 7, 1 << 30} {
		last, first := fleet.NewToken(epoch, fleet.MaxRestarts), fleet.NewToken(epoch+1, 0)
		if last >= first {
			t.Errorf("token %d of epoch %d, %d of the next", last, epoch, first)
		}
		if diff := cmp.Diff(epoch, fleet.TokenEpoch(last)); diff != "" {
			t.Errorf("epoch (-want +got):\n%s", diff)
		}
	}
}

// Guards against a task that runs again after it was done: a start without an answer is
// executed late, by the next incarnation of its worker, and the stop that is to prevent it
// gets no answer either.
func TestLateStartOfDoneTaskBeginsInNoNextIncarnation(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	late := m.orderStart()
	m.owner.Started(late, fleet.Answer{Outcome: fleet.Unanswered})
	m.advance(m.owner.options.Times.OrderRetry)
	m.owner.Started(m.starts[1], fleet.Answer{Outcome: fleet.Accepted, ClockMS: int64(m.now)})
	done := fleet.End{Number: 1, Task: manualTask, Run: 1, Cause: fleet.EndDone}
	m.owner.Report("w", fleet.Report{ClockMS: int64(m.now), Incarnation: 1, Ended: []fleet.End{done}})
	m.advance(25)
	m.acknowledge()
	w := m.restartedWorker()
	for range 100 {
		m.advance(25)
		m.answerHold(w)
		for _, stop := range m.stops {
			m.owner.Stopped(stop, fleet.Answer{Outcome: fleet.Unanswered})
		}
		m.stops = nil
	}
	answer := w.Start(late, m.now)
	if run := w.Running(manualTask); run != 0 {
		t.Errorf("run %d begins (%s) after the task was done", run, answer.Outcome)
	}
}

// The same start in the next incarnation but one, and after the stop of a run that was
// abandoned instead of done.
func TestLateStartOfAbandonedRunBeginsInNoLaterIncarnation(t *testing.T) {
	m := newManualOwner(t, 1, clock.Hour)
	late := m.orderStart()
	for range maxStartsSent {
		m.owner.Started(m.starts[len(m.starts)-1], fleet.Answer{Outcome: fleet.Unanswered})
		m.advance(m.owner.options.Times.OrderRetry)
	}
	m.owner.Stopped(m.stops[0], fleet.Answer{Outcome: fleet.Accepted, ClockMS: int64(m.now)})
	m.now += clock.Second
	m.report(1)
	for range 2 {
		w := m.restartedWorker()
		m.stops = nil
		m.advance(25)
		m.fence(w)
		if answer := w.Start(late, m.now); answer.Outcome != fleet.Fenced {
			t.Errorf("the late start is answered %s", answer.Outcome)
		}
		m.now += clock.Second
	}
}
