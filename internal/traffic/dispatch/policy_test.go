package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/traffic/choice"
	"github.com/oriolepier/oriolepier/internal/traffic/dispatch"
	"github.com/oriolepier/oriolepier/internal/traffic/limit"
	"github.com/oriolepier/oriolepier/internal/traffic/retry"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

func (w *world) millis() clock.Millis { return clock.Hour + clock.Millis(w.now) }

// entry is the code under test behind one entry's requests.
type entry struct {
	w       *world
	pool    *dispatch.Pool
	retries *retry.Budget
	hedges  *retry.Budget
	waiting map[*dispatch.Ticket]*call
}

// snapshot is what the control side would publish.
func (w *world) snapshot(domain int, out map[string]bool) dispatch.Setting {
	budget := limit.NewBudget(0)
	entries := w.setup.domains * w.setup.entriesPerDomain
	row := view.Pool{Config: pool.Pool{Slots: w.setup.slots, Connections: 64, WarmupMS: 5000}}
	for _, b := range w.workers {
		row.Backends = append(row.Backends, view.Backend{
			Name: fmt.Sprint(b.id), FailureDomain: fmt.Sprint(b.domain),
		})
	}
	return dispatch.Setting{
		Pool: row, Domain: fmt.Sprint(domain), Entries: entries, DomainsOut: out,
		Budget: budget.With(w.millis(), entries, entries),
	}
}

// ours runs package dispatch with a retry and a hedge budget per entry.
func ours(s setup, seed uint64) tally {
	w := newWorld(s, seed)
	var entries []*entry
	for id := range s.domains * s.entriesPerDomain {
		e := &entry{
			w: w, pool: dispatch.New(rand.New(rand.NewPCG(seed, uint64(id)))), waiting: map[*dispatch.Ticket]*call{},
			retries: retry.NewBudget(s.retryShare), hedges: retry.NewBudget(s.hedge),
		}
		e.pool.Update(w.millis(), w.snapshot(id/s.entriesPerDomain, nil))
		entries = append(entries, e)
	}
	arrive := func(c *call) { entries[c.entry].arrive(c) }
	return w.run(w.calls(seed), arrive, func() {
		for id, e := range entries {
			e.follow(id / s.entriesPerDomain)
			e.serve()
			e.probe()
		}
	})
}

// follow takes over marks, which the control side turns into snapshots.
func (e *entry) follow(domain int) {
	if e.w.setup.marks == nil || int(e.w.now)%500 != 0 {
		return
	}
	out, since := e.w.setup.marks(e.w.now)
	last := fmt.Sprint(e.w.setup.domains - 1)
	setting := e.w.snapshot(domain, map[string]bool{last: out})
	for i := range setting.Pool.Backends {
		if row := &setting.Pool.Backends[i]; row.FailureDomain == last && e.w.now >= since {
			row.Since = clock.Hour + clock.Millis(since)
		}
	}
	e.pool.Update(e.w.millis(), setting)
}

func (e *entry) probe() {
	for _, server := range e.pool.Servers() {
		if server.Health.Due(e.w.millis()) {
			server.Health = server.Health.Probed(e.w.millis(), e.w.box(server.Name).broken != "gone")
		}
	}
}

func (w *world) box(name string) *box {
	id, _ := strconv.Atoi(name)
	return w.workers[id]
}

func (e *entry) arrive(c *call) {
	e.retries.Earn()
	e.hedges.Earn()
	e.admit(c, &dispatch.Ticket{Deadline: clock.Hour + clock.Millis(c.deadline), Repeatable: e.w.setup.repeatable})
}

func (e *entry) admit(c *call, ticket *dispatch.Ticket) {
	if e.pool.Try(e.w.millis(), ticket) {
		e.start(c, ticket, true)
		return
	}
	if e.pool.Wait(e.w.millis(), ticket).Verdict != dispatch.Waiting {
		e.w.finish(c, &e.w.tally.refused)
		return
	}
	e.waiting[ticket] = c
}

func (e *entry) serve() {
	for _, ticket := range e.pool.Serve(e.w.millis()) {
		c := e.waiting[ticket]
		delete(e.waiting, ticket)
		if ticket.Server == nil {
			e.w.finish(c, &e.w.tally.refused)
			continue
		}
		e.start(c, ticket, true)
	}
}

