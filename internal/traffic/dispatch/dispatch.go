// Package dispatch is one entry's side of one pool: which backend server a
// request goes to now, whether it waits, and whether it is refused.
//
// It joins the parts of packages choice and limit into one state machine that
// takes the time as an argument, so that the policy can be measured in virtual
// time with the very code that serves requests. A [Pool] is mutable and not
// safe for concurrent use; package gate guards it by a mutex.
//
// # Usage
//
//	pool := dispatch.New(rng)
//	pool.Update(now, dispatch.Setting{...})
//	if !pool.Try(now, ticket) {
//		refusal := pool.Wait(now, ticket)
//	}
//	... // ticket.Server is set, or a later Serve returns the ticket
//	pool.Release(now, ticket, dispatch.Answered, latencyMS)
package dispatch

import (
	"container/list"
	"math/rand/v2"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/choice"
	"github.com/oriolepier/oriolepier/internal/traffic/limit"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

const (
	maxEjectedPercent = 50 // of the servers in service; the rest must carry the load
	defaultMaxQueued  = 256
	startShare        = 2    // an entry starts with twice its even share of a server's slots
	refusalWeight     = 0.01 // of one attempt in the share of refused ones
	refusalBound      = 0.25 // share of refused attempts at which limits stop growing
	deadlineMargin    = 1.5  // of the expected latency, in the time that is left
	waitWeight        = 0.3  // of time spent waiting, in what a request accepts
	drainRetryAfter   = clock.Second
	usualShare        = 0.02 // weight of one answer in the latency of the whole pool
)

// Pool is what one entry knows of one pool.
type Pool struct {
	rng      *rand.Rand
	servers  map[string]*choice.Server // by name and address
	chooser  *choice.Chooser
	usual    *choice.Latency
	waiting  *list.List     // of *Ticket, oldest first
	queued   map[string]int // waiting tickets by route
	ejected  int
	usable   int            // servers that are not out
	refusals float64        // share of recent attempts
	flying   int            // requests in flight from here
	freed    *choice.Server // has just answered; the next waiting request inherits its slot
}

// Setting is what the snapshot in force says of the pool.
type Setting struct {
	Pool       view.Pool
	Domain     string // of the entry
	DomainsOut map[string]bool
	Entries    int
	Budget     limit.Budget
}

// New returns a pool without servers.
func New(rng *rand.Rand) *Pool {
	return &Pool{
		rng:     rng,
		servers: map[string]*choice.Server{},
		chooser: choice.New(rng, nil),
		usual:   &choice.Latency{Share: usualShare},
		waiting: list.New(),
		queued:  map[string]int{},
	}
}

// Update takes over a snapshot. Servers that it no longer names are returned;
// their requests in flight go on.
func (pool *Pool) Update(now clock.Millis, setting Setting) (gone []*choice.Server) {
	next := make(map[string]*choice.Server, len(setting.Pool.Backends))
	servers := make([]*choice.Server, 0, len(setting.Pool.Backends))
	pool.usable = 0
	for _, row := range setting.Pool.Backends {
		key := row.Name + " " + row.Address
		server := pool.servers[key]
		if server == nil {
			server = pool.join(row, setting)
		}
		pool.apply(server, row, setting)
		next[key] = server
		servers = append(servers, server)
	}
	for key, server := range pool.servers {
		if next[key] == nil {
			server.Out = true
			gone = append(gone, server)
		}
	}
	pool.servers = next
	pool.chooser = choice.New(pool.rng, servers)
	pool.countEjected()
	return gone
}

func (pool *Pool) join(row view.Backend, setting Setting) *choice.Server {
	ceiling := ceiling(row, setting)
	start := float64(startShare*setting.Pool.Config.Slots) / float64(max(setting.Entries, 1))
	return &choice.Server{
		Name:    row.Name,
		Address: row.Address,
		Domain:  row.FailureDomain,
		Usual:   pool.usual,
		Places:  limit.NewConcurrency(start, ceiling),
	}
}

func (pool *Pool) apply(server *choice.Server, row view.Backend, setting Setting) {
	server.Out = row.Draining || setting.DomainsOut[row.FailureDomain]
	server.Local = row.FailureDomain == setting.Domain
	server.Places.Guest = !server.Local
	server.Warmup = setting.Pool.Config.WarmupMS
	server.Since = max(server.Since, row.Since)
	server.Places = server.Places.WithCeiling(ceiling(row, setting))
	if !server.Out {
		pool.usable++
	}
}

// ceiling is what the slots of a server and this entry's connections allow.
func ceiling(row view.Backend, setting Setting) float64 {
	connections := setting.Connections(row.FailureDomain == setting.Domain)
	if slots := setting.Pool.Config.Slots; slots > 0 {
		return float64(min(slots, connections))
	}
	return float64(connections)
}

// Connections returns this entry's share of the connections to a server of
// the own failure domain, or of another one.
func (setting Setting) Connections(local bool) int {
	if local {
		return setting.Budget.Local(setting.Pool.Config.Connections)
	}
	return setting.Budget.Remote(setting.Pool.Config.Connections)
}

// Servers returns the servers of the pool, in no order.
func (pool *Pool) Servers() []*choice.Server { return lo.Values(pool.servers) }

// Usual returns the smoothed latency over all servers.
func (pool *Pool) Usual() *choice.Latency { return pool.usual }

// Usable reports whether any server is in service.
func (pool *Pool) Usable() bool { return pool.usable > 0 }

// Try grants a ticket a free place, or leaves it as it is.
func (pool *Pool) Try(now clock.Millis, ticket *Ticket) bool {
	if pool.waiting.Len() > 0 {
		return false
	}
	return pool.grant(now, ticket)
}

func (pool *Pool) grant(now clock.Millis, ticket *Ticket) bool {
	query := choice.Query{Now: now, Repeatable: ticket.Repeatable, Worth: pool.worth(now, ticket), Freed: pool.freed}
	pool.freed = nil
	if len(ticket.Tried) < pool.usable {
		query.Tried = ticket.Tried
	}
	server := pool.chooser.Pick(query)
	if server == nil {
		return false
	}
	server.Begin(now)
	pool.flying++
	ticket.Server = server
	return true
}

// Wait puts a ticket into the queue, or refuses it. Under overload it is the
// newest that is refused.
func (pool *Pool) Wait(now clock.Millis, ticket *Ticket) Refusal {
	if pool.usable == 0 {
		return Refusal{NoServer, drainRetryAfter}
	}
	wait := pool.expectedWait()
	if now+clock.Millis(wait+pool.usual.High()) > ticket.Deadline {
		return Refusal{TooLate, clock.Millis(wait) + 1}
	}
	bound := ticket.MaxQueued
	if bound <= 0 {
		bound = defaultMaxQueued
	}
	if pool.queued[ticket.Route] >= bound {
		return Refusal{NoPlace, clock.Millis(wait) + 1}
	}
	ticket.waiting = true
	pool.queued[ticket.Route]++
	if ticket.since > 0 {
		pool.waiting.PushFront(ticket) // was refused by a guard: keeps its age
	} else {
		ticket.since = now
		pool.waiting.PushBack(ticket)
	}
	return Refusal{Verdict: Waiting}
}

// worth is the longest latency of a server that is better than to go on
// waiting for a usual one. It grows while the ticket waits.
func (pool *Pool) worth(now clock.Millis, ticket *Ticket) float64 {
	if !pool.usual.Known() {
		return 0
	}
	worth := pool.usual.Mean() + pool.expectedWait()
	if ticket.since > 0 {
		worth += waitWeight * float64(now-ticket.since)
	}
	return min(worth, float64(ticket.Deadline-now)/deadlineMargin)
}

// expectedWait follows from Little's law: places come free at the rate of
// requests in flight over their latency.
func (pool *Pool) expectedWait() float64 {
	return float64(pool.waiting.Len()+1) * pool.usual.Mean() / float64(max(pool.flying, 1))
}

// Leave takes a ticket out of the queue. It reports false when the ticket is
// not waiting any more.
func (pool *Pool) Leave(ticket *Ticket) bool {
	if !ticket.waiting {
		return false
	}
	for element := pool.waiting.Front(); element != nil; element = element.Next() {
		if element.Value.(*Ticket) == ticket {
			pool.dequeue(element)
			return true
		}
	}
	return false
}

func (pool *Pool) dequeue(element *list.Element) *Ticket {
	ticket := pool.waiting.Remove(element).(*Ticket)
	ticket.waiting = false
	if pool.queued[ticket.Route]--; pool.queued[ticket.Route] == 0 {
		delete(pool.queued, ticket.Route)
	}
	return ticket
}

// Serve grants free places to waiting tickets, oldest first, and drops those
// that can no longer be answered in time. It returns both; a dropped one has
// no Server.
func (pool *Pool) Serve(now clock.Millis) (settled []*Ticket) {
	for element := pool.waiting.Front(); element != nil; element = pool.waiting.Front() {
		ticket := element.Value.(*Ticket)
		late := now+clock.Millis(pool.usual.Mean()) > ticket.Deadline
		if !late && pool.usable > 0 && !pool.grant(now, ticket) {
			return settled
		}
		settled = append(settled, pool.dequeue(element))
	}
	pool.freed = nil
	return settled
}

// Waiting returns the number of requests in the queue.
func (pool *Pool) Waiting() int { return pool.waiting.Len() }

// Release ends a granted ticket's attempt, after elapsed milliseconds.
func (pool *Pool) Release(now clock.Millis, ticket *Ticket, result Result, elapsed float64) {
	server := ticket.Server
	ticket.Server = nil
	pool.flying--
	ejected := server.Health.Ejected
	switch result {
	case Answered:
		server.Answered(now, elapsed, pool.eager())
		pool.refusals -= pool.refusals * refusalWeight
		pool.usual.Add(now, elapsed)
		pool.freed = server
	case Erred:
		server.Answered(now, max(elapsed, pool.usual.Mean()), pool.eager())
	case Refused:
		server.Refused(now, pool.mayEject())
		pool.refusals += (1 - pool.refusals) * refusalWeight
	case Failed:
		server.Failed(now, pool.mayEject())
	case TimedOut:
		pool.timedOut(now, server, elapsed)
	case Abandoned:
		server.Abandoned(now, elapsed)
	}
	if ejected != server.Health.Ejected && !server.Out {
		pool.countEjected()
	}
}

// eager is how fast limits may grow: refusals cost retries, so that the share
// of refused attempts is held under a bound.
func (pool *Pool) eager() float64 {
	return max(1-pool.refusals/refusalBound, 0)
}

// timedOut blames a server only when it had more time than answers usually
// take: the rest was spent in the queue or by the caller.
func (pool *Pool) timedOut(now clock.Millis, server *choice.Server, elapsed float64) {
	if elapsed < pool.usual.High() {
		server.Abandoned(now, elapsed)
		return
	}
	server.Latency.Add(now, elapsed)
	server.Failed(now, pool.mayEject())
}

// mayEject keeps most of the pool in service, whatever fails.
func (pool *Pool) mayEject() bool {
	return (pool.ejected+1)*100 <= pool.usable*maxEjectedPercent
}

func (pool *Pool) countEjected() {
	pool.ejected = 0
	for _, server := range pool.servers {
		if server.Health.Ejected && !server.Out {
			pool.ejected++
		}
	}
}
