// Package dispatch decides, for one pool in one entry, which backend server a
// request is sent to, whether it is queued, and whether it is refused.
//
// It combines packages balance and limit into one state machine that takes the
// time as an argument, so that simulations in virtual time run the same code
// that serves requests. A [Pool] is mutable and not safe for concurrent use;
// package proxy guards it by a mutex.
//
// # Usage
//
//	pool := dispatch.New(rng)
//	pool.Update(now, dispatch.Settings{...})
//	if !pool.TryAcquire(now, ticket) {
//		refusal := pool.Enqueue(now, ticket)
//	}
//	... // ticket.Server is set, or a later ServeQueue returns the ticket
//	pool.Release(now, ticket, dispatch.Answered, latencyMS)
package dispatch

import (
	"container/list"
	"math/rand/v2"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/balance"
	"github.com/oriolepier/oriolepier/internal/traffic/limit"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

const (
	maxEjectedPercent  = 50           // of the servers in service; the others must carry the load
	defaultMaxQueued   = 256          // per route
	initialShareFactor = 2            // an entry's initial limit is twice its even share of a server's slots
	refusalWeight      = 0.01         // of one attempt in the smoothed share of refused attempts
	maxRefusedShare    = 0.25         // share of refused attempts at which limits stop growing
	deadlineMargin     = 1.5          // the time left must be this multiple of the server's latency
	waitWeight         = 0.3          // share of the time in the queue that is added to the acceptable latency
	noServerRetryAfter = clock.Second // Retry-After when no server is in service
	poolLatencyWeight  = 0.02         // of one answer in the pool's smoothed latency
)

// Pool is one entry's state of one pool.
type Pool struct {
	rng            *rand.Rand
	servers        map[string]*balance.Server // by name and address
	balancer       *balance.Balancer
	latency        *balance.Latency
	waiting        *list.List     // of *Ticket, oldest first
	queuedByRoute  map[string]int // waiting tickets by route
	ejectedServers int
	usableServers  int             // servers in service
	refusedShare   float64         // share of recent attempts that were refused
	inFlight       int             // requests in flight from this entry
	freedServer    *balance.Server // has just answered; its slot is offered to the next waiting request
}

// Settings are the parts of the snapshot in force that concern the pool.
type Settings struct {
	Pool       view.Pool
	Domain     string          // failure domain of the entry
	DomainsOut map[string]bool // failure domains that are marked out
	Entries    int
	Budget     limit.Budget
}

// New returns a pool without servers.
func New(rng *rand.Rand) *Pool {
	return &Pool{
		rng:           rng,
		servers:       map[string]*balance.Server{},
		balancer:      balance.New(rng, nil),
		latency:       &balance.Latency{Weight: poolLatencyWeight},
		waiting:       list.New(),
		queuedByRoute: map[string]int{},
	}
}

// Update applies a snapshot. It returns the servers that are no longer listed;
// their requests in flight continue.
func (pool *Pool) Update(now clock.Millis, settings Settings) (removed []*balance.Server) {
	next := make(map[string]*balance.Server, len(settings.Pool.Backends))
	servers := make([]*balance.Server, 0, len(settings.Pool.Backends))
	pool.usableServers = 0
	for _, config := range settings.Pool.Backends {
		key := config.Name + " " + config.Address
		server := pool.servers[key]
		if server == nil {
			server = pool.newServer(config, settings)
		}
		pool.configure(server, config, settings)
		next[key] = server
		servers = append(servers, server)
	}
	for key, server := range pool.servers {
		if next[key] == nil {
			server.OutOfService = true
			removed = append(removed, server)
		}
	}
	pool.servers = next
	pool.balancer = balance.New(pool.rng, servers)
	pool.countEjected()
	return removed
}

func (pool *Pool) newServer(config view.Backend, settings Settings) *balance.Server {
	limitCeiling := limitCeiling(config, settings)
	initialLimit := float64(initialShareFactor*settings.Pool.Config.Slots) / float64(max(settings.Entries, 1))
	return &balance.Server{
		Name:             config.Name,
		Address:          config.Address,
		Domain:           config.FailureDomain,
		PoolLatency:      pool.latency,
		ConcurrencyLimit: limit.NewConcurrency(initialLimit, limitCeiling),
	}
}

func (pool *Pool) configure(server *balance.Server, config view.Backend, settings Settings) {
	server.OutOfService = config.Draining || settings.DomainsOut[config.FailureDomain]
	server.Local = config.FailureDomain == settings.Domain
	server.ConcurrencyLimit.Remote = !server.Local
	server.Warmup = settings.Pool.Config.WarmupMS
	server.InServiceSince = max(server.InServiceSince, config.InServiceSince)
	server.ConcurrencyLimit = server.ConcurrencyLimit.WithCeiling(limitCeiling(config, settings))
	if !server.OutOfService {
		pool.usableServers++
	}
}

// limitCeiling is the highest concurrency limit that a server's slots and this
// entry's connections allow.
func limitCeiling(config view.Backend, settings Settings) float64 {
	connections := settings.Connections(config.FailureDomain == settings.Domain)
	if slots := settings.Pool.Config.Slots; slots > 0 {
		return float64(min(slots, connections))
	}
	return float64(connections)
}

// Connections returns this entry's share of the connections to a server in its
// own failure domain (local) or in another one.
func (settings Settings) Connections(local bool) int {
	if local {
		return settings.Budget.Local(settings.Pool.Config.Connections)
	}
	return settings.Budget.Remote(settings.Pool.Config.Connections)
}

// Servers returns the servers of the pool, in no particular order.
func (pool *Pool) Servers() []*balance.Server { return lo.Values(pool.servers) }

// SmoothedLatency returns the smoothed latency over all servers.
func (pool *Pool) SmoothedLatency() *balance.Latency { return pool.latency }

// Usable reports whether any server is in service.
func (pool *Pool) Usable() bool { return pool.usableServers > 0 }

// TryAcquire grants a ticket a free slot if there is one and no other ticket is
// waiting.
func (pool *Pool) TryAcquire(now clock.Millis, ticket *Ticket) bool {
	if pool.waiting.Len() > 0 {
		return false
	}
	return pool.grant(now, ticket)
}

func (pool *Pool) grant(now clock.Millis, ticket *Ticket) bool {
	query := balance.Query{Now: now, Repeatable: ticket.Repeatable, MaxLatencyMS: pool.acceptableLatency(now, ticket), Preferred: pool.freedServer}
	pool.freedServer = nil
	// Once every server in service was tried, all are eligible again.
	if len(ticket.Exclude) < pool.usableServers {
		query.Exclude = ticket.Exclude
	}
	server := pool.balancer.Pick(query)
	if server == nil {
		return false
	}
	server.Begin(now)
	pool.inFlight++
	ticket.Server = server
	return true
}

// Enqueue puts a ticket into the queue, or refuses it. Under overload the newest
// ticket is refused.
func (pool *Pool) Enqueue(now clock.Millis, ticket *Ticket) Refusal {
	if pool.usableServers == 0 {
		return Refusal{NoServer, noServerRetryAfter}
	}
	wait := pool.expectedWait()
	if now+clock.Millis(wait+pool.latency.UpperBound()) > ticket.Deadline {
		return Refusal{TooLate, clock.Millis(wait) + 1}
	}
	maxQueued := ticket.MaxQueued
	if maxQueued <= 0 {
		maxQueued = defaultMaxQueued
	}
	if pool.queuedByRoute[ticket.Route] >= maxQueued {
		return Refusal{QueueFull, clock.Millis(wait) + 1}
	}
	ticket.waiting = true
	pool.queuedByRoute[ticket.Route]++
	if ticket.queuedSince > 0 {
		pool.waiting.PushFront(ticket) // was queued before and then refused by a guard: keeps its age
	} else {
		ticket.queuedSince = now
		pool.waiting.PushBack(ticket)
	}
	return Refusal{Verdict: Waiting}
}

// acceptableLatency is the longest server latency that is better than waiting
// for a server of typical latency, in milliseconds. It grows while the ticket
// waits, up to the time left over deadlineMargin; 0 (no bound) while the pool's
// latency is unknown.
func (pool *Pool) acceptableLatency(now clock.Millis, ticket *Ticket) float64 {
	if !pool.latency.Known() {
		return 0
	}
	acceptableLatency := pool.latency.Mean() + pool.expectedWait()
	if ticket.queuedSince > 0 {
		acceptableLatency += waitWeight * float64(now-ticket.queuedSince)
	}
	return min(acceptableLatency, float64(ticket.Deadline-now)/deadlineMargin)
}

// expectedWait estimates the time in the queue, in milliseconds, by Little's law: slots become
// free at the rate of requests in flight over their latency.
func (pool *Pool) expectedWait() float64 {
	return float64(pool.waiting.Len()+1) * pool.latency.Mean() / float64(max(pool.inFlight, 1))
}

// Cancel removes a ticket from the queue. It reports false when the ticket is not
// waiting any more.
func (pool *Pool) Cancel(ticket *Ticket) bool {
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
	if pool.queuedByRoute[ticket.Route]--; pool.queuedByRoute[ticket.Route] == 0 {
		delete(pool.queuedByRoute, ticket.Route)
	}
	return ticket
}

// ServeQueue grants free slots to waiting tickets, oldest first. It drops tickets
// that can no longer be answered in time, and all of them when no server is in
// service. It returns both; a dropped ticket has no Server.
func (pool *Pool) ServeQueue(now clock.Millis) (resolved []*Ticket) {
	for element := pool.waiting.Front(); element != nil; element = pool.waiting.Front() {
		ticket := element.Value.(*Ticket)
		tooLate := now+clock.Millis(pool.latency.Mean()) > ticket.Deadline
		if !tooLate && pool.usableServers > 0 && !pool.grant(now, ticket) {
			return resolved
		}
		resolved = append(resolved, pool.dequeue(element))
	}
	pool.freedServer = nil
	return resolved
}

// Waiting returns the number of requests in the queue.
func (pool *Pool) Waiting() int { return pool.waiting.Len() }

// Release ends a granted ticket's attempt, which took elapsed milliseconds.
func (pool *Pool) Release(now clock.Millis, ticket *Ticket, result Result, elapsed float64) {
	server := ticket.Server
	ticket.Server = nil
	pool.inFlight--
	wasEjected := server.Health.Ejected
	switch result {
	case Answered:
		server.Answered(now, elapsed, pool.limitGrowth())
		pool.refusedShare -= pool.refusedShare * refusalWeight
		pool.latency.Add(now, elapsed)
		pool.freedServer = server
	case ServerError:
		server.Answered(now, max(elapsed, pool.latency.Mean()), pool.limitGrowth())
	case Refused:
		server.Refused(now, pool.mayEject())
		pool.refusedShare += (1 - pool.refusedShare) * refusalWeight
	case Failed:
		server.Failed(now, pool.mayEject())
	case TimedOut:
		pool.recordTimeout(now, server, elapsed)
	case Abandoned:
		server.Abandoned(now, elapsed)
	}
	if wasEjected != server.Health.Ejected && !server.OutOfService {
		pool.countEjected()
	}
}

// limitGrowth scales the growth of concurrency limits, from 1 without refusals
// to 0 at maxRefusedShare: refused attempts cost retries, so that their share is
// bounded.
func (pool *Pool) limitGrowth() float64 {
	return max(1-pool.refusedShare/maxRefusedShare, 0)
}

// recordTimeout counts a timeout as a failure of the server only when it had more
// time than answers usually take. Otherwise the time was spent in the queue or by
// the caller.
func (pool *Pool) recordTimeout(now clock.Millis, server *balance.Server, elapsed float64) {
	if elapsed < pool.latency.UpperBound() {
		server.Abandoned(now, elapsed)
		return
	}
	server.Latency.Add(now, elapsed)
	server.Failed(now, pool.mayEject())
}

// mayEject reports whether one more server may be ejected within
// maxEjectedPercent.
func (pool *Pool) mayEject() bool {
	return (pool.ejectedServers+1)*100 <= pool.usableServers*maxEjectedPercent
}

func (pool *Pool) countEjected() {
	pool.ejectedServers = 0
	for _, server := range pool.servers {
		if server.Health.Ejected && !server.OutOfService {
			pool.ejectedServers++
		}
	}
}
