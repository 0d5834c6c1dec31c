package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// order delivers an order to a worker, subject to the injected faults. execute
// carries the order out and returns a function that delivers its answer.
func (sim *simulation) order(s *simOwner, to fleet.Address, execute func(*simWorker) func(), unanswered, notSent func()) {
	if len(sim.entries) > 0 {
		sim.orderByEntries(s, to, execute, unanswered, notSent)
		return
	}
	m := sim.workers[to.ID]
	if m == nil || m.down || !m.reachable {
		sim.at(400, func() { sim.deliver(s, unanswered) })
		return
	}
	incarnation := m.Entry.Incarnation
	if sim.rng.Float64() < sim.lateOrders {
		sim.at(400, func() { sim.deliver(s, unanswered) })
		sim.at(2000+clock.Millis(sim.rng.IntN(10000)), func() {
			// A late order for an earlier incarnation is delivered only once the owner
			// has had time to reach the present one and stop the run there: if it were
			// delivered sooner, nothing could keep the run from beginning, which is a
			// known gap (see FAULTS.md).
			lateOrderStopped := m.reachable && sim.now-m.startedAt > 3*clock.Second
			if !m.down && (m.Entry.Incarnation == incarnation || lateOrderStopped) {
				m.Advance(sim.now)
				execute(m)
				sim.checkDuplicateRuns()
			}
		})
		return
	}
	sim.at(sim.orderLatency, func() {
		if m.down || !m.reachable || m.Entry.Incarnation != incarnation {
			sim.at(395, func() { sim.deliver(s, unanswered) })
			return
		}
		m.Advance(sim.now)
		reply := execute(m)
		sim.checkDuplicateRuns()
		if sim.rng.Float64() < sim.lostAnswers {
			sim.at(395, func() { sim.deliver(s, unanswered) })
			return
		}
		sim.at(sim.orderLatency, func() { sim.deliver(s, reply) })
	})
}

// deliverStart delivers a start order to a worker.
func (sim *simulation) deliverStart(s *simOwner, order fleet.Start) {
	failed := func(outcome fleet.Outcome) func() {
		return func() { s.owner.Started(order, fleet.Answer{Outcome: outcome}) }
	}
	execute := func(m *simWorker) func() { return sim.executeStart(s, m, order) }
	sim.order(s, order.To, execute, failed(fleet.Unanswered), failed(fleet.NotSent))
}

// deliverStop delivers a stop order to a worker.
func (sim *simulation) deliverStop(s *simOwner, order fleet.Stop) {
	failed := func(outcome fleet.Outcome) func() {
		return func() { s.owner.Stopped(order, fleet.Answer{Outcome: outcome}) }
	}
	execute := func(m *simWorker) func() {
		answer := m.Stop(order, sim.now)
		m.tokenSeen = max(m.tokenSeen, order.Token)
		return func() { s.owner.Stopped(order, answer) }
	}
	sim.order(s, order.To, execute, failed(fleet.Unanswered), failed(fleet.NotSent))
}

// executeStart executes a start order and checks the invariants for the new
// run.
func (sim *simulation) executeStart(s *simOwner, m *simWorker, order fleet.Start) func() {
	before := m.Running(order.Task)
	answer := m.Start(order, sim.now)
	m.tokenSeen = max(m.tokenSeen, order.Token)
	if answer.Outcome != fleet.Fenced && answer.Outcome != fleet.LeaseExpired {
		m.extendLease(sim.now, order.UntilMS)
	}
	if number := m.Running(order.Task); number != 0 && number != before {
		sim.checkStart(m, order)
		sim.checkBeginsInTime(m, order)
	}
	return func() { s.owner.Started(order, answer) }
}

// executeHold executes a hold.
func (sim *simulation) executeHold(m *simWorker, order fleet.Hold) fleet.Report {
	report := m.Hold(order, sim.now)
	m.tokenSeen = max(m.tokenSeen, order.Token)
	if report.Outcome == fleet.Accepted && order.UntilMS > 0 {
		m.extendLease(sim.now, order.UntilMS)
	}
	return report
}

// deliverHold delivers a hold to a worker, which reports after its wait.
func (sim *simulation) deliverHold(s *simOwner, order fleet.Hold) {
	if len(sim.entries) > 0 {
		sim.holdByEntries(s, order)
		return
	}
	m := sim.workers[order.To.ID]
	noAnswer := func() { s.owner.Report(order.To.ID, fleet.Report{Outcome: fleet.Unanswered}) }
	if m == nil || m.down || !m.reachable {
		sim.at(clock.Millis(order.WaitMS)+400, func() { sim.deliver(s, noAnswer) })
		return
	}
	if m.Entry.ID != order.To.ID {
		sim.at(5, func() {
			sim.deliver(s, func() { s.owner.Report(order.To.ID, fleet.Report{Outcome: fleet.OtherIncarnation}) })
		})
		return
	}
	sim.at(sim.orderLatency, func() {
		if m.down || !m.reachable {
			sim.at(clock.Millis(order.WaitMS)+400, func() { sim.deliver(s, noAnswer) })
			return
		}
		m.Advance(sim.now)
		first := sim.executeHold(m, order)
		wait := min(clock.Millis(order.WaitMS), 100)
		if len(first.Ended) > 0 || first.Outcome != fleet.Accepted {
			wait = 0
		}
		sim.at(wait, func() {
			m.Advance(sim.now)
			report := sim.executeHold(m, order.WithoutAck())
			sim.at(sim.orderLatency, func() {
				if !m.reachable {
					noAnswer := noAnswer
					sim.at(400, func() { sim.deliver(s, noAnswer) })
					return
				}
				sim.deliver(s, func() { s.owner.Report(order.To.ID, report) })
			})
		})
	})
}
