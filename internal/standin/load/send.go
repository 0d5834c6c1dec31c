package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/platform/backend"
)

// reply is a whole answer of an entry.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	outcome fault.Outcome // Answered for 2xx, else what the entry says
}

// send sends one HTTP request and reads the whole answer. An answer that
// breaks off is an error whose outcome is unknown.
func (caller *Caller) send(ctx context.Context, request *http.Request, most int64) (reply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	answer, err := caller.options.Client.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		if !connected.Load() {
			return reply{outcome: fault.NotSent}, fault.New(fault.NotSent, "connect", request.URL.Host, err)
		}
		return reply{outcome: fault.Unknown}, fault.New(fault.Unknown, "send", request.URL.Host, err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, most))
	if err != nil {
		return reply{outcome: fault.Unknown}, fault.New(fault.Unknown, "read answer", request.URL.Host, err)
	}
	whole := reply{status: answer.StatusCode, header: answer.Header, body: body, outcome: fault.Answered}
	if answer.StatusCode/100 != 2 {
		whole.outcome = fault.Unknown
		if answer.Header.Get(backend.Outcome) == backend.NotRun {
			whole.outcome = fault.NotRun
		}
	}
	return whole, nil
}

func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	if len(body) == 0 {
		return http.NewRequestWithContext(ctx, method, url, http.NoBody)
	}
	return http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
}
