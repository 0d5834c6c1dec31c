// Package front answers consumers over HTTP: it finds the queue of a request,
// reads it, asks the owner, and turns the reply into a status that is true.
//
//	POST   PREFIX + ID   hand a job in    200 | 400 | 404 | 413 | 429 | 501 | 503 | 504
//	GET    PREFIX + ID   its state        200 | 404 | 410 | 503 | 504
//	DELETE PREFIX + ID   cancel it        200 | 404 | 410 | 503 | 504
//	GET    PREFIX        queue's count    200 | 404 | 503
//
// 429 and 503 promise that a job was not recorded and never will be; 504 says
// that it may have been.
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
	"github.com/oriolepier/oriolepier/internal/site/relay"
)

// Times of a request.
const (
	defaultPatience clock.Millis = 3 * clock.Second // of a caller that does not say
	answerMargin    clock.Millis = 150              // kept for the answer's way back
	leastPatience   clock.Millis = 50
	retrySoon       clock.Millis = clock.Second // until an owner is likely to be there again
)

// defaultBodyBytes bounds a body where the manifest does not.
const defaultBodyBytes = 256 << 10

// Options of a front.
type Options struct {
	Clock    clock.Clock
	Logger   zerolog.Logger
	Metrics  *metrics.Set
	Manifest func() manifest.Manifest // Version 0: none is known yet
	Desk     relay.Desk
	// Patience returns how long a caller waits for its answer.
	Patience func(request *http.Request, fallback clock.Millis) clock.Millis
	// Decode reads the body of a submission.
	Decode func(data []byte) (job.Spec, error)
	// State and Count give the bodies of answers.
	State func(state job.State) any
	Count func(waiting int) any
	// Requests serves what no queue takes: requests that get their answer from
	// a backend server. Without it, there is no such route.
	Requests http.Handler
}

// Front answers consumers.
type Front struct {
	options Options
}

// New returns the handler of consumers' requests.
func New(options Options) *Front { return &Front{options: options} }

// answer is what a caller gets.
type answer struct {
	status     int
	body       any // nil: the reason alone
	reason     string
	retryAfter clock.Millis
}

// problem is the body of an answer that is not 200.
type problem struct {
	Reason string `json:"reason"`
}

// exchange is one request with what was found out about it.
type exchange struct {
	request *http.Request
	queue   manifest.Queue
	rest    string // of the path, after the queue's prefix
	tables  manifest.Manifest
	reply   relay.Reply
	started clock.Millis
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if f.passOn(writer, request) {
		return
	}
	x := &exchange{request: request, started: f.options.Clock.Now(), tables: f.options.Manifest()}
	patience := max(f.options.Patience(request, defaultPatience)-answerMargin, leastPatience)
	ctx, cancel := context.WithTimeout(request.Context(), patience.Duration())
	defer cancel()
	result := f.answer(ctx, x)
	f.write(writer, result)
	f.log(x, result)
}

// passOn gives a request that no queue takes to the request side, if there is
// one.
func (f *Front) passOn(writer http.ResponseWriter, request *http.Request) bool {
	if f.options.Requests == nil {
		return false
	}
	if _, _, queued := f.options.Manifest().Match(request.Host, request.URL.Path); queued {
		return false
	}
	f.options.Requests.ServeHTTP(writer, request)
	return true
}

func (f *Front) answer(ctx context.Context, x *exchange) answer {
	if x.tables.Version == 0 {
		return answer{status: http.StatusServiceUnavailable, reason: "no manifest is known yet", retryAfter: retrySoon}
	}
	queue, rest, ok := x.tables.Match(x.request.Host, x.request.URL.Path)
	if !ok {
		return answer{status: http.StatusNotFound, reason: "no such route"}
	}
	x.queue, x.rest = queue, rest
	if rest == "" {
		return f.count(ctx, x)
	}
	if err := job.CheckID(job.ID(rest)); err != nil {
		return answer{status: http.StatusBadRequest, reason: err.Error()}
	}
	switch x.request.Method {
	case http.MethodPost:
		return f.submit(ctx, x)
	case http.MethodGet:
		return f.state(ctx, x)
	case http.MethodDelete:
		return f.cancel(ctx, x)
	}
	return answer{status: http.StatusMethodNotAllowed, reason: "POST, GET and DELETE are allowed"}
}

func (f *Front) count(ctx context.Context, x *exchange) answer {
	if x.request.Method != http.MethodGet {
		return answer{status: http.StatusBadRequest, reason: "the path names no job"}
	}
	x.reply = f.options.Desk.Waiting(ctx, x.queue.Name)
	if x.reply.Outcome != relay.Answered {
		return unavailable("no owner is known")
	}
	return answer{status: http.StatusOK, body: f.options.Count(x.reply.Count)}
}

