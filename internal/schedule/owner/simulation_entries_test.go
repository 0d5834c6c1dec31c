package owner

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// Times of the calls between entries and workers in plays with entries.
const (
	entryCount                     = 5
	linksOfOwner                   = 3    // entries that carry an owner's orders
	maxHop            clock.Millis = 8    // of a message, unless it is slow
	maxSlowHop        clock.Millis = 400  // of one message in twenty, which others overtake
	maxLateOrder      clock.Millis = 12e3 // of an order that the network delivers late
	minLateOrder      clock.Millis = 2e3
	entryCallTimeout  clock.Millis = 400  // of a worker's answer
	linkAnswerTimeout clock.Millis = 600  // of a link's answer beside the time for which a worker waits
	maxOrderAge       clock.Millis = 1000 // of an order that a link accepts
	directOrderTime   clock.Millis = 1000 // for which an owner calls a worker whose link left an order unanswered
	directHoldTime    clock.Millis = 5000 // for which an owner calls a worker that only its link did not reach
	holdPollPeriod    clock.Millis = 50   // at which a waiting worker looks for an end
)

// simEntry is the process of an owner, and the link of another owner's orders.
type simEntry struct {
	unreachable  map[string]bool // workers that it does not reach, by id
	pausedUntil  clock.Millis    // it stands still
	delay        clock.Millis    // added to each message between it and an owner
	losesOrders  bool            // orders of owners do not arrive
	losesAnswers bool            // its answers do not reach owners
	served       int64           // highest epoch whose orders it has accepted
}

// addEntries makes the orders of owners travel through entries.
func (sim *simulation) addEntries() {
	for range entryCount {
		sim.entries = append(sim.entries, &simEntry{unreachable: map[string]bool{}})
	}
}

// entryOf returns the entry whose process is an owner, or nil in plays without
// entries.
func (sim *simulation) entryOf(s *simOwner) *simEntry {
	if len(sim.entries) == 0 {
		return nil
	}
	return sim.entries[int(s.epoch-1)%len(sim.entries)]
}

// linkOf returns the entry through which an owner's orders to a worker travel,
// which may be the owner's own.
func (sim *simulation) linkOf(s *simOwner, worker string) *simEntry {
	if sim.now < s.directUntil[worker] {
		return sim.entryOf(s)
	}
	number := slices.Index(sim.workerIDs(), worker)
	return sim.entries[(int(s.epoch)+number%linksOfOwner)%len(sim.entries)]
}

// callDirectly makes an owner call a worker without its link for a time.
func (sim *simulation) callDirectly(s *simOwner, worker string, length clock.Millis) {
	s.directUntil[worker] = max(s.directUntil[worker], sim.now+length)
}

// hop draws the time of a message.
func (sim *simulation) hop() clock.Millis {
	limit := maxHop
	if sim.rng.IntN(20) == 0 {
		limit = maxSlowHop
	}
	return 1 + clock.Millis(sim.rng.IntN(int(limit)))
}

// whenAwake carries out a step of an entry, after its pause if it stands still.
func (sim *simulation) whenAwake(entry *simEntry, step func()) {
	if sim.now < entry.pausedUntil {
		sim.at(entry.pausedUntil-sim.now, func() { sim.whenAwake(entry, step) })
		return
	}
	step()
}

// simCall is an order on its way from an owner to a worker. Its answer reaches the
// owner once.
type simCall struct {
	sim         *simulation
	owner       *simOwner
	to          fleet.Address
	execute     func(m *simWorker, answer func(func())) // carries the order out at the worker
	sentAt      clock.Millis
	incarnation int64 // incarnation of the worker that the order is for
	answered    bool
}

func (sim *simulation) newCall(s *simOwner, to fleet.Address, execute func(*simWorker, func(func()))) *simCall {
	call := &simCall{sim: sim, owner: s, to: to, execute: execute, sentAt: sim.now}
	if m := sim.workers[to.ID]; m != nil {
		call.incarnation = m.Entry.Incarnation
	}
	return call
}

// answer passes an answer to the owner, unless it has one.
func (c *simCall) answer(input func()) {
	if c.answered {
		return
	}
	c.answered = true
	c.sim.deliver(c.owner, input)
}

