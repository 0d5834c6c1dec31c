package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/base/problem"
	"github.com/oriolepier/oriolepier/internal/traffic/backend"
	"github.com/oriolepier/oriolepier/internal/traffic/connpool"
	"github.com/oriolepier/oriolepier/internal/traffic/dispatch"
	"github.com/oriolepier/oriolepier/internal/traffic/retry"
)

var errGuardRefused = errors.New("refused by the backend server's guard")

// fetch gets the answer to a request. It retries as far as the outcome, the
// request's repeatability and the retry budget allow.
func (proxy *Proxy) fetch(ctx context.Context, req *request) (*heldAnswer, *problem.Problem) {
	req.routeState.earn(req.route)
	failures := 0
	for attempt := 1; ; attempt++ {
		slot, refusal := proxy.admit(ctx, req)
		if refusal != nil {
			return nil, req.withPriorOutcome(refusal)
		}
		answer, err := proxy.send(ctx, req, slot)
		if err == nil {
			return answer, nil
		}
		if !retry.ExemptFromBudget(fault.OutcomeOf(err)) {
			failures++
		}
		if attempt == maxAttempts || failures == maxFailures || ctx.Err() != nil || !proxy.mayRetry(req, err) {
			return nil, req.withPriorOutcome(attemptProblem(ctx, err))
		}
	}
}

func (proxy *Proxy) mayRetry(req *request, err error) bool {
	if !retry.Allowed(fault.OutcomeOf(err), req.repeatable) {
		return false
	}
	if !retry.ExemptFromBudget(fault.OutcomeOf(err)) && !req.routeState.spendRetry() {
		proxy.counters.retriesOverBudget.Add(1)
		return false
	}
	proxy.counters.retries.Add(1)
	req.routeState.vars.retries.Add(1)
	return true
}

// withPriorOutcome reports unknown in place of not_sent or not_run when an
// earlier attempt may have run.
func (req *request) withPriorOutcome(refusal *problem.Problem) *problem.Problem {
	if req.mayHaveRun.Load() && refusal.Outcome.DidNotRun() {
		refusal.Outcome = fault.Unknown
		refusal.Status = http.StatusBadGateway
		refusal.Detail += "; an earlier attempt may have run"
	}
	return refusal
}

// attemptProblem returns the refusal for the error of the last attempt.
func attemptProblem(ctx context.Context, err error) *problem.Problem {
	refusal := &problem.Problem{
		Status:  http.StatusBadGateway,
		Outcome: fault.OutcomeOf(err),
		Step:    fault.StepOf(err),
		Detail:  err.Error(),
	}
	var cause *fault.Fault
	if errors.As(err, &cause) {
		refusal.Peer = cause.Peer
	}
	if refusal.Outcome.DidNotRun() {
		refusal.Status = http.StatusServiceUnavailable
		refusal.RetryAfter = overloadRetryAfter
	} else if ctx.Err() != nil {
		refusal.Status = http.StatusGatewayTimeout
	}
	return refusal
}

// attempt sends a request to a backend server once.
func (proxy *Proxy) attempt(ctx context.Context, req *request, slot *slot) (*heldAnswer, error) {
	outgoing := req.outgoing
	outgoing.Header = forwardedHeader(req.outgoing.Header, req.id, req.deadline-proxy.options.Clock.Now())
	startedAt := time.Now() // latencies need a finer clock than milliseconds
	answer, err := slot.serverState.connpool.Send(ctx, proxy.options.Clock.Now, &outgoing)
	held := &heldAnswer{Answer: answer, proxy: proxy, slot: slot, startedAt: startedAt}
	result := resultOf(ctx, answer, err)
	if err != nil {
		req.mayHaveRun.Store(req.mayHaveRun.Load() || fault.OutcomeOf(err) == fault.Unknown)
		held.release(result)
		return nil, err
	}
	if result == dispatch.Refused {
		held.release(result)
		answer.Close()
		return nil, fault.New(fault.NotRun, connpool.StepWait, slot.serverState.vars.name, errGuardRefused)
	}
	if answer.Remainder == nil {
		held.release(result)
	}
	return held, nil
}

// resultOf classifies how an attempt ended, for the backend server's health and
// limits.
func resultOf(ctx context.Context, answer *connpool.Answer, err error) dispatch.Result {
	switch {
	case err == nil && backend.IsGuardRefusal(answer.Status, answer.Header):
		return dispatch.Refused
	case err == nil && answer.Status >= http.StatusInternalServerError:
		return dispatch.ServerError
	case err == nil:
		return dispatch.Answered
	case errors.Is(err, connpool.ErrNoConnection), errors.Is(ctx.Err(), context.Canceled):
		return dispatch.Abandoned
	case ctx.Err() != nil:
		return dispatch.TimedOut
	default:
		return dispatch.Failed
	}
}

// heldAnswer is an answer and the slot that it occupies until it has been read.
type heldAnswer struct {
	*connpool.Answer
	proxy       *Proxy
	slot        *slot
	startedAt   time.Time
	releaseOnce sync.Once
}

// release frees the slot; later calls do nothing.
func (held *heldAnswer) release(result dispatch.Result) {
	held.releaseOnce.Do(func() {
		elapsed := float64(time.Since(held.startedAt)) / float64(time.Millisecond)
		held.slot.release(held.proxy.options.Clock.Now(), result, elapsed)
	})
}
