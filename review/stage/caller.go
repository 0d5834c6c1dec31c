package stage

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/platform"
)

// callTimeout is the time for which a caller waits for an answer.
const callTimeout = 3 * time.Second

// NoAnswer is the status of a call without an answer.
const NoAnswer = 0

// callers keeps no connection between calls, as each may go to another entry.
var callers = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}

// Call sends a caller's request to an entry, and records it with its answer. path is what
// comes after the prefix of the queue.
func (s *Stage) Call(ctx context.Context, e *Entry, method, path string, body []byte) (status int, answer []byte) {
	status, answer, err := call(ctx, e, method, path, body)
	s.Record.Add("caller", method, "entry", e.Name, "path", path, "status", status, "answer", string(answer), "error", errorText(err))
	return status, answer
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func call(ctx context.Context, e *Entry, method, path string, body []byte) (status int, answer []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.Callers+Prefix+path, bytes.NewReader(body))
	if err != nil {
		return NoAnswer, nil, errors.Wrap(err, "request")
	}
	request.Host = Host
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := callers.Do(request)
	if err != nil {
		return NoAnswer, nil, errors.Wrap(err, "call")
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return NoAnswer, nil, errors.Wrap(err, "read answer")
	}
	return response.StatusCode, answer, nil
}

// Submit submits a job at an entry and returns the status.
func (s *Stage) Submit(ctx context.Context, e *Entry, spec job.Spec) int {
	body, err := platform.EncodeSubmission(spec)
	if err != nil {
		return NoAnswer
	}
	status, _ := s.Call(ctx, e, http.MethodPost, string(spec.ID), body)
	return status
}
