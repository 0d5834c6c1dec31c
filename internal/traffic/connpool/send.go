package connpool

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/traffic/backend"
)

// Request is one attempt's request. Its header must not be changed while the
// attempt runs.
type Request struct {
	ID             string // request id that the answer must carry
	Method         string
	Host           string
	URL            url.URL // path and query
	Header         http.Header
	Body           []byte
	MaxAnswerBytes int64
}

// Answer is a backend server's answer.
type Answer struct {
	Status    int
	Header    http.Header
	Length    int64     // of the complete body, -1 when not known
	Body      []byte    // complete body, or its start if Remainder is set
	Remainder io.Reader // remainder of a long body; nil if Body is complete

	pool     *Pool
	conn     *conn // nil after Close
	now      func() clock.Millis
	response *http.Response
	complete bool // the body was read to its end
}

// Send sends a request once and waits for its answer. If the context ends
// first, the connection is closed. The error is a *fault.Fault.
//
//	acquire connection ──> write ──> read header ──> check id ──> read body
//	        │                │            │             │             │
//	     not_sent     not_sent/unknown  unknown      unknown       unknown
func (pool *Pool) Send(ctx context.Context, now func() clock.Millis, req *Request) (*Answer, error) {
	connection, err := pool.acquire(ctx)
	if err != nil {
		return nil, err
	}
	connection.tracked.reset()
	sentAt := now()
	response, err := connection.client.RoundTrip(pool.httpRequest(ctx, req)) //nolint:bodyclose // Answer.Close closes it
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			pool.CloseIdle(sentAt) // connections may go silent together, without a reset
		}
		return nil, pool.discardUnanswered(connection, err)
	}
	answer := &Answer{
		Status:   response.StatusCode,
		Header:   response.Header,
		Length:   response.ContentLength,
		pool:     pool,
		conn:     connection,
		now:      now,
		response: response,
	}
	if err := answer.validate(req); err != nil {
		answer.Close()
		return nil, err
	}
	if err := answer.readBody(req.MaxAnswerBytes); err != nil {
		answer.Close()
		return nil, err
	}
	return answer, nil
}

// discardUnanswered closes a connection whose request got no answer, and
// returns the fault of the attempt.
func (pool *Pool) discardUnanswered(connection *conn, err error) error {
	started := connection.tracked.seal()
	pool.discard(connection)
	if !started {
		return fault.New(fault.NotSent, StepSend, pool.name, err)
	}
	return fault.New(fault.Unknown, StepWait, pool.name, err)
}

func (pool *Pool) httpRequest(ctx context.Context, req *Request) *http.Request {
	target := req.URL
	target.Scheme = "http"
	target.Host = pool.address
	out := &http.Request{
		Method:     req.Method,
		URL:        &target,
		Host:       req.Host,
		Header:     req.Header,
		Body:       http.NoBody,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if len(req.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
		out.ContentLength = int64(len(req.Body))
	}
	return out.WithContext(ctx)
}

// validate rejects an answer that belongs to another request, has no
// delimited body or exceeds a limit.
func (answer *Answer) validate(req *Request) error {
	peer := answer.pool.name
	if got := answer.Header.Values(backend.RequestID); len(got) != 1 || got[0] != req.ID {
		return fault.Newf(fault.Unknown, StepRead, peer, "answer carries request ids %q instead of %q", got, req.ID)
	}
	if answer.Status < http.StatusOK {
		return fault.Newf(fault.Unknown, StepRead, peer, "answer has status %d", answer.Status)
	}
	if answer.Length < 0 && len(answer.response.TransferEncoding) == 0 {
		return fault.New(fault.Unknown, StepRead, peer, errUndelimited)
	}
	if len(answer.Header) > maxAnswerFields {
		return fault.Newf(fault.Unknown, StepRead, peer, "answer has %d header fields", len(answer.Header))
	}
	if answer.Length > req.MaxAnswerBytes {
		return fault.Newf(fault.Unknown, StepRead, peer, "answer of %d bytes is above the route's limit", answer.Length)
	}
	return nil
}

// readBody reads a short body completely, and the start of a long one.
func (answer *Answer) readBody(limit int64) error {
	var buffer bytes.Buffer
	if answer.Length > 0 {
		buffer.Grow(int(min(answer.Length, bufferedAnswerBytes)) + bytes.MinRead)
	}
	count, err := buffer.ReadFrom(io.LimitReader(answer.response.Body, bufferedAnswerBytes+1))
	answer.Body = buffer.Bytes()
	if err != nil {
		return fault.New(fault.Unknown, StepRead, answer.pool.name, err)
	}
	if count > limit {
		return fault.New(fault.Unknown, StepRead, answer.pool.name, errTooLong)
	}
	if count <= bufferedAnswerBytes {
		answer.complete = true
		return nil
	}
	answer.Remainder = &remainder{answer: answer, allowed: limit - count}
	return nil
}

// errUndelimited is the cause when the end of a body is the end of its
// connection: a truncated body could not be told from a complete one.
var errUndelimited = errors.New("answer gives neither length nor chunks")

var errTooLong = errors.New("answer is longer than the route's limit")

// remainder reads what follows the buffered start of a long body.
type remainder struct {
	answer  *Answer
	allowed int64 // bytes left of the route's limit
}

// Read implements io.Reader; it returns io.EOF only after the complete body.
func (reader *remainder) Read(data []byte) (int, error) {
	count, err := reader.answer.response.Body.Read(data)
	reader.allowed -= int64(count)
	if reader.allowed < 0 {
		return 0, errTooLong
	}
	if err == io.EOF {
		reader.answer.complete = true
	}
	return count, err
}

// Close returns the connection to the pool if the answer was read completely,
// and closes it otherwise.
func (answer *Answer) Close() {
	if answer.conn == nil {
		return
	}
	connection := answer.conn
	answer.conn = nil
	if !answer.complete || answer.response.Close || connection.client.Err() != nil {
		connection.tracked.seal()
		answer.pool.discard(connection)
		_ = answer.response.Body.Close() // the connection is closed already
		return
	}
	_ = answer.response.Body.Close() // read to its end
	answer.pool.putIdle(connection, answer.now())
}