func (e *entry) start(c *call, ticket *dispatch.Ticket, first bool) {
	c.attempts++
	began, open, server := e.w.now, true, ticket.Server
	end := func(result dispatch.Result) bool {
		if !open {
			return false
		}
		open = false
		e.pool.Release(e.w.millis(), ticket, result, e.w.now-began)
		return true
	}
	e.w.after(c.deadline-e.w.now, func() {
		if end(dispatch.TimedOut) {
			e.serve()
		}
	})
	if first && e.w.setup.hedge > 0 && e.w.setup.repeatable {
		e.w.after(e.pool.Usual().Late(), func() {
			second := &dispatch.Ticket{Deadline: ticket.Deadline, Repeatable: true, Tried: append(ticket.Tried, server)}
			if open && e.hedges.Spend() && e.pool.Try(e.w.millis(), second) {
				e.w.tally.retries++
				e.start(c, second, false)
			}
		})
	}
	e.w.send(c, e.w.box(server.Name), func(result string) {
		if !end(map[string]dispatch.Result{"answered": dispatch.Answered, "refused": dispatch.Refused}[result]) {
			return
		}
		e.ended(c, ticket, server, result, first)
		e.serve()
	})
}

func (e *entry) ended(c *call, ticket *dispatch.Ticket, tried *choice.Server, result string, first bool) {
	if result == "answered" {
		e.w.finish(c, &e.w.tally.answered)
	}
	if c.finished || !first {
		return
	}
	outcome := map[string]fault.Outcome{"refused": fault.NotRun, "not_sent": fault.NotSent, "failed": fault.Unknown}[result]
	if c.attempts < 8 && retry.Allowed(outcome, e.w.setup.repeatable) && (retry.Free(outcome) || e.retries.Spend()) {
		e.w.tally.retries++
		ticket.Tried = append(ticket.Tried, tried)
		e.admit(c, ticket)
		return
	}
	count := &e.w.tally.failed
	if outcome.Certain() {
		count = &e.w.tally.refused
	}
	e.w.finish(c, count)
}

// naive is round robin over all servers with fixed limits, which tries the
// next server at once for as long as the deadline lasts.
func naive(s setup, seed uint64) tally {
	w := newWorld(s, seed)
	entries := s.domains * s.entriesPerDomain
	next := make([]int, entries)
	flying := map[[2]int]int{}
	var send func(c *call, tries int)
	send = func(c *call, tries int) {
		if c.finished {
			return
		}
		b := w.workers[next[c.entry]%len(w.workers)]
		next[c.entry]++
		key := [2]int{c.entry, b.id}
		if flying[key] >= s.slots && tries < len(w.workers) {
			send(c, tries+1)
			return
		}
		flying[key]++
		w.send(c, b, func(result string) {
			flying[key]--
			if result == "answered" {
				w.finish(c, &w.tally.answered)
				return
			}
			if !c.finished {
				w.tally.retries++
			}
			send(c, 0)
		})
	}
	return w.run(w.calls(seed), func(c *call) { send(c, 0) }, func() {})
}

// knowing is one chooser for all entries that sees every slot, every slowdown
// and every fault as they are, and waits first come, first served.
func knowing(s setup, seed uint64) tally {
	w := newWorld(s, seed)
	var queue []*call
	var serve func()
	start := func(c *call) bool {
		var best *box
		var cost float64
		for _, b := range w.workers {
			if b.broken != "" || b.committed >= s.slots {
				continue
			}
			price := 2*w.net(c.entry, b) + c.demand*w.slowdown(b)
			if best == nil || price < cost {
				best, cost = b, price
			}
		}
		if best == nil {
			return false
		}
		best.committed++
		w.send(c, best, func(string) {
			best.committed--
			w.finish(c, &w.tally.answered)
			serve()
		})
		return true
	}
	serve = func() {
		for len(queue) > 0 && (queue[0].finished || start(queue[0])) {
			queue = queue[1:]
		}
	}
	return w.run(w.calls(seed), func(c *call) {
		queue = append(queue, c)
		serve()
	}, serve)
}
