// Package remote holds the HTTP clients of the platform: the log, the VM list,
// usage reports and the task agents of workers. The contract that they assume
// is written in docs/PLATFORM.md; a platform with another one needs only
// another form of this package.
//
// A client bounds every answer that it reads and takes its timeouts from the
// context. Its errors are *fault.Fault with a truthful outcome: not_sent when
// no connection was had, not_run only when the peer said so, unknown else.
//
// Orders and appends are POST without an idempotency key. net/http re-sends
// such a request by itself only when nothing of it was written, and redirects
// are not followed, so that one call is at most one request on the wire.
//
// # Usage
//
//	log := remote.NewLog("http://10.0.0.5:7000", nil)
//	off, err := log.Append(ctx, "config", data)
//	agent := remote.NewAgent(nil)
//	report, err := agent.Look(ctx, "10.0.1.7:7101")
package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/platform/backend"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
)

const (
	// Bounds an answer: a full page of the largest records in base64.
	maxAnswerBytes = 32 << 20
	// Bounds the text of a refusal that goes into an error.
	maxReasonBytes = 4 << 10
	// Idle connections kept per peer: the control thread asks one at a time,
	// pages and appends run beside it.
	idlePerPeer = 4
	// Idle connections in all, so that thousands of agents do not use up files.
	idleInAll = 512
	// Idle connections close before common balancers drop them.
	idleTimeout = 50 * time.Second
)

// caller sends requests to one or many peers.
type caller struct{ client *http.Client }

// newCaller copies the client, so that redirects are not followed: one that
// keeps the method would send an order twice.
func newCaller(client *http.Client) caller {
	if client == nil {
		client = &http.Client{Transport: transport()}
	}
	own := *client
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return caller{client: &own}
}

func transport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:        idleInAll,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleTimeout,
	}
}

// call is one request and where its answer goes.
type call struct {
	step   string // for errors
	peer   string // for errors
	method string
	url    string
	body   []byte // nil for none
	media  string // type of the body
	answer any    // JSON target; nil to drop the answer

	// etag, when not nil, holds the entity tag to compare with and takes that of
	// the answer; an answer that has not changed is inventory.ErrUnchanged.
	etag *string
}

// do sends one request and decodes its answer.
func (caller caller) do(ctx context.Context, call call) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.method, call.url, body(call.body))
	if err != nil {
		return fault.New(fault.NotSent, call.step, call.peer, err)
	}
	if call.media != "" {
		request.Header.Set("Content-Type", call.media)
	}
	if call.etag != nil && *call.etag != "" {
		request.Header.Set("If-None-Match", *call.etag)
	}
	answer, err := caller.client.Do(request)
	if err != nil {
		return fault.New(outcome(connected.Load()), call.step, call.peer, err)
	}
	defer func() { _ = answer.Body.Close() }()
	return read(call, answer)
}

func body(data []byte) io.Reader {
	if len(data) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(data)
}

func outcome(connected bool) fault.Outcome {
	if connected {
		return fault.Unknown
	}
	return fault.NotSent
}

func read(call call, answer *http.Response) error {
	if call.etag != nil && answer.StatusCode == http.StatusNotModified {
		return inventory.ErrUnchanged
	}
	if answer.StatusCode != http.StatusOK {
		return refusal(call, answer)
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil {
		return fault.New(fault.Unknown, call.step, call.peer, err)
	}
	if len(data) > maxAnswerBytes {
		return fault.Newf(fault.Unknown, call.step, call.peer, "answer is longer than %d bytes", maxAnswerBytes)
	}
	if call.answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, call.answer); err != nil {
		return fault.New(fault.Unknown, call.step, call.peer, err)
	}
	if call.etag != nil {
		*call.etag = answer.Header.Get("Etag")
	}
	return nil
}

// refusal makes an error of an answer other than 200. Only an explicit
// not_run is a promise; a bare status code is not.
func refusal(call call, answer *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxReasonBytes)) // the status alone will do
	ran := fault.Unknown
	if answer.Header.Get(backend.Outcome) == backend.NotRun {
		ran = fault.NotRun
	}
	return fault.Newf(ran, call.step, call.peer, "%s: %s", answer.Status, strings.TrimSpace(string(text)))
}

// post sends a value as JSON and decodes the answer into target.
func (caller caller) post(ctx context.Context, step, peer, url string, value, target any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fault.New(fault.NotSent, step, peer, err)
	}
	return caller.do(ctx, call{
		step: step, peer: peer, method: http.MethodPost, url: url,
		body: data, media: "application/json", answer: target,
	})
}

func (caller caller) get(ctx context.Context, step, peer, url string, target any) error {
	return caller.do(ctx, call{step: step, peer: peer, method: http.MethodGet, url: url, answer: target})
}
