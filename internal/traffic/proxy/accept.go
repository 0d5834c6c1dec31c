package proxy

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/base/problem"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/traffic/backend"
	"github.com/oriolepier/oriolepier/internal/traffic/balance"
	"github.com/oriolepier/oriolepier/internal/traffic/connpool"
)

// request is a caller's request and the state of its attempts.
type request struct {
	id           string
	route        *route.Route // nil until a route has matched
	routeState   *routeState
	pools        []*pool
	started      clock.Millis
	deadline     clock.Millis
	repeatable   bool
	method       string
	body         []byte
	outgoing     connpool.Request
	triedServers []*balance.Server
	mayHaveRun   atomic.Bool // the outcome of an attempt is unknown
}

// accept reads and checks a request with its whole body, or returns a refusal.
// The returned request is never nil, as a refusal is written with its id.
func (proxy *Proxy) accept(w http.ResponseWriter, r *http.Request, routing *routing, now clock.Millis) (*request, *problem.Problem) {
	req := &request{started: now, method: r.Method}
	if refusal := req.setID(r.Header); refusal != nil {
		return req, refusal
	}
	if refusal := checkForwardable(r); refusal != nil {
		return req, refusal
	}
	if refusal := req.matchRoute(r, routing); refusal != nil {
		return req, refusal
	}
	req.routeState = proxy.routeStateOf(req.route)
	req.routeState.vars.requests.Add(1)
	req.pools = routing.poolsOf(req.route)
	if refusal := req.readCallerHeaders(r.Header); refusal != nil {
		return req, refusal
	}
	if refusal := proxy.readBody(w, r, req); refusal != nil {
		return req, refusal
	}
	req.outgoing = connpool.Request{
		ID:             req.id,
		Method:         r.Method,
		Host:           r.Host,
		URL:            *r.URL,
		Header:         r.Header,
		Body:           req.body,
		MaxAnswerBytes: orDefault(req.route.MaxAnswerBytes, defaultAnswerBytes),
	}
	return req, nil
}

func orDefault(value, fallback int64) int64 {
	if value > 0 {
		return value
	}
	return fallback
}

func notRunProblem(step string, status int, detail string) *problem.Problem {
	return &problem.Problem{Status: status, Outcome: fault.NotRun, Step: step, Detail: detail}
}

// setID takes the caller's request id, or generates one if there is none. An
// invalid or repeated id is refused; the refusal carries a generated id.
func (req *request) setID(header http.Header) *problem.Problem {
	ids := header[backend.RequestID]
	if len(ids) == 0 {
		req.id = ulid.Make().String()
		return nil
	}
	if len(ids) > 1 || !validID(ids[0]) {
		req.id = ulid.Make().String()
		return notRunProblem(stepAccept, http.StatusBadRequest, "request id must be one value of 1 to 128 visible ASCII characters")
	}
	req.id = ids[0]
	return nil
}

func validID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	return strings.IndexFunc(id, func(char rune) bool { return char <= ' ' || char > '~' }) < 0
}

// checkForwardable rejects requests that the entry does not forward.
func checkForwardable(r *http.Request) *problem.Problem {
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return notRunProblem(stepAccept, http.StatusNotImplemented, "tunnels and protocol upgrades are not forwarded")
	}
	if len(r.Header) > maxRequestFields || headerBytes(r.Header) > maxRequestHeader {
		return notRunProblem(stepAccept, http.StatusRequestHeaderFieldsTooLarge, "too many header fields or bytes")
	}
	// A backend server that resolves dot segments would serve another path than
	// the one that was matched.
	for segment := range strings.SplitSeq(r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return notRunProblem(stepAccept, http.StatusBadRequest, "path holds a dot segment")
		}
	}
	return nil
}

