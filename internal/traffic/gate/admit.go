package gate

import (
	"context"
	"net/http"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/base/problem"
	"github.com/oriolepier/oriolepier/internal/traffic/choice"
	"github.com/oriolepier/oriolepier/internal/traffic/dispatch"
)

// place is a granted place at a backend server.
type place struct {
	pool   *pool
	ticket *dispatch.Ticket
	peer   *peer
}

// admit finds a place for a request: at once in the first pool that has one,
// else by waiting in the first pool with a server in service.
func (gate *Gate) admit(ctx context.Context, req *request) (*place, *problem.Problem) {
	if req.deadline-gate.options.Clock.Now() < fewestMillisToSend {
		return nil, late("the deadline passed before the request was sent")
	}
	ticket := &dispatch.Ticket{
		Route:      req.route.Name,
		MaxQueued:  req.route.MaxQueued,
		Deadline:   req.deadline,
		Repeatable: req.repeatable,
		Tried:      req.tried,
	}
	for _, pool := range req.pools {
		if place := pool.try(gate.options.Clock.Now(), ticket); place != nil {
			return req.taken(place), nil
		}
	}
	for _, pool := range req.pools {
		if pool.usable() {
			return gate.wait(ctx, req, pool, ticket)
		}
	}
	return nil, unserved(&problem.Problem{Step: stepChoose, Detail: "no backend server is in service", RetryAfter: tooBusyRetryAfter})
}

func (req *request) taken(place *place) *place {
	req.tried = append(req.tried, place.ticket.Server)
	place.peer.vars.requests.Add(1)
	place.pool.vars.requests.Add(1)
	return place
}

func late(detail string) *problem.Problem {
	return unserved(&problem.Problem{Step: stepQueue, Detail: detail})
}

func unserved(refusal *problem.Problem) *problem.Problem {
	refusal.Status = http.StatusServiceUnavailable
	refusal.Outcome = fault.NotRun
	return refusal
}

func (pool *pool) try(now clock.Millis, ticket *dispatch.Ticket) *place {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if !pool.engine.Try(now, ticket) {
		return nil
	}
	return pool.placed(ticket)
}

// placed is called with the pool locked.
func (pool *pool) placed(ticket *dispatch.Ticket) *place {
	return &place{pool: pool, ticket: ticket, peer: pool.links[ticket.Server]}
}

func (pool *pool) usable() bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.engine.Usable()
}

// wait queues a request until it gets a place, is dropped, or its caller or
// deadline ends the wait.
func (gate *Gate) wait(ctx context.Context, req *request, pool *pool, ticket *dispatch.Ticket) (*place, *problem.Problem) {
	ticket.Ready = make(chan struct{}, 1)
	if refusal := pool.enqueue(gate.options.Clock.Now(), ticket); refusal != nil {
		return nil, refusal
	}
	select {
	case <-ticket.Ready:
	case <-ctx.Done():
		if pool.leave(ticket) {
			return nil, late("the deadline passed, or the caller left, in the queue")
		}
		<-ticket.Ready
	}
	place := pool.granted(ticket)
	if place == nil {
		return nil, late("the time left in the queue does not suffice for an answer")
	}
	return req.taken(place), nil
}

func (pool *pool) enqueue(now clock.Millis, ticket *dispatch.Ticket) *problem.Problem {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	refusal := pool.engine.Wait(now, ticket)
	switch refusal.Verdict {
	case dispatch.Waiting:
		pool.vars.queued.Add(1)
		pool.serve(now)
		return nil
	case dispatch.NoServer:
		return unserved(&problem.Problem{Step: stepChoose, Detail: "no backend server is in service", RetryAfter: refusal.RetryAfter})
	default:
		return unserved(&problem.Problem{Step: stepQueue, Detail: "queue: " + string(refusal.Verdict), RetryAfter: refusal.RetryAfter})
	}
}

func (pool *pool) leave(ticket *dispatch.Ticket) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.engine.Leave(ticket)
}

func (pool *pool) granted(ticket *dispatch.Ticket) *place {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if ticket.Server == nil {
		return nil
	}
	return pool.placed(ticket)
}

// release ends an attempt and hands the free place on.
func (place *place) release(now clock.Millis, result dispatch.Result, elapsed float64) {
	place.peer.vars.count(result)
	pool := place.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server := place.ticket.Server
	ejected := server.Health.Ejected
	pool.engine.Release(now, place.ticket, result, elapsed)
	pool.serve(now)
	if ejected != server.Health.Ejected {
		pool.note(server, result)
	}
}

// note logs that a backend server was ejected or came back.
func (pool *pool) note(server *choice.Server, result dispatch.Result) {
	line := pool.log.Info()
	if server.Health.Ejected {
		line = pool.log.Warn()
	}
	line.Str("pool", pool.name).Str("backend_server", server.Name).Bool("ejected", server.Health.Ejected).
		Str("after", string(result)).Msg("backend server changed")
}

// serve wakes the requests whose wait is over. It is called with the pool
// locked.
func (pool *pool) serve(now clock.Millis) {
	for _, ticket := range pool.engine.Serve(now) {
		ticket.Ready <- struct{}{}
	}
}
