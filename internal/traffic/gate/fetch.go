package gate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/base/problem"
	"github.com/oriolepier/oriolepier/internal/traffic/backend"
	"github.com/oriolepier/oriolepier/internal/traffic/dispatch"
	"github.com/oriolepier/oriolepier/internal/traffic/link"
	"github.com/oriolepier/oriolepier/internal/traffic/retry"
)

var errGuard = errors.New("refused by the backend server's guard")

// fetch gets the answer to a request, by as many attempts as its kind and the
// budget allow.
func (gate *Gate) fetch(ctx context.Context, req *request) (*delivery, *problem.Problem) {
	req.tally.earn(req.route)
	failures := 0
	for attempt := 1; ; attempt++ {
		place, refusal := gate.admit(ctx, req)
		if refusal != nil {
			return nil, req.stand(refusal)
		}
		answer, err := gate.send(ctx, req, place)
		if err == nil {
			return answer, nil
		}
		if !retry.Free(fault.OutcomeOf(err)) {
			failures++
		}
		if attempt == maxAttempts || failures == maxFailures || ctx.Err() != nil || !gate.mayRetry(req, err) {
			return nil, req.stand(failure(ctx, err))
		}
	}
}

func (gate *Gate) mayRetry(req *request, err error) bool {
	if !retry.Allowed(fault.OutcomeOf(err), req.repeatable) {
		return false
	}
	if !retry.Free(fault.OutcomeOf(err)) && !req.tally.spendRetry() {
		gate.counts.noBudget.Add(1)
		return false
	}
	gate.counts.retries.Add(1)
	req.tally.vars.retries.Add(1)
	return true
}

// stand lets the outcome of earlier attempts stand: once one may have run, a
// later refusal is no promise.
func (req *request) stand(refusal *problem.Problem) *problem.Problem {
	if req.unknown.Load() && refusal.Outcome.Certain() {
		refusal.Outcome = fault.Unknown
		refusal.Status = http.StatusBadGateway
		refusal.Detail += "; an earlier attempt may have run"
	}
	return refusal
}

// failure is the refusal after the last attempt.
func failure(ctx context.Context, err error) *problem.Problem {
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
	if refusal.Outcome.Certain() {
		refusal.Status = http.StatusServiceUnavailable
		refusal.RetryAfter = tooBusyRetryAfter
	} else if ctx.Err() != nil {
		refusal.Status = http.StatusGatewayTimeout
	}
	return refusal
}

// attempt sends a request to a backend server once.
func (gate *Gate) attempt(ctx context.Context, req *request, place *place) (*delivery, error) {
	out := req.out
	out.Header = forward(req.out.Header, req.id, req.deadline-gate.options.Clock.Now())
	began := time.Now() // latencies are finer than the clock's milliseconds
	answer, err := place.peer.link.Send(ctx, gate.options.Clock.Now, &out)
	got := &delivery{Answer: answer, gate: gate, place: place, began: began}
	result := resultOf(ctx, answer, err)
	if err != nil {
		req.unknown.Store(req.unknown.Load() || fault.OutcomeOf(err) == fault.Unknown)
		got.release(result)
		return nil, err
	}
	if result == dispatch.Refused {
		got.release(result)
		answer.Close()
		return nil, fault.New(fault.NotRun, link.StepWait, place.peer.vars.name, errGuard)
	}
	if answer.Rest == nil {
		got.release(result)
	}
	return got, nil
}

// resultOf says what an attempt tells of its backend server.
func resultOf(ctx context.Context, answer *link.Answer, err error) dispatch.Result {
	switch {
	case err == nil && backend.RefusedBy(answer.Status, answer.Header):
		return dispatch.Refused
	case err == nil && answer.Status >= http.StatusInternalServerError:
		return dispatch.Erred
	case err == nil:
		return dispatch.Answered
	case errors.Is(err, link.ErrNoConnection), errors.Is(ctx.Err(), context.Canceled):
		return dispatch.Abandoned
	case ctx.Err() != nil:
		return dispatch.TimedOut
	default:
		return dispatch.Failed
	}
}

// delivery is an answer and the place that it holds until it has been read.
type delivery struct {
	*link.Answer
	gate  *Gate
	place *place
	began time.Time
	once  sync.Once
}

// release gives the place back, once.
func (got *delivery) release(result dispatch.Result) {
	got.once.Do(func() {
		elapsed := float64(time.Since(got.began)) / float64(time.Millisecond)
		got.place.release(got.gate.options.Clock.Now(), result, elapsed)
	})
}