func (req *request) matchRoute(r *http.Request, routing *routing) *problem.Problem {
	found := routing.table.Find(r.Host, r.URL.Path, r.Method)
	if found.Route == nil && len(found.Allow) > 0 {
		return notRunProblem(stepMatch, http.StatusMethodNotAllowed, "routes of this path take "+strings.Join(found.Allow, ", "))
	}
	if found.Route == nil {
		return notRunProblem(stepMatch, http.StatusNotFound, "no route takes this host and path")
	}
	req.route = found.Route
	if found.Route.Class == route.Batch {
		return notRunProblem(stepMatch, http.StatusUnprocessableEntity, "route "+found.Route.Name+" is for tasks: submit them to /v1/tasks")
	}
	return nil
}

// readCallerHeaders sets the deadline and whether the request may be repeated,
// from the route and the caller's headers. A deadline in the headers can only
// shorten the route's.
func (req *request) readCallerHeaders(header http.Header) *problem.Problem {
	req.repeatable = req.route.Repeatable
	if values := header[backend.Repeatable]; len(values) > 0 {
		if len(values) > 1 || !slices.Contains([]string{"yes", "no"}, values[0]) {
			return notRunProblem(stepAccept, http.StatusBadRequest, backend.Repeatable+" must be yes or no")
		}
		req.repeatable = values[0] == "yes"
	}
	limit := req.route.DeadlineMS
	if values := header[backend.DeadlineMS]; len(values) > 0 {
		requested, err := strconv.ParseInt(values[0], 10, 64)
		if err != nil || requested <= 0 || len(values) > 1 {
			return notRunProblem(stepAccept, http.StatusBadRequest, backend.DeadlineMS+" must be a positive number of milliseconds")
		}
		limit = min(limit, clock.Millis(requested))
	}
	req.deadline = req.started + limit
	return nil
}

// readBody reads the whole body before a backend server is chosen, so that a
// slow caller occupies no slot and a refused attempt can be retried.
func (proxy *Proxy) readBody(w http.ResponseWriter, r *http.Request, req *request) *problem.Problem {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	limit := orDefault(req.route.MaxRequestBytes, defaultRequestBytes)
	if r.ContentLength > limit {
		return bodyTooLarge()
	}
	control := http.NewResponseController(w)
	remaining := req.deadline - proxy.options.Clock.Now()
	_ = control.SetReadDeadline(time.Now().Add(remaining.Duration())) // not every writer supports deadlines
	body, err := proxy.readBounded(r, limit)
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, errTooLarge):
		return bodyTooLarge()
	case errors.Is(err, errBufferFull), errors.Is(err, fault.ErrNoMemory):
		refusal := notRunProblem(stepAccept, http.StatusServiceUnavailable, "bodies in flight fill the entry's memory for them")
		refusal.RetryAfter = overloadRetryAfter
		return refusal
	case err != nil:
		return notRunProblem(stepAccept, http.StatusBadRequest, "body did not arrive whole: "+err.Error())
	}
	req.body = body
	return nil
}

var (
	errTooLarge   = errors.New("request body is too large")
	errBufferFull = errors.New("limit for buffered request bodies is reached")
)

func bodyTooLarge() *problem.Problem {
	return notRunProblem(stepAccept, http.StatusRequestEntityTooLarge, "body is larger than the route takes")
}

// readBounded reads a body of at most limit bytes and adds its size to
// bufferedBytes, unless it fails. During the read, the largest possible size
// is reserved.
func (proxy *Proxy) readBounded(r *http.Request, limit int64) (body []byte, err error) {
	reserved := limit
	if r.ContentLength > 0 {
		reserved = r.ContentLength
	}
	defer func() { proxy.bufferedBytes.Add(int64(len(body)) - reserved) }()
	if proxy.bufferedBytes.Add(reserved) > orDefault(proxy.options.BufferedBytes, maxBufferedBytes) {
		return nil, errBufferFull
	}
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	count, err := buffer.ReadFrom(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if count > limit {
		return nil, errTooLarge
	}
	return buffer.Bytes(), nil
}
