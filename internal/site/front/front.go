// Package front serves the job API over HTTP: it matches a request to a queue,
// decodes it, sends it to the owner, and maps the reply to a status.
//
//	POST   PREFIX + ID   submit a job        200 | 400 | 401 | 404 | 408 | 413 | 422 | 501 | 503 | 504
//	GET    PREFIX + ID   state of a job      200 | 400 | 401 | 404 | 410 | 503
//	DELETE PREFIX + ID   cancel a job        200 | 400 | 401 | 404 | 410 | 503 | 504
//	GET    PREFIX        count waiting jobs  200 | 401 | 404 | 503
//
// A call to a route that is not public needs a customer's key, where the manifest lists
// customers. It is checked before the body is read: 401 without a valid key, on every
// method; 503 if the entry cannot tell. Jobs of other customers do not exist for a call.
//
// Other methods are answered by 405 with an ID and by 400 without one. 404: no such
// route; 410: no such job; 422: the owner ruled the job invalid.
//
// For POST, 503 guarantees that the job was not recorded and never will be; after
// 504 it may have been recorded. For DELETE, 504 means that the cancellation may
// have been recorded.
//
// # Usage
//
//	server := &http.Server{Handler: front.New(options)}
package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/access"
	"github.com/oriolepier/oriolepier/internal/site/relay"
)

// Time limits of a request.
const (
	defaultTimeout clock.Millis = 3 * clock.Second // for a caller that sets no deadline
	answerMargin   clock.Millis = 150              // reserved for sending the answer
	minTimeout     clock.Millis = 50               // lower bound after answerMargin is subtracted
	maxTimeout     clock.Millis = clock.Minute     // upper bound, and with it the time for which a request occupies its connection
	minRetryAfter  clock.Millis = clock.Second     // a takeover is likely to be over by then
)

// defaultBodyBytes limits a request body if the manifest sets no limit.
const defaultBodyBytes = 256 << 10

// Options configures a Handler.
type Options struct {
	Clock    clock.Clock
	Logger   zerolog.Logger
	Metrics  *metrics.Set
	Manifest func() manifest.Manifest // Version 0: none received yet
	// Access decides which calls are accepted. If nil, no call needs a key.
	Access *access.Guard
	Client relay.Client
	// CallerTimeout returns a request's timeout, or the fallback if it sets none.
	CallerTimeout func(request *http.Request, fallback clock.Millis) clock.Millis
	// Decode decodes the body of a submission.
	Decode func(data []byte) (job.Spec, error)
	// State returns the body of the answer with a job's state.
	State func(state job.State) any
	// Count returns the body of the answer with a queue's waiting jobs.
	Count func(waiting int) any
	// Proxy serves requests that match no queue, by proxying them to backend
	// servers. If nil, they are answered by 404.
	Proxy http.Handler
}

// Handler is the HTTP handler of callers' requests.
type Handler struct {
	options Options
}

// New returns a Handler.
func New(options Options) *Handler { return &Handler{options: options} }

// answer is the response to a caller.
type answer struct {
	status     int
	body       any // nil: a reasonBody with the reason
	reason     string
	retryAfter clock.Millis
	closes     bool // the connection ends with this answer
}

// reasonBody is the body of an answer that carries only a reason.
type reasonBody struct {
	Reason string `json:"reason"`
}

// exchange is a request with the state of its handling.
type exchange struct {
	request *http.Request
	queue   manifest.Queue
	jobID   string // path after the queue's prefix; empty for a request about the queue
	view    access.View
	tables  manifest.Manifest // in force when the request arrived; the view may be renewed after its body is read
	access  access.Decision
	reply   relay.Reply
	started clock.Millis
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if h.proxy(writer, request) {
		return
	}
	x := &exchange{request: request, started: h.options.Clock.Now()}
	x.view = h.accessView(x.started)
	x.tables = x.view.Manifest
	timeout := min(max(h.options.CallerTimeout(request, defaultTimeout)-answerMargin, minTimeout), maxTimeout)
	ctx, cancel := context.WithTimeout(request.Context(), timeout.Duration())
	defer cancel()
	result := h.answer(ctx, x)
	h.write(writer, result)
	h.log(x, result)
}

// proxy passes a request that matches no queue to Options.Proxy, if set, and
// reports whether it did.
func (h *Handler) proxy(writer http.ResponseWriter, request *http.Request) bool {
	if h.options.Proxy == nil {
		return false
	}
	if _, _, queued := h.options.Manifest().Match(request.Host, request.URL.Path); queued {
		return false
	}
	h.options.Proxy.ServeHTTP(writer, request)
	return true
}

