package front

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/sebdah/goldie/v2"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/ownership"
	"github.com/oriolepier/oriolepier/internal/site/relay"
	"github.com/oriolepier/oriolepier/platform"
)

const id = "5c0e7a21d94b36f8"

// newHandler returns a Handler with one queue and an owner in this process.
func newHandler(localOwner *relay.LocalOwner, version int64) *Handler {
	tables := manifest.New(version, []manifest.Queue{{Name: "q", Host: "h.example", PathPrefix: "/q/"}}, nil, manifest.Limits{BodyBytes: 4096})
	return New(Options{
		Clock: clock.New(), Logger: zerolog.Nop(), Metrics: metrics.NewSet(),
		Manifest: func() manifest.Manifest { return tables },
		Client: relay.New(relay.Options{
			Clock: clock.New(), Current: func() ownership.Record { return ownership.Record{} },
			LocalOwner: func() *relay.LocalOwner { return localOwner },
		}),
		CallerTimeout: platform.CallerTimeout, Decode: platform.DecodeSubmission,
		State: func(state job.State) any { return platform.EncodeState(state) },
		Count: func(waiting int) any { return platform.CountBody{Waiting: waiting} },
	})
}

// exchangeText returns a request and its answer as text.
func exchangeText(front *Handler, method, target, body string) string {
	request := httptest.NewRequest(method, "http://h.example"+target, strings.NewReader(body))
	request.Header.Set("Oriolepier-Deadline-Ms", "400")
	answer := httptest.NewRecorder()
	front.ServeHTTP(answer, request)
	shortBody := body
	if len(shortBody) > 120 {
		shortBody = shortBody[:120] + "..."
	}
	return fmt.Sprintf("%s %s %s\n-> %d retry-after=%q %s\n\n", method, target, shortBody,
		answer.Code, answer.Header().Get("Retry-After"), answer.Body)
}

// Each kind of bad input is answered by an error status with a specific reason.
func TestServeHTTPBadInput(t *testing.T) {
	localOwner := &relay.LocalOwner{
		Submit: func(context.Context, job.Spec, clock.Millis) owner.Verdict {
			return owner.Verdict{Ruling: owner.Recorded}
		},
		Cancel: func(context.Context, owner.JobRef) owner.Verdict {
			return owner.Verdict{Ruling: owner.NotFound, Reason: "no such job"}
		},
		Lookup:       func(context.Context, owner.JobRef) owner.LookupResult { return owner.LookupResult{State: job.Running} },
		CountWaiting: func(context.Context, string) (int, bool) { return 12, true },
	}
	front := newHandler(localOwner, 7)
	var text bytes.Buffer
	good := `{"specification":"x","steps":[{"count":1,"cpu":100}],"unknown":true}`
	for _, exchange := range []struct{ method, target, body string }{
		{http.MethodPost, "/q/" + id, good},
		{http.MethodGet, "/q/" + id, ""},
		{http.MethodDelete, "/q/" + id, ""},
		{http.MethodGet, "/q/", ""},
		{http.MethodPost, "/q/", good},
		{http.MethodPut, "/q/" + id, good},
		{http.MethodPost, "/other/" + id, good},
		{http.MethodPost, "/q/5c0e", good},
		{http.MethodPost, "/q/5c0e7a21d94b36fg", good},
		{http.MethodPost, "/q/" + id, ""},
		{http.MethodPost, "/q/" + id, "{"},
		{http.MethodPost, "/q/" + id, `{"steps":"x"}`},
		{http.MethodPost, "/q/" + id, `{"steps":[]}`},
		{http.MethodPost, "/q/" + id, `{"steps":[{"count":0}]}`},
		{http.MethodPost, "/q/" + id, `{"steps":[{"count":1,"cpu":-1}]}`},
		{http.MethodPost, "/q/" + id, `{"steps":[{"count":1},{"count":1,"after":[1]}]}`},
		{http.MethodPost, "/q/" + id, `{"steps":[{"count":1,"after":[0]}]}`},
		{http.MethodPost, "/q/" + id, `{"specification":"` + strings.Repeat("x", job.MaxTextBytes+1) + `","steps":[{"count":1}]}`},
		{http.MethodPost, "/q/" + id, `{"specification":"` + strings.Repeat("x", 5000) + `"}`},
	} {
		text.WriteString(exchangeText(front, exchange.method, exchange.target, exchange.body))
	}
	goldie.New(t).Assert(t, "bad_input", text.Bytes())
}

// The status must not claim more than is known: 503 only if the job was not
// recorded, for each verdict and without an owner.
func TestServeHTTPOwnerVerdicts(t *testing.T) {
	var text bytes.Buffer
	good := `{"steps":[{"count":1,"cpu":100}]}`
	for _, verdict := range []owner.Verdict{
		{Ruling: owner.Recorded},
		{Ruling: owner.Refused, Reason: "the store does not answer", RetryAfter: 1500},
		{Ruling: owner.Invalid, Reason: "a task is larger than any worker of its pool"},
		{Ruling: owner.Unsupported, Reason: "not supported"},
		{Ruling: owner.NotOwner, Reason: "ownership lost"},
	} {
		localOwner := &relay.LocalOwner{Submit: func(context.Context, job.Spec, clock.Millis) owner.Verdict { return verdict }}
		text.WriteString(verdict.Ruling.String() + ": " + exchangeText(newHandler(localOwner, 7), http.MethodPost, "/q/"+id, good))
	}
	text.WriteString("no owner: " + exchangeText(newHandler(nil, 7), http.MethodPost, "/q/"+id, good))
	text.WriteString("no owner: " + exchangeText(newHandler(nil, 7), http.MethodGet, "/q/"+id, ""))
	text.WriteString("no owner: " + exchangeText(newHandler(nil, 7), http.MethodDelete, "/q/"+id, ""))
	text.WriteString("no manifest: " + exchangeText(newHandler(nil, 0), http.MethodPost, "/q/"+id, good))
	goldie.New(t).Assert(t, "rulings", text.Bytes())
}
