package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/traffic/balance"
	"github.com/oriolepier/oriolepier/internal/traffic/dispatch"
	"github.com/oriolepier/oriolepier/internal/traffic/limit"
	"github.com/oriolepier/oriolepier/internal/traffic/retry"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

func (sim *simulation) millis() clock.Millis { return clock.Hour + clock.Millis(sim.now) }

// entry serves one simulated entry's requests with package dispatch.
type entry struct {
	sim     *simulation
	pool    *dispatch.Pool
	retries *retry.Budget
	hedges  *retry.Budget
	waiting map[*dispatch.Ticket]*call
}

// snapshot returns the settings that package gateway would publish.
func (sim *simulation) snapshot(domain int, out map[string]bool) dispatch.Settings {
	budget := limit.NewBudget(0)
	entries := sim.setup.domains * sim.setup.entriesPerDomain
	config := view.Pool{Config: pool.Pool{Slots: sim.setup.slots, Connections: 64, WarmupMS: 5000}}
	for _, b := range sim.servers {
		config.Backends = append(config.Backends, view.Backend{
			Name: fmt.Sprint(b.id), FailureDomain: fmt.Sprint(b.domain),
		})
	}
	return dispatch.Settings{
		Pool: config, Domain: fmt.Sprint(domain), Entries: entries, DomainsOut: out,
		Budget: budget.Updated(sim.millis(), entries, entries),
	}
}

// dispatchPolicy runs package dispatch with a retry and a hedge budget per entry.
func dispatchPolicy(s setup, seed uint64) results {
	sim := newSimulation(s, seed)
	var entries []*entry
	for id := range s.domains * s.entriesPerDomain {
		e := &entry{
			sim: sim, pool: dispatch.New(rand.New(rand.NewPCG(seed, uint64(id)))), waiting: map[*dispatch.Ticket]*call{},
			retries: retry.NewBudget(s.retryPercent), hedges: retry.NewBudget(s.hedgePercent),
		}
		e.pool.Update(sim.millis(), sim.snapshot(id/s.entriesPerDomain, nil))
		entries = append(entries, e)
	}
	arrive := func(c *call) { entries[c.entry].arrive(c) }
	return sim.run(sim.calls(seed), arrive, func() {
		for id, e := range entries {
			e.applyMarks(id / s.entriesPerDomain)
			e.serve()
			e.probe()
		}
	})
}

// applyMarks applies the marks of the last failure domain, which package
// gateway would publish in snapshots.
func (e *entry) applyMarks(domain int) {
	if e.sim.setup.domainMarks == nil || int(e.sim.now)%500 != 0 {
		return
	}
	out, since := e.sim.setup.domainMarks(e.sim.now)
	last := fmt.Sprint(e.sim.setup.domains - 1)
	settings := e.sim.snapshot(domain, map[string]bool{last: out})
	for i := range settings.Pool.Backends {
		if row := &settings.Pool.Backends[i]; row.FailureDomain == last && e.sim.now >= since {
			row.InServiceSince = clock.Hour + clock.Millis(since)
		}
	}
	e.pool.Update(e.sim.millis(), settings)
}

func (e *entry) probe() {
	for _, server := range e.pool.Servers() {
		if server.Health.ProbeDue(e.sim.millis()) {
			server.Health = server.Health.Probed(e.sim.millis(), e.sim.simServer(server.Name).failureMode != "gone")
		}
	}
}

func (sim *simulation) simServer(name string) *simServer {
	id, _ := strconv.Atoi(name)
	return sim.servers[id]
}

func (e *entry) arrive(c *call) {
	e.retries.Deposit()
	e.hedges.Deposit()
	e.admit(c, &dispatch.Ticket{Deadline: clock.Hour + clock.Millis(c.deadline), Repeatable: e.sim.setup.repeatable})
}

func (e *entry) admit(c *call, ticket *dispatch.Ticket) {
	if e.pool.TryAcquire(e.sim.millis(), ticket) {
		e.startAttempt(c, ticket, true)
		return
	}
	if e.pool.Enqueue(e.sim.millis(), ticket).Verdict != dispatch.Waiting {
		e.sim.finish(c, &e.sim.results.refused)
		return
	}
	e.waiting[ticket] = c
}

func (e *entry) serve() {
	for _, ticket := range e.pool.ServeQueue(e.sim.millis()) {
		c := e.waiting[ticket]
		delete(e.waiting, ticket)
		if ticket.Server == nil {
			e.sim.finish(c, &e.sim.results.refused)
			continue
		}
		e.startAttempt(c, ticket, true)
	}
}

