package proxy

import (
	"context"
	"net/http"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/base/problem"
	"github.com/oriolepier/oriolepier/internal/traffic/balance"
	"github.com/oriolepier/oriolepier/internal/traffic/dispatch"
)

// slot is a concurrency slot that a request holds at a backend server.
type slot struct {
	pool        *pool
	ticket      *dispatch.Ticket
	serverState *serverState
}

// admit acquires a slot for a request: at once in the first pool with a free
// one, else by queueing in the first pool with a server in service.
func (proxy *Proxy) admit(ctx context.Context, req *request) (*slot, *problem.Problem) {
	if req.deadline-proxy.options.Clock.Now() < minTimeToSend {
		return nil, deadlineExceeded("the deadline passed before the request was sent")
	}
	ticket := &dispatch.Ticket{
		Route:      req.route.Name,
		MaxQueued:  req.route.MaxQueued,
		Deadline:   req.deadline,
		Repeatable: req.repeatable,
		Exclude:    req.triedServers,
	}
	for _, pool := range req.pools {
		if slot := pool.tryAcquire(proxy.options.Clock.Now(), ticket); slot != nil {
			return req.recordAttempt(slot), nil
		}
	}
	for _, pool := range req.pools {
		if pool.hasUsableServer() {
			return proxy.waitForSlot(ctx, req, pool, ticket)
		}
	}
	return nil, unavailable(&problem.Problem{Step: stepChoose, Detail: "no backend server is in service", RetryAfter: overloadRetryAfter})
}

func (req *request) recordAttempt(slot *slot) *slot {
	req.triedServers = append(req.triedServers, slot.ticket.Server)
	slot.serverState.vars.requests.Add(1)
	slot.pool.vars.requests.Add(1)
	return slot
}

func deadlineExceeded(detail string) *problem.Problem {
	return unavailable(&problem.Problem{Step: stepQueue, Detail: detail})
}

func unavailable(refusal *problem.Problem) *problem.Problem {
	refusal.Status = http.StatusServiceUnavailable
	refusal.Outcome = fault.NotRun
	return refusal
}

func (pool *pool) tryAcquire(now clock.Millis, ticket *dispatch.Ticket) *slot {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if !pool.engine.TryAcquire(now, ticket) {
		return nil
	}
	return pool.newSlot(ticket)
}

// newSlot must be called with the pool locked.
func (pool *pool) newSlot(ticket *dispatch.Ticket) *slot {
	return &slot{pool: pool, ticket: ticket, serverState: pool.serverStates[ticket.Server]}
}

func (pool *pool) hasUsableServer() bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.engine.Usable()
}

// waitForSlot queues a request until it gets a slot, is dropped from the queue
// (no answer is expected in time, or no backend server is in service any more),
// its caller disconnects or its deadline passes.
func (proxy *Proxy) waitForSlot(ctx context.Context, req *request, pool *pool, ticket *dispatch.Ticket) (*slot, *problem.Problem) {
	ticket.Ready = make(chan struct{}, 1)
	if refusal := pool.enqueue(proxy.options.Clock.Now(), ticket); refusal != nil {
		return nil, refusal
	}
	select {
	case <-ticket.Ready:
	case <-ctx.Done():
		if pool.cancelWait(ticket) {
			return nil, deadlineExceeded("the deadline passed, or the caller left, in the queue")
		}
		<-ticket.Ready
	}
	slot := pool.grantedSlot(ticket)
	if slot == nil {
		return nil, deadlineExceeded("the time left in the queue does not suffice for an answer")
	}
	return req.recordAttempt(slot), nil
}

func (pool *pool) enqueue(now clock.Millis, ticket *dispatch.Ticket) *problem.Problem {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	refusal := pool.engine.Enqueue(now, ticket)
	switch refusal.Verdict {
	case dispatch.Waiting:
		pool.vars.queued.Add(1)
		pool.serveQueue(now)
		return nil
	case dispatch.NoServer:
		return unavailable(&problem.Problem{Step: stepChoose, Detail: "no backend server is in service", RetryAfter: refusal.RetryAfter})
	default:
		return unavailable(&problem.Problem{Step: stepQueue, Detail: "queue: " + string(refusal.Verdict), RetryAfter: refusal.RetryAfter})
	}
}

func (pool *pool) cancelWait(ticket *dispatch.Ticket) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.engine.Cancel(ticket)
}

func (pool *pool) grantedSlot(ticket *dispatch.Ticket) *slot {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if ticket.Server == nil {
		return nil
	}
	return pool.newSlot(ticket)
}

// release ends an attempt and offers the free slot to the queue.
func (slot *slot) release(now clock.Millis, result dispatch.Result, elapsed float64) {
	slot.serverState.vars.countResult(result)
	pool := slot.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server := slot.ticket.Server
	wasEjected := server.Health.Ejected
	pool.engine.Release(now, slot.ticket, result, elapsed)
	pool.serveQueue(now)
	if wasEjected != server.Health.Ejected {
		pool.logEjection(server, result)
	}
}

// logEjection logs that a backend server was ejected or returned to service.
func (pool *pool) logEjection(server *balance.Server, result dispatch.Result) {
	event := pool.log.Info()
	if server.Health.Ejected {
		event = pool.log.Warn()
	}
	event.Str("pool", pool.name).Str("backend_server", server.Name).Bool("ejected", server.Health.Ejected).
		Str("after", string(result)).Msg("backend server ejected or returned to service")
}

// serveQueue wakes the queued requests that got a slot or were dropped. It must
// be called with the pool locked.
func (pool *pool) serveQueue(now clock.Millis) {
	for _, ticket := range pool.engine.ServeQueue(now) {
		ticket.Ready <- struct{}{}
	}
}