// viaLink sends the order to a link, which carries it out unless it is old or of an
// earlier owner than the link has seen.
func (c *simCall) viaLink(link *simEntry, notSent func()) {
	sim := c.sim
	if link.losesOrders {
		return
	}
	sim.at(link.delay+sim.hop(), func() {
		sim.whenAwake(link, func() {
			switch {
			case c.owner.epoch < link.served:
			case sim.now-c.sentAt > maxOrderAge:
				c.returnAnswer(link, notSent)
			default:
				link.served = c.owner.epoch
				c.callWorker(link, func(input func()) { c.returnAnswer(link, input) })
			}
		})
	})
}

// returnAnswer sends an answer from a link to the owner.
func (c *simCall) returnAnswer(link *simEntry, input func()) {
	if link.losesAnswers {
		return
	}
	c.sim.whenAwake(link, func() {
		c.sim.at(link.delay+c.sim.hop(), func() { c.answer(input) })
	})
}

// callWorker carries the order out at the worker if it can be reached from an entry.
// An entry may stand still just before.
func (c *simCall) callWorker(from *simEntry, answer func(func())) {
	sim := c.sim
	sim.at(clock.Millis(sim.rng.IntN(3)), func() {
		sim.whenAwake(from, func() {
			sim.at(sim.networkDelay(), func() {
				m := sim.workers[c.to.ID]
				if m == nil || m.Entry.Incarnation != c.incarnation || !sim.reaches(from, m) {
					return
				}
				m.Advance(sim.now)
				c.execute(m, func(input func()) {
					if sim.rng.Float64() >= sim.lostAnswers && !m.losesAnswers && sim.reaches(from, m) {
						sim.at(sim.hop(), func() { answer(input) })
					}
				})
				sim.checkDuplicateRuns()
			})
		})
	})
}

// networkDelay draws the time of an order between an entry and a worker.
func (sim *simulation) networkDelay() clock.Millis {
	if sim.rng.Float64() < sim.lateOrders {
		return minLateOrder + clock.Millis(sim.rng.IntN(int(maxLateOrder-minLateOrder)))
	}
	return sim.hop()
}

// reaches reports whether calls of an entry reach a worker.
func (sim *simulation) reaches(from *simEntry, m *simWorker) bool {
	return !m.down && m.reachable && !from.unreachable[m.Entry.ID]
}

// orderByEntries delivers a start or stop through the worker's link, or from the
// owner's entry.
func (sim *simulation) orderByEntries(s *simOwner, to fleet.Address, execute func(*simWorker) func(), unanswered, notSent func()) {
	call := sim.newCall(s, to, func(m *simWorker, answer func(func())) { answer(execute(m)) })
	link, own := sim.linkOf(s, to.ID), sim.entryOf(s)
	if link == own {
		sim.at(entryCallTimeout, func() { call.answer(unanswered) })
		call.callWorker(own, call.answer)
		return
	}
	sim.at(linkAnswerTimeout, func() {
		if !call.answered {
			sim.callDirectly(s, to.ID, directOrderTime)
		}
		call.answer(unanswered)
	})
	call.viaLink(link, notSent)
}

// holdByEntries delivers a hold through the worker's link. The owner's entry calls
// the worker before a hold counts as missed.
func (sim *simulation) holdByEntries(s *simOwner, order fleet.Hold) {
	link, own := sim.linkOf(s, order.To.ID), sim.entryOf(s)
	call := sim.newHoldCall(s, order)
	wait := clock.Millis(order.WaitMS)
	missed := func() { s.owner.Report(order.To.ID, fleet.Report{Outcome: fleet.Unanswered}) }
	if link == own {
		sim.at(wait+entryCallTimeout, func() { call.answer(missed) })
		call.callWorker(own, call.answer)
		return
	}
	call.viaLink(link, missed)
	sim.at(wait+linkAnswerTimeout, func() {
		sim.whenAwake(own, func() {
			if call.answered || s.down {
				return
			}
			call.answered = true
			recheck := order
			recheck.WaitMS, recheck.Acked = 0, 0
			direct := sim.newHoldCall(s, recheck)
			sim.at(entryCallTimeout, func() { direct.answer(missed) })
			direct.callWorker(own, func(input func()) {
				sim.callDirectly(s, order.To.ID, directHoldTime)
				direct.answer(input)
			})
		})
	})
}