func (e *entry) startAttempt(c *call, ticket *dispatch.Ticket, first bool) {
	c.attempts++
	began, open, server := e.sim.now, true, ticket.Server
	end := func(result dispatch.Result) bool {
		if !open {
			return false
		}
		open = false
		e.pool.Release(e.sim.millis(), ticket, result, e.sim.now-began)
		return true
	}
	e.sim.after(c.deadline-e.sim.now, func() {
		if end(dispatch.TimedOut) {
			e.serve()
		}
	})
	if first && e.sim.setup.hedgePercent > 0 && e.sim.setup.repeatable {
		e.sim.after(e.pool.SmoothedLatency().HedgeDelay(), func() {
			second := &dispatch.Ticket{Deadline: ticket.Deadline, Repeatable: true, Exclude: append(ticket.Exclude, server)}
			if open && e.hedges.TryWithdraw() && e.pool.TryAcquire(e.sim.millis(), second) {
				e.sim.results.retries++
				e.startAttempt(c, second, false)
			}
		})
	}
	e.sim.send(c, e.sim.simServer(server.Name), func(result string) {
		if !end(map[string]dispatch.Result{"answered": dispatch.Answered, "refused": dispatch.Refused}[result]) {
			return
		}
		e.endAttempt(c, ticket, server, result, first)
		e.serve()
	})
}

func (e *entry) endAttempt(c *call, ticket *dispatch.Ticket, tried *balance.Server, result string, first bool) {
	if result == "answered" {
		e.sim.finish(c, &e.sim.results.answered)
	}
	if c.finished || !first {
		return
	}
	outcome := map[string]fault.Outcome{"refused": fault.NotRun, "not_sent": fault.NotSent, "failed": fault.Unknown}[result]
	if c.attempts < 8 && retry.Allowed(outcome, e.sim.setup.repeatable) && (retry.ExemptFromBudget(outcome) || e.retries.TryWithdraw()) {
		e.sim.results.retries++
		ticket.Exclude = append(ticket.Exclude, tried)
		e.admit(c, ticket)
		return
	}
	count := &e.sim.results.failed
	if outcome.DidNotRun() {
		count = &e.sim.results.refused
	}
	e.sim.finish(c, count)
}

// roundRobinPolicy sends to all servers round robin with fixed limits, and
// retries at the next server at once until the deadline.
func roundRobinPolicy(s setup, seed uint64) results {
	sim := newSimulation(s, seed)
	entries := s.domains * s.entriesPerDomain
	next := make([]int, entries)
	inFlight := map[[2]int]int{}
	var send func(c *call, tries int)
	send = func(c *call, tries int) {
		if c.finished {
			return
		}
		b := sim.servers[next[c.entry]%len(sim.servers)]
		next[c.entry]++
		key := [2]int{c.entry, b.id}
		if inFlight[key] >= s.slots && tries < len(sim.servers) {
			send(c, tries+1)
			return
		}
		inFlight[key]++
		sim.send(c, b, func(result string) {
			inFlight[key]--
			if result == "answered" {
				sim.finish(c, &sim.results.answered)
				return
			}
			if !c.finished {
				sim.results.retries++
			}
			send(c, 0)
		})
	}
	return sim.run(sim.calls(seed), func(c *call) { send(c, 0) }, func() {})
}

// oraclePolicy is one balancer for all entries that knows the actual state of
// every slot, slowdown and fault, with one first-in, first-out queue.
func oraclePolicy(s setup, seed uint64) results {
	sim := newSimulation(s, seed)
	var queue []*call
	var serve func()
	start := func(c *call) bool {
		var best *simServer
		var cost float64
		for _, b := range sim.servers {
			if b.failureMode != "" || b.assignedSlots >= s.slots {
				continue
			}
			price := 2*sim.net(c.entry, b) + c.demand*sim.slowdown(b)
			if best == nil || price < cost {
				best, cost = b, price
			}
		}
		if best == nil {
			return false
		}
		best.assignedSlots++
		sim.send(c, best, func(string) {
			best.assignedSlots--
			sim.finish(c, &sim.results.answered)
			serve()
		})
		return true
	}
	serve = func() {
		for len(queue) > 0 && (queue[0].finished || start(queue[0])) {
			queue = queue[1:]
		}
	}
	return sim.run(sim.calls(seed), func(c *call) {
		queue = append(queue, c)
		serve()
	}, serve)
}