func (f *Front) submit(ctx context.Context, x *exchange) answer {
	spec, failed := f.read(x)
	if failed.status != 0 {
		return failed
	}
	x.reply = f.options.Desk.Submit(ctx, spec)
	return replyAnswer(x.reply, "whether the job was recorded is not known")
}

// read reads and checks a submission; a failed answer has a status.
func (f *Front) read(x *exchange) (spec job.Spec, failed answer) {
	limit := x.tables.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	data, err := io.ReadAll(http.MaxBytesReader(nil, x.request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return spec, answer{status: http.StatusRequestEntityTooLarge, reason: "the body is over " + strconv.FormatInt(limit, 10) + " bytes"}
	}
	if err != nil {
		return spec, answer{status: http.StatusBadRequest, reason: "the body could not be read"}
	}
	spec, err = f.options.Decode(data)
	if err != nil {
		return spec, answer{status: http.StatusBadRequest, reason: err.Error()}
	}
	spec.ID, spec.Queue = job.ID(x.rest), x.queue.Name
	err = spec.Check()
	if errors.Is(err, job.ErrUnsupported) {
		return spec, answer{status: http.StatusNotImplemented, reason: err.Error()}
	}
	if err != nil {
		return spec, answer{status: http.StatusBadRequest, reason: err.Error()}
	}
	return spec, answer{}
}

func (f *Front) state(ctx context.Context, x *exchange) answer {
	x.reply = f.options.Desk.Lookup(ctx, job.ID(x.rest))
	if x.reply.Outcome != relay.Answered {
		return unavailable("no owner is known")
	}
	if x.reply.Verdict.Ruling == owner.Taken {
		return answer{status: http.StatusOK, body: f.options.State(x.reply.State)}
	}
	return verdictAnswer(x.reply.Verdict)
}

func (f *Front) cancel(ctx context.Context, x *exchange) answer {
	x.reply = f.options.Desk.Cancel(ctx, job.ID(x.rest))
	return replyAnswer(x.reply, "whether the job was cancelled is not known")
}

// replyAnswer turns a reply into a status; doubt is the reason where it is not
// known what the owner did.
func replyAnswer(reply relay.Reply, doubt string) answer {
	switch reply.Outcome {
	case relay.NotRun:
		return unavailable("no owner is known")
	case relay.Unknown:
		return answer{status: http.StatusGatewayTimeout, reason: doubt}
	case relay.Answered:
	}
	return verdictAnswer(reply.Verdict)
}

func verdictAnswer(verdict owner.Verdict) answer {
	switch verdict.Ruling {
	case owner.Taken:
		return answer{status: http.StatusOK, reason: "ok"}
	case owner.Missing:
		return answer{status: http.StatusGone, reason: verdict.Reason}
	case owner.Invalid:
		return answer{status: http.StatusUnprocessableEntity, reason: verdict.Reason}
	case owner.Unsupported:
		return answer{status: http.StatusNotImplemented, reason: verdict.Reason}
	case owner.Refused, owner.Elsewhere:
	}
	return answer{status: http.StatusServiceUnavailable, reason: verdict.Reason, retryAfter: max(verdict.RetryAfter, retrySoon)}
}

func unavailable(reason string) answer {
	return answer{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retrySoon}
}

func (f *Front) write(writer http.ResponseWriter, result answer) {
	body := result.body
	if body == nil {
		body = problem{Reason: result.reason}
	}
	data, err := json.Marshal(body)
	if err != nil {
		f.options.Logger.Error().Err(err).Msg("an answer cannot be encoded")
		result.status = http.StatusInternalServerError
	}
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	if result.retryAfter > 0 {
		seconds := (result.retryAfter + clock.Second - 1) / clock.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	writer.WriteHeader(result.status)
	_, _ = writer.Write(data) // a caller that has left needs no answer
}

// log writes one line for a request that changes something or that was not
// answered as asked; questions that were answered are only counted.
func (f *Front) log(x *exchange, result answer) {
	took := f.options.Clock.Now() - x.started
	f.options.Metrics.GetOrCreateCounter(
		`oriolepier_requests_total{method="` + x.request.Method + `",status="` + strconv.Itoa(result.status) + `"}`).Inc()
	f.options.Metrics.GetOrCreateHistogram(
		`oriolepier_request_seconds{method="` + x.request.Method + `"}`).Update(float64(took) / float64(clock.Second))
	if x.request.Method == http.MethodGet && result.status == http.StatusOK {
		return
	}
	f.options.Logger.Info().Str("event", "request_answered").Str("method", x.request.Method).Str("job", x.rest).
		Str("queue", x.queue.Name).Int("status", result.status).Str("reason", result.reason).
		Int64("took_ms", int64(took)).Int("tries", x.reply.Tries).Int64("epoch", x.reply.Epoch).
		Int64("manifest", x.tables.Version).Int64("retry_after_ms", int64(result.retryAfter)).Send()
}
