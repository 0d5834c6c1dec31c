package front

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/access"
	"github.com/oriolepier/oriolepier/internal/site/relay"
)

// guarded is a handler with a guard, and what its entry knows.
type guarded struct {
	handler  *Handler
	tables   manifest.Manifest
	fake     *clock.Fake
	provenAt clock.Millis
	received []string // customers of the calls that the owner received
	verdict  owner.Verdict
}

func newGuarded() *guarded {
	g := &guarded{fake: clock.NewFake(clock.Hour), provenAt: clock.Hour}
	g.publish(manifest.Customer{Name: "a", Keys: []manifest.Key{manifest.NewKey("of-a")}})
	receive := func(customer string) owner.Verdict {
		g.received = append(g.received, customer)
		return g.verdict
	}
	g.handler = newHandler(&relay.LocalOwner{
		Submit: func(_ context.Context, spec job.Spec, _ clock.Millis) owner.Verdict { return receive(spec.Customer) },
		Cancel: func(_ context.Context, ref owner.JobRef) owner.Verdict { return receive(ref.Customer) },
		Lookup: func(_ context.Context, ref owner.JobRef) owner.LookupResult {
			return owner.LookupResult{Verdict: receive(ref.Customer)}
		},
	}, 7)
	g.handler.options.Clock = g.fake.Clock()
	g.handler.options.Access = access.New(access.Options{
		Rules: access.NewRules(true, 5000, 3000), Clock: g.fake.Clock(), Logger: zerolog.Nop(), Metrics: metrics.NewSet(),
		Manifest: func() manifest.Manifest { return g.tables }, ProvenAt: func() clock.Millis { return g.provenAt },
	})
	return g
}

// publish puts a manifest with these customers in force.
func (g *guarded) publish(customers ...manifest.Customer) {
	queues := []manifest.Queue{{Name: "q", Host: "h.example", PathPrefix: "/q/"}, {Name: "o", Host: "h.example", PathPrefix: "/o/", Public: true}}
	g.tables = manifest.New(7, queues, nil, manifest.Limits{}).WithCustomers(customers)
}

// call returns the status of a call whose body is read through the given reader.
func (g *guarded) call(method, target, secret string, body io.Reader) int {
	request := httptest.NewRequest(method, "http://h.example"+target, body)
	if secret != "" {
		request.Header.Set("Authorization", "Bearer "+secret)
	}
	answer := httptest.NewRecorder()
	g.handler.ServeHTTP(answer, request)
	return answer.Code
}

// slowBody calls arrived before its text is read.
type slowBody struct {
	text    io.Reader
	arrived func()
}

func (b *slowBody) Read(data []byte) (int, error) {
	b.arrived()
	return b.text.Read(data)
}

const submission = `{"steps":[{"count":1}]}`

// A refused call's body is not read, and a call whose key is removed, or whose entry is
// cut off, while its body arrives is not forwarded.
func TestAccessAndBodies(t *testing.T) {
	var read bool
	cases := []struct {
		name, secret string
		whileReading func(g *guarded)
		status       int
		read         bool
		received     []string
	}{
		{"a key", "of-a", func(*guarded) {}, http.StatusOK, true, []string{"a"}},
		{"no key", "", func(*guarded) {}, http.StatusUnauthorized, false, nil},
		{"a key that is removed", "of-a", func(g *guarded) { g.publish(manifest.Customer{Name: "a"}) }, http.StatusUnauthorized, true, nil},
		{"a key that is moved", "of-a", func(g *guarded) {
			g.publish(manifest.Customer{Name: "b", Keys: []manifest.Key{manifest.NewKey("of-a")}})
		}, http.StatusOK, true, []string{"b"}},
		{"a proof that becomes stale", "of-a", func(g *guarded) { g.fake.Advance(4600) }, http.StatusServiceUnavailable, true, nil},
	}
	for _, c := range cases {
		g := newGuarded()
		read = false
		body := &slowBody{text: strings.NewReader(submission), arrived: func() {
			if !read {
				c.whileReading(g)
			}
			read = true
		}}
		status := g.call(http.MethodPost, "/q/"+id, c.secret, body)
		if diff := cmp.Diff([]any{c.status, c.read, c.received}, []any{status, read, g.received}); diff != "" {
			t.Errorf("%s: status, whether the body was read, customers at the owner (-want +got):\n%s", c.name, diff)
		}
	}
}

// On a public route, a call with a key that cannot be checked counts as nobody's. It must
// not be told that a job does not exist, which may be its customer's.
func TestAccessToPublicRouteWithoutProof(t *testing.T) {
	statuses := func(verdict owner.Verdict, secret string) []int {
		g := newGuarded()
		g.verdict = verdict
		g.fake.Advance(clock.Minute)
		got := []int{g.call(http.MethodGet, "/o/"+id, secret, nil), g.call(http.MethodDelete, "/o/"+id, secret, nil), g.call(http.MethodPost, "/o/"+id, secret, strings.NewReader(submission))}
		if diff := cmp.Diff([]string{"", "", ""}, g.received); diff != "" {
			t.Errorf("customers at the owner (-want +got):\n%s", diff)
		}
		return got
	}
	notFound, invalid, recorded := owner.Verdict{Ruling: owner.NotFound}, owner.Verdict{Ruling: owner.Invalid}, owner.Verdict{}
	got := [][]int{statuses(recorded, "of-a"), statuses(notFound, "of-a"), statuses(notFound, ""), statuses(invalid, "of-a"), statuses(invalid, "")}
	want := [][]int{{200, 200, 200}, {503, 503, 503}, {410, 410, 410}, {503, 503, 503}, {422, 422, 422}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("statuses of GET, DELETE and POST: recorded, not found and invalid, each with and without a key (-want +got):\n%s", diff)
	}
}
