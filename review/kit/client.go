package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/platform"
)

// callerTimeout is how long callers wait for an answer.
const callerTimeout = 3 * time.Second

// headersFile holds the header by which callers say how long they wait.
const headersFile = "review/kit/headers.txt"

// caller sends requests to the entries in turn, as callers do behind the balancer.
type caller struct {
	d      *deployment
	host   string
	client *http.Client
	header [2]string
	next   atomic.Int64
}

func newCaller(d *deployment, host string) (*caller, error) {
	data, err := os.ReadFile(headersFile)
	if err != nil {
		return nil, err
	}
	name, value, _ := strings.Cut(strings.TrimSpace(string(data)), ": ")
	return &caller{d: d, host: host, client: &http.Client{Timeout: callerTimeout}, header: [2]string{name, value}}, nil
}

// call sends a request to the next entry. The status is 0 without an answer.
func (c *caller) call(ctx context.Context, method, path string, body []byte) (status int, answer string) {
	e := c.d.entries[int(c.next.Add(1))%len(c.d.entries)]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = c.host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(c.header[0], c.header[1])
	response, err := c.client.Do(request)
	if err != nil {
		answer = err.Error()
	} else {
		defer func() { _ = response.Body.Close() }()
		data, readErr := io.ReadAll(response.Body)
		status, answer = response.StatusCode, strings.TrimSpace(string(data))
		if readErr != nil {
			status, answer = 0, readErr.Error()
		}
	}
	c.d.notef("%s %s to %s (%d bytes): %d %s", method, path, e.name, len(body), status, answer)
	return status, answer
}

// submit submits a job, with up to four retries as callers do. It returns the last
// status.
func (c *caller) submit(ctx context.Context, prefix, id string, steps []job.Step) (int, error) {
	body, err := platform.EncodeSubmission(job.Spec{Text: "review", Steps: steps})
	if err != nil {
		return 0, err
	}
	const retries = 4
	status := 0
	for range 1 + retries {
		if status, _ = c.call(ctx, http.MethodPost, prefix+id, body); status == http.StatusOK {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return status, ctx.Err()
		case <-time.After(time.Second):
		}
	}
	return status, nil
}

// mustSubmit submits a job that has to be accepted.
func (c *caller) mustSubmit(ctx context.Context, prefix, id string, steps []job.Step) error {
	status, err := c.submit(ctx, prefix, id, steps)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("submission %s was answered by %d", id, status)
	}
	return err
}

// state returns the state of a job as a caller sees it, or the status without one.
func (c *caller) state(ctx context.Context, prefix, id string) string {
	status, answer := c.call(ctx, http.MethodGet, prefix+id, nil)
	if status != http.StatusOK {
		return fmt.Sprintf("status %d", status)
	}
	state, err := platform.DecodeState([]byte(answer))
	if err != nil {
		return err.Error()
	}
	return state.String()
}

// await polls until a condition holds, and returns an error after a time.
func await(ctx context.Context, what string, limit time.Duration, holds func() bool) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if holds() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("not in time: " + what)
}