func (h *Handler) answer(ctx context.Context, x *exchange) answer {
	if x.tables.Version == 0 {
		return answer{status: http.StatusServiceUnavailable, reason: "no manifest is known yet", retryAfter: minRetryAfter}
	}
	queue, jobID, ok := x.tables.Match(x.request.Host, x.request.URL.Path)
	if !ok {
		return answer{status: http.StatusNotFound, reason: "no such route"}
	}
	x.queue, x.jobID = queue, jobID
	if refusal := h.checkAccess(x); refusal.status != 0 {
		return refusal
	}
	if jobID == "" {
		return h.count(ctx, x)
	}
	if err := job.CheckID(job.ID(jobID)); err != nil {
		return answer{status: http.StatusBadRequest, reason: err.Error()}
	}
	switch x.request.Method {
	case http.MethodPost:
		return h.submit(ctx, x)
	case http.MethodGet:
		return h.state(ctx, x)
	case http.MethodDelete:
		return h.cancel(ctx, x)
	}
	return answer{status: http.StatusMethodNotAllowed, reason: "POST, GET and DELETE are allowed"}
}

// accessView returns what is known at a time for the check of a call.
func (h *Handler) accessView(now clock.Millis) access.View {
	if h.options.Access == nil {
		return access.View{Manifest: h.options.Manifest()}
	}
	return h.options.Access.View(now)
}

// checkAccess decides whether the call is accepted and whose it is. If it is refused,
// the answer's status is not zero.
func (h *Handler) checkAccess(x *exchange) (refusal answer) {
	if h.options.Access == nil {
		return answer{}
	}
	x.access = h.options.Access.Check(x.view, x.queue, x.request.Header)
	return accessRefusal(x.access)
}

// keyUnknown is the reason of an answer to a call whose key could not be checked.
const keyUnknown = "whether the key is valid is not known"

// accessRefusal returns the answer to a refused call. If it is not refused, the
// answer's status is zero.
func accessRefusal(decision access.Decision) answer {
	switch decision.Outcome {
	case access.Unauthorized:
		return answer{status: http.StatusUnauthorized, reason: "the call needs a valid key"}
	case access.Stale:
		return unavailable(keyUnknown)
	case access.Open, access.Public, access.Allowed:
	}
	return answer{}
}

// recheckAccess checks a call again once its body is read, which may take long.
func (h *Handler) recheckAccess(x *exchange) (refusal answer) {
	if x.access.Outcome != access.Allowed {
		return answer{}
	}
	x.view = h.accessView(h.options.Clock.Now())
	x.access = h.options.Access.Recheck(x.view, x.queue, x.request.Header)
	return accessRefusal(x.access)
}

func (h *Handler) count(ctx context.Context, x *exchange) answer {
	if x.request.Method != http.MethodGet {
		return answer{status: http.StatusBadRequest, reason: "the path names no job"}
	}
	x.reply = h.options.Client.CountWaiting(ctx, x.queue.Name)
	if x.reply.Outcome != relay.Answered {
		return unavailable("no owner is known")
	}
	return answer{status: http.StatusOK, body: h.options.Count(x.reply.Count)}
}

func (h *Handler) submit(ctx context.Context, x *exchange) answer {
	spec, failure := h.readSpec(x)
	if failure.status != 0 {
		return failure
	}
	if refusal := h.recheckAccess(x); refusal.status != 0 {
		return refusal
	}
	spec.Customer = x.access.Customer
	x.reply = h.options.Client.Submit(ctx, spec)
	return x.unlessUnproven(replyAnswer(x.reply, "whether the job was recorded is not known"))
}

// readSpec reads and checks a submission. On failure, the answer's status is not
// zero.
func (h *Handler) readSpec(x *exchange) (spec job.Spec, failure answer) {
	limit := x.tables.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	data, err := io.ReadAll(http.MaxBytesReader(nil, x.request.Body, limit))
	if err != nil {
		return spec, bodyFailure(err, limit)
	}
	spec, err = h.options.Decode(data)
	if err != nil {
		return spec, answer{status: http.StatusBadRequest, reason: err.Error()}
	}
	spec.ID, spec.Queue = job.ID(x.jobID), x.queue.Name
	err = spec.Check()
	if errors.Is(err, job.ErrUnsupported) {
		return spec, answer{status: http.StatusNotImplemented, reason: err.Error()}
	}
	if err != nil {
		return spec, answer{status: http.StatusBadRequest, reason: err.Error()}
	}
	return spec, answer{}
}

