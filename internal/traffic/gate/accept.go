package gate

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
	"github.com/oriolepier/oriolepier/internal/traffic/choice"
	"github.com/oriolepier/oriolepier/internal/traffic/link"
)

// request is a caller's request that has been taken in.
type request struct {
	id         string
	route      *route.Route // nil before one was found
	tally      *tally
	pools      []*pool
	started    clock.Millis
	deadline   clock.Millis
	repeatable bool
	method     string
	body       []byte
	out        link.Request
	tried      []*choice.Server
	unknown    atomic.Bool // an attempt may have run
}

// accept takes a request in whole, or refuses it. The request is never nil.
func (gate *Gate) accept(w http.ResponseWriter, r *http.Request, plan *plan, now clock.Millis) (*request, *problem.Problem) {
	req := &request{started: now, method: r.Method}
	if refusal := req.identify(r.Header); refusal != nil {
		return req, refusal
	}
	if refusal := checkForm(r); refusal != nil {
		return req, refusal
	}
	if refusal := req.match(r, plan); refusal != nil {
		return req, refusal
	}
	req.tally = gate.tallyOf(req.route)
	req.tally.vars.requests.Add(1)
	req.pools = plan.poolsOf(req.route)
	if refusal := req.limits(r.Header); refusal != nil {
		return req, refusal
	}
	if refusal := gate.readBody(w, r, req); refusal != nil {
		return req, refusal
	}
	req.out = link.Request{
		ID:             req.id,
		Method:         r.Method,
		Host:           r.Host,
		URL:            *r.URL,
		Header:         r.Header,
		Body:           req.body,
		MaxAnswerBytes: positive(req.route.MaxAnswerBytes, defaultAnswerBytes),
	}
	return req, nil
}

func positive(value, otherwise int64) int64 {
	if value > 0 {
		return value
	}
	return otherwise
}

func bad(step string, status int, detail string) *problem.Problem {
	return &problem.Problem{Status: status, Outcome: fault.NotRun, Step: step, Detail: detail}
}

// identify takes the caller's request id, or makes one.
func (req *request) identify(header http.Header) *problem.Problem {
	ids := header[backend.RequestID]
	if len(ids) == 0 {
		req.id = ulid.Make().String()
		return nil
	}
	if len(ids) > 1 || !validID(ids[0]) {
		req.id = ulid.Make().String()
		return bad(stepAccept, http.StatusBadRequest, "request id must be one value of 1 to 128 visible ASCII characters")
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

// checkForm refuses requests that the entry does not forward.
func checkForm(r *http.Request) *problem.Problem {
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return bad(stepAccept, http.StatusNotImplemented, "tunnels and protocol upgrades are not forwarded")
	}
	if len(r.Header) > maxRequestFields || headerBytes(r.Header) > maxRequestHeader {
		return bad(stepAccept, http.StatusRequestHeaderFieldsTooLarge, "too many header fields or bytes")
	}
	// A backend server that resolves dot segments would see another path than
	// the one that was matched.
	for segment := range strings.SplitSeq(r.URL.Path, "/") {
		if segment == "." || segment == ".." {
			return bad(stepAccept, http.StatusBadRequest, "path holds a dot segment")
		}
	}
	return nil
}

func (req *request) match(r *http.Request, plan *plan) *problem.Problem {
	found := plan.table.Find(r.Host, r.URL.Path, r.Method)
	if found.Route == nil && len(found.Allow) > 0 {
		return bad(stepMatch, http.StatusMethodNotAllowed, "routes of this path take "+strings.Join(found.Allow, ", "))
	}
	if found.Route == nil {
		return bad(stepMatch, http.StatusNotFound, "no route takes this host and path")
	}
	req.route = found.Route
	if found.Route.Class == route.Batch {
		return bad(stepMatch, http.StatusUnprocessableEntity, "route "+found.Route.Name+" is for tasks: submit them to /v1/tasks")
	}
	return nil
}

// limits takes what the caller says of deadline and repeating.
func (req *request) limits(header http.Header) *problem.Problem {
	req.repeatable = req.route.Repeatable
	if values := header[backend.Repeatable]; len(values) > 0 {
		if len(values) > 1 || !slices.Contains([]string{"yes", "no"}, values[0]) {
			return bad(stepAccept, http.StatusBadRequest, backend.Repeatable+" must be yes or no")
		}
		req.repeatable = values[0] == "yes"
	}
	limit := req.route.DeadlineMS
	if values := header[backend.DeadlineMS]; len(values) > 0 {
		wish, err := strconv.ParseInt(values[0], 10, 64)
		if err != nil || wish <= 0 || len(values) > 1 {
			return bad(stepAccept, http.StatusBadRequest, backend.DeadlineMS+" must be a positive number of milliseconds")
		}
		limit = min(limit, clock.Millis(wish))
	}
	req.deadline = req.started + limit
	return nil
}

// readBody takes in the whole body before a backend server is chosen: a slow
// caller holds no slot, and a refused attempt can be repeated.
func (gate *Gate) readBody(w http.ResponseWriter, r *http.Request, req *request) *problem.Problem {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	limit := positive(req.route.MaxRequestBytes, defaultRequestBytes)
	if r.ContentLength > limit {
		return tooLarge()
	}
	control := http.NewResponseController(w)
	left := req.deadline - gate.options.Clock.Now()
	_ = control.SetReadDeadline(time.Now().Add(left.Duration())) // not every writer has one
	body, err := gate.readBounded(r, limit)
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, errTooLarge):
		return tooLarge()
	case errors.Is(err, errNoMemory):
		refusal := bad(stepAccept, http.StatusServiceUnavailable, "bodies in flight fill the entry's memory for them")
		refusal.RetryAfter = tooBusyRetryAfter
		return refusal
	case err != nil:
		return bad(stepAccept, http.StatusBadRequest, "body did not arrive whole: "+err.Error())
	}
	req.body = body
	return nil
}

var (
	errTooLarge = errors.New("body is too large")
	errNoMemory = errors.New("no memory for the body")
)

func tooLarge() *problem.Problem {
	return bad(stepAccept, http.StatusRequestEntityTooLarge, "body is larger than the route takes")
}

// readBounded reads a body and counts its bytes as buffered, unless it fails.
// While it reads, the most that may come counts.
func (gate *Gate) readBounded(r *http.Request, limit int64) (body []byte, err error) {
	reserved := limit
	if r.ContentLength > 0 {
		reserved = r.ContentLength
	}
	defer func() { gate.buffered.Add(int64(len(body)) - reserved) }()
	if gate.buffered.Add(reserved) > maxBufferedBytes {
		return nil, errNoMemory
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
