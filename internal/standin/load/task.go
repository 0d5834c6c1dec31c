package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/standin/machine"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

const (
	// Of one call of the task interface.
	callTimeout = 5 * clock.Second
	// Bounds its answers.
	maxTaskAnswerBytes = 1 << 20
)

// Task is a batch task.
type Task struct {
	Key     string
	Route   string
	Kind    string
	Size    amount.Amount
	RunMS   clock.Millis // declared
	Payload machine.Payload
}

// submission is the body of POST /v1/tasks.
type submission struct {
	Caller  string        `json:"caller"`
	Key     string        `json:"key"`
	Route   string        `json:"route"`
	Kind    string        `json:"kind"`
	Payload string        `json:"payload"`
	Size    amount.Amount `json:"size"`
	RunMS   clock.Millis  `json:"run_ms"`
}

// Submit submits a task until it is accepted, refused for good, or the context
// ends. It returns the task's id.
func (caller *Caller) Submit(ctx context.Context, task Task) (string, error) {
	task.Payload.Key = caller.options.Name + "/" + task.Key
	body, err := caller.submission(task)
	if err != nil {
		return "", err
	}
	kind, id := witness.TaskRefused, ""
	for ctx.Err() == nil && id == "" {
		final := false
		caller.tries(ctx, func(entry Entry) bool {
			var ran fault.Outcome
			id, ran, final, err = caller.submitTo(ctx, entry, body)
			if ran == fault.Unknown {
				kind = ""
			}
			return id != "" || final
		})
		if final {
			break
		}
	}
	if id != "" {
		kind = witness.TaskAccepted
	}
	if kind != "" {
		caller.note(context.WithoutCancel(ctx), witness.Event{Kind: kind, Key: task.Payload.Key, Job: id})
	}
	return id, err
}

func (caller *Caller) submission(task Task) ([]byte, error) {
	payload, err := json.Marshal(task.Payload)
	if err != nil {
		return nil, errors.Wrap(err, "encode payload")
	}
	body, err := json.Marshal(submission{
		Caller: caller.options.Name, Key: task.Key, Route: task.Route, Kind: task.Kind,
		Payload: string(payload), Size: task.Size, RunMS: task.RunMS,
	})
	return body, errors.Wrap(err, "encode task")
}

// submitTo submits a task to one entry. A refusal is final when it says that
// the task itself is at fault.
func (caller *Caller) submitTo(ctx context.Context, entry Entry, body []byte) (id string, ran fault.Outcome, final bool, err error) {
	var accepted struct {
		ID string `json:"id"`
	}
	status, ran, err := caller.exchange(ctx, entry, http.MethodPost, "/v1/tasks", body, &accepted)
	final = ran == fault.NotRun && status/100 == 4 && status != http.StatusTooManyRequests
	return accepted.ID, ran, final, err
}

// Status asks any entry where a task stands.
func (caller *Caller) Status(ctx context.Context, id string) (status job.Status, err error) {
	err = errors.New("no entry")
	caller.tries(ctx, func(entry Entry) bool {
		_, _, err = caller.exchange(ctx, entry, http.MethodGet, "/v1/tasks/"+url.PathEscape(id), nil, &status)
		return err == nil
	})
	return status, err
}

// Cancel asks the system to cancel a task; key is the one it was submitted by.
func (caller *Caller) Cancel(ctx context.Context, id, key string) error {
	err := errors.New("no entry")
	caller.tries(ctx, func(entry Entry) bool {
		_, _, err = caller.exchange(ctx, entry, http.MethodDelete, "/v1/tasks/"+url.PathEscape(id), nil, nil)
		return err == nil
	})
	if err == nil {
		caller.note(context.WithoutCancel(ctx), witness.Event{Kind: witness.TaskCancelled, Key: caller.options.Name + "/" + key})
	}
	return err
}

// exchange is one call of an entry's task interface.
func (caller *Caller) exchange(ctx context.Context, entry Entry, method, path string, body []byte, target any) (int, fault.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	request, err := newRequest(ctx, method, "http://"+entry.Address+path, body)
	if err != nil {
		return 0, fault.NotSent, errors.Wrap(err, "build call")
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := caller.send(ctx, request, maxTaskAnswerBytes)
	if err != nil {
		return 0, answer.outcome, err
	}
	if answer.outcome != fault.Answered {
		return answer.status, answer.outcome, fault.Newf(answer.outcome, method+" "+path, entry.Name, "%d %s", answer.status, answer.body)
	}
	if target == nil {
		return answer.status, answer.outcome, nil
	}
	if err := json.Unmarshal(answer.body, target); err != nil {
		return answer.status, fault.Unknown, errors.Wrap(err, "decode answer")
	}
	return answer.status, answer.outcome, nil
}