func (h *Handler) state(ctx context.Context, x *exchange) answer {
	x.reply = h.options.Client.Lookup(ctx, x.job())
	if x.reply.Outcome != relay.Answered {
		return unavailable("no owner is known")
	}
	if x.reply.Verdict.Ruling == owner.Recorded {
		return answer{status: http.StatusOK, body: h.options.State(x.reply.State)}
	}
	return x.unlessUnproven(verdictAnswer(x.reply.Verdict))
}

func (h *Handler) cancel(ctx context.Context, x *exchange) answer {
	x.reply = h.options.Client.Cancel(ctx, x.job())
	return x.unlessUnproven(replyAnswer(x.reply, "whether the job was cancelled is not known"))
}

// job returns the job that the call names, as its customer's.
func (x *exchange) job() owner.JobRef {
	return owner.JobRef{ID: job.ID(x.jobID), Customer: x.access.Customer}
}

// unlessUnproven returns the answer, or 503 if the call's key could not be checked and
// the owner found no such job or ruled it invalid: the call counts as nobody's, and its
// customer may be answered otherwise.
func (x *exchange) unlessUnproven(result answer) answer {
	ruling := x.reply.Verdict.Ruling
	if !x.access.Unproven || x.reply.Outcome != relay.Answered || ruling != owner.NotFound && ruling != owner.Invalid {
		return result
	}
	return unavailable(keyUnknown)
}

// replyAnswer maps a reply to an answer. unknownReason is the reason given if it
// is not known whether the owner carried out the request.
func replyAnswer(reply relay.Reply, unknownReason string) answer {
	switch reply.Outcome {
	case relay.NotRun:
		return unavailable("no owner is known")
	case relay.Unknown:
		return answer{status: http.StatusGatewayTimeout, reason: unknownReason}
	case relay.Answered:
	}
	return verdictAnswer(reply.Verdict)
}

// verdictAnswer maps an owner's verdict to an answer.
func verdictAnswer(verdict owner.Verdict) answer {
	switch verdict.Ruling {
	case owner.Recorded:
		return answer{status: http.StatusOK, reason: "ok"}
	case owner.NotFound:
		return answer{status: http.StatusGone, reason: verdict.Reason}
	case owner.Invalid:
		return answer{status: http.StatusUnprocessableEntity, reason: verdict.Reason}
	case owner.Unsupported:
		return answer{status: http.StatusNotImplemented, reason: verdict.Reason}
	case owner.Refused, owner.NotOwner:
	}
	return answer{status: http.StatusServiceUnavailable, reason: verdict.Reason, retryAfter: max(verdict.RetryAfter, minRetryAfter)}
}

func unavailable(reason string) answer {
	return answer{status: http.StatusServiceUnavailable, reason: reason, retryAfter: minRetryAfter}
}

func (h *Handler) write(writer http.ResponseWriter, result answer) {
	body := result.body
	if body == nil {
		body = reasonBody{Reason: result.reason}
	}
	data, err := json.Marshal(body)
	if err != nil {
		h.options.Logger.Error().Err(err).Msg("cannot encode answer")
		result.status = http.StatusInternalServerError
	}
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	if result.status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if result.retryAfter > 0 {
		seconds := (result.retryAfter + clock.Second - 1) / clock.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	if result.closes {
		header.Set("Connection", "close")
	}
	writer.WriteHeader(result.status)
	_, _ = writer.Write(data) // the caller may have disconnected
}

// log counts every request. It logs all but GETs answered with 200 and calls refused by
// the guard, which logs them itself.
func (h *Handler) log(x *exchange, result answer) {
	took := h.options.Clock.Now() - x.started
	h.options.Metrics.GetOrCreateCounter(
		`oriolepier_requests_total{method="` + x.request.Method + `",status="` + strconv.Itoa(result.status) + `"}`).Inc()
	h.options.Metrics.GetOrCreateHistogram(
		`oriolepier_request_seconds{method="` + x.request.Method + `"}`).Update(float64(took) / float64(clock.Second))
	if x.request.Method == http.MethodGet && result.status == http.StatusOK || x.access.Outcome.Refused() {
		return
	}
	h.options.Logger.Info().Str("event", "request_answered").Str("method", x.request.Method).Str("job", x.jobID).
		Str("queue", x.queue.Name).Str("customer", x.access.Customer).Int("status", result.status).Str("reason", result.reason).
		Int64("took_ms", int64(took)).Int("tries", x.reply.Tries).Int64("epoch", x.reply.Epoch).
		Int64("manifest", x.tables.Version).Int64("retry_after_ms", int64(result.retryAfter)).Send()
}
