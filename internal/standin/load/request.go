package load

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/platform/backend"
	"github.com/oriolepier/oriolepier/internal/standin/machine"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

// Request is a latency-critical request.
type Request struct {
	Path          string
	Body          []byte
	NotRepeatable bool         // sent as POST; others are GET, or POST with a body
	WorkMS        clock.Millis // service time when undisturbed; 0 leaves it to the worker
	AnswerBytes   int
	DeadlineMS    clock.Millis
}

// Outcome is how a request ended for its caller.
type Outcome struct {
	ID       string
	Kind     witness.Kind // RequestAnswered, RequestWrong, RequestRefused or RequestUnknown
	Attempts int
	Took     time.Duration
	Err      error // why it was not answered
}

// Request sends a request and returns when it is answered or given up.
func (caller *Caller) Request(ctx context.Context, want Request) Outcome {
	outcome := Outcome{ID: caller.nextID(), Kind: witness.RequestRefused}
	ctx, cancel := context.WithTimeout(ctx, want.DeadlineMS.Duration())
	defer cancel()
	note := context.WithoutCancel(ctx)
	caller.note(note, witness.Event{Kind: witness.RequestSent, Request: outcome.ID, Repeatable: !want.NotRepeatable})
	start := time.Now()
	caller.tries(ctx, func(entry Entry) bool {
		outcome.Attempts++
		ran, err := caller.attempt(ctx, entry, outcome.ID, want)
		outcome.Err = err
		if ran == witness.RequestUnknown || outcome.Kind != witness.RequestUnknown {
			outcome.Kind = ran
		}
		if ran == witness.RequestAnswered || ran == witness.RequestWrong {
			outcome.Kind = ran
			return true
		}
		return ran == witness.RequestUnknown && want.NotRepeatable
	})
	outcome.Took = time.Since(start)
	if outcome.Kind == witness.RequestAnswered {
		caller.noteLatency(outcome.Took)
	}
	caller.note(note, witness.Event{Kind: outcome.Kind, Request: outcome.ID})
	return outcome
}

// attempt sends the request to one entry.
func (caller *Caller) attempt(ctx context.Context, entry Entry, id string, want Request) (witness.Kind, error) {
	request, err := caller.build(ctx, entry, id, want)
	if err != nil {
		return witness.RequestRefused, err
	}
	answer, err := caller.send(ctx, request, int64(want.AnswerBytes)+extraAnswerBytes)
	switch {
	case err != nil && answer.outcome == fault.NotSent:
		return witness.RequestRefused, err
	case err != nil:
		return witness.RequestUnknown, err
	case answer.outcome == fault.NotRun:
		return witness.RequestRefused, fmt.Errorf("%s: %d %s", entry.Name, answer.status, answer.body)
	case answer.outcome == fault.Unknown:
		return witness.RequestUnknown, fmt.Errorf("%s: %d %s", entry.Name, answer.status, answer.body)
	}
	if answer.header.Get(backend.RequestID) != id || !bytes.Equal(answer.body, witness.Body(id, want.AnswerBytes)) {
		return witness.RequestWrong, fmt.Errorf("%s: answer of %q with %d bytes", entry.Name, answer.header.Get(backend.RequestID), len(answer.body))
	}
	return witness.RequestAnswered, nil
}

func (caller *Caller) build(ctx context.Context, entry Entry, id string, want Request) (*http.Request, error) {
	method, repeatable := http.MethodGet, "yes"
	if want.NotRepeatable || len(want.Body) > 0 {
		method = http.MethodPost
	}
	if want.NotRepeatable {
		repeatable = "no"
	}
	url := fmt.Sprintf("http://%s%s?%s=%d&%s=%d", entry.Address, want.Path,
		machine.WorkMS, want.WorkMS, machine.AnswerBytes, want.AnswerBytes)
	request, err := newRequest(ctx, method, url, want.Body)
	if err != nil {
		return nil, err
	}
	left := want.DeadlineMS
	if until, ok := ctx.Deadline(); ok {
		left = clock.Of(time.Until(until))
	}
	request.Header.Set(backend.RequestID, id)
	request.Header.Set(backend.Repeatable, repeatable)
	request.Header.Set(backend.DeadlineMS, strconv.FormatInt(int64(left), 10))
	return request, nil
}
