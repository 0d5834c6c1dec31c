package link

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
	ID             string // what the answer must carry
	Method         string
	Host           string
	URL            url.URL // path and query
	Header         http.Header
	Body           []byte
	MaxAnswerBytes int64
}

// Answer is a backend server's answer. Body is the whole of it unless Rest is
// set, which then gives what follows.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the whole body, -1 when not known
	Body   []byte
	Rest   io.Reader

	link     *Link
	conn     *conn
	now      func() clock.Millis
	response *http.Response
	whole    bool
}

// Send sends a request once and waits for its answer. The context ends the
// wait; the connection is then closed. The error is a *fault.Fault.
//
//	take connection ──> write ──> read header ──> check id ──> read body
//	      │               │            │             │             │
//	   not_sent    not_sent/unknown  unknown      unknown       unknown
func (link *Link) Send(ctx context.Context, now func() clock.Millis, req *Request) (*Answer, error) {
	each, err := link.take(ctx)
	if err != nil {
		return nil, err
	}
	each.socket.reset()
	response, err := each.client.RoundTrip(link.build(ctx, req)) //nolint:bodyclose // Answer.Close does
	if err != nil {
		return nil, link.lost(each, err)
	}
	answer := &Answer{
		Status:   response.StatusCode,
		Header:   response.Header,
		Length:   response.ContentLength,
		link:     link,
		conn:     each,
		now:      now,
		response: response,
	}
	if err := answer.check(req); err != nil {
		answer.Close()
		return nil, err
	}
	if err := answer.read(req.MaxAnswerBytes); err != nil {
		answer.Close()
		return nil, err
	}
	return answer, nil
}

// lost gives up a connection whose request got no answer.
func (link *Link) lost(each *conn, err error) error {
	started := each.socket.seal()
	link.drop(each)
	if !started {
		return fault.New(fault.NotSent, StepSend, link.name, err)
	}
	return fault.New(fault.Unknown, StepWait, link.name, err)
}

func (link *Link) build(ctx context.Context, req *Request) *http.Request {
	target := req.URL
	target.Scheme = "http"
	target.Host = link.address
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

// check refuses answers that belong to another request or are out of bounds.
func (answer *Answer) check(req *Request) error {
	peer := answer.link.name
	if got := answer.Header.Values(backend.RequestID); len(got) != 1 || got[0] != req.ID {
		return fault.Newf(fault.Unknown, StepRead, peer, "answer carries request ids %q instead of %q", got, req.ID)
	}
	if answer.Status < http.StatusOK {
		return fault.Newf(fault.Unknown, StepRead, peer, "answer has status %d", answer.Status)
	}
	if answer.Length < 0 && len(answer.response.TransferEncoding) == 0 {
		return fault.New(fault.Unknown, StepRead, peer, errNoEnd)
	}
	if len(answer.Header) > maxAnswerFields {
		return fault.Newf(fault.Unknown, StepRead, peer, "answer has %d header fields", len(answer.Header))
	}
	if answer.Length > req.MaxAnswerBytes {
		return fault.Newf(fault.Unknown, StepRead, peer, "answer of %d bytes is above the route's limit", answer.Length)
	}
	return nil
}

// read takes in a short answer whole, and the start of a long one.
func (answer *Answer) read(limit int64) error {
	var buffer bytes.Buffer
	if answer.Length > 0 {
		buffer.Grow(int(min(answer.Length, bufferedAnswerBytes)) + bytes.MinRead)
	}
	count, err := buffer.ReadFrom(io.LimitReader(answer.response.Body, bufferedAnswerBytes+1))
	answer.Body = buffer.Bytes()
	if err != nil {
		return fault.New(fault.Unknown, StepRead, answer.link.name, err)
	}
	if count > limit {
		return fault.New(fault.Unknown, StepRead, answer.link.name, errTooLong)
	}
	if count <= bufferedAnswerBytes {
		answer.whole = true
		return nil
	}
	answer.Rest = &rest{answer: answer, left: limit - count}
	return nil
}

// errNoEnd is the cause when an answer ends with its connection: a cut one
// looks the same.
var errNoEnd = errors.New("answer gives neither length nor chunks")

var errTooLong = errors.New("answer is longer than the route's limit")

// rest reads what follows the buffered start of a long answer.
type rest struct {
	answer *Answer
	left   int64
}

// Read implements io.Reader; io.EOF comes only after the whole answer.
func (tail *rest) Read(data []byte) (int, error) {
	count, err := tail.answer.response.Body.Read(data)
	tail.left -= int64(count)
	if tail.left < 0 {
		return 0, errTooLong
	}
	if err == io.EOF {
		tail.answer.whole = true
	}
	return count, err
}

// Close gives the connection back after a whole answer, and closes it
// otherwise.
func (answer *Answer) Close() {
	if answer.conn == nil {
		return
	}
	each := answer.conn
	answer.conn = nil
	if !answer.whole || answer.response.Close || each.client.Err() != nil {
		each.socket.seal()
		answer.link.drop(each)
		_ = answer.response.Body.Close() // the connection is closed already
		return
	}
	_ = answer.response.Body.Close() // read to its end
	answer.link.keep(each, answer.now())
}