func (sim *simulation) newHoldCall(s *simOwner, order fleet.Hold) *simCall {
	return sim.newCall(s, order.To, func(m *simWorker, answer func(func())) {
		first := sim.executeHold(m, order)
		sim.waitAndReport(s, m, order, first, sim.now+clock.Millis(order.WaitMS), answer)
	})
}

// waitAndReport answers a hold once a run has ended or the wait is over.
func (sim *simulation) waitAndReport(s *simOwner, m *simWorker, order fleet.Hold, report fleet.Report, until clock.Millis, answer func(func())) {
	if len(report.Ended) > 0 || report.Outcome != fleet.Accepted || sim.now >= until {
		answer(func() { s.owner.Report(order.To.ID, report) })
		return
	}
	incarnation := m.Entry.Incarnation
	sim.at(holdPollPeriod, func() {
		if m.down || m.Entry.Incarnation != incarnation {
			return
		}
		m.Advance(sim.now)
		sim.waitAndReport(s, m, order, sim.executeHold(m, order.WithoutAck()), until, answer)
	})
}

// linkFaults are the faults of entries.
var linkFaults = []fault{
	{name: "link_paused", description: "two entries stand still for 0.3 to 6 s, with orders that they have accepted", begin: func(sim *simulation, _ *simOwner) {
		for _, entry := range sim.randomEntries(2) {
			sim.pauseEntry(entry, clock.Millis(300+sim.rng.IntN(5700)))
		}
	}},
	{name: "link_slow", description: "messages between two entries and the owner take up to 0.9 s more each way", begin: func(sim *simulation, _ *simOwner) {
		for _, entry := range sim.randomEntries(2) {
			entry.delay = clock.Millis(sim.rng.IntN(900))
		}
	}, end: func(sim *simulation) { sim.forEntries(func(entry *simEntry) { entry.delay = 0 }) }},
	{name: "link_loses_orders", description: "orders do not reach two entries", begin: func(sim *simulation, _ *simOwner) {
		for _, entry := range sim.randomEntries(2) {
			entry.losesOrders = true
		}
	}, end: func(sim *simulation) { sim.forEntries(func(entry *simEntry) { entry.losesOrders = false }) }},
	{name: "link_loses_answers", description: "two entries carry orders out, and their answers do not reach the owner", begin: func(sim *simulation, _ *simOwner) {
		for _, entry := range sim.randomEntries(2) {
			entry.losesAnswers = true
		}
	}, end: func(sim *simulation) { sim.forEntries(func(entry *simEntry) { entry.losesAnswers = false }) }},
	{name: "entries_cut_from_workers", description: "each entry does not reach a third of the workers, drawn for each", begin: func(sim *simulation, _ *simOwner) {
		sim.forEntries(func(entry *simEntry) {
			for _, m := range sim.randomThird() {
				entry.unreachable[m.Entry.ID] = true
			}
		})
	}, end: func(sim *simulation) { sim.forEntries(func(entry *simEntry) { clear(entry.unreachable) }) }},
	{name: "next_owner_cut", description: "a third of the workers are reached by the owner and its links, and not by the next owner, which claims at once, and its own", begin: func(sim *simulation, s *simOwner) {
		cut := sim.randomThird()
		next := sim.simOwner()
		for _, entry := range sim.entries {
			for _, m := range cut {
				entry.unreachable[m.Entry.ID] = entry == sim.entryOf(next) || entry != sim.entryOf(s) && entry != sim.linkOf(s, m.Entry.ID)
			}
		}
	}, end: func(sim *simulation) { sim.forEntries(func(entry *simEntry) { clear(entry.unreachable) }) }},
}

func (sim *simulation) forEntries(change func(*simEntry)) {
	for _, entry := range sim.entries {
		change(entry)
	}
}

// randomEntries draws entries.
func (sim *simulation) randomEntries(count int) []*simEntry {
	var drawn []*simEntry
	for _, i := range sim.rng.Perm(len(sim.entries))[:count] {
		drawn = append(drawn, sim.entries[i])
	}
	return drawn
}

// pauseEntry lets an entry stand still, with the owner whose process it is.
func (sim *simulation) pauseEntry(entry *simEntry, length clock.Millis) {
	entry.pausedUntil = max(entry.pausedUntil, sim.now+length)
	for _, s := range sim.owners {
		if sim.entryOf(s) == entry && !s.down {
			sim.freezeUntilNoticed(s, length)
		}
	}
}
