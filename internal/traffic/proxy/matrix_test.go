package proxy_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/oriolepier/oriolepier/internal/base/problem"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/traffic/backend"
	"github.com/oriolepier/oriolepier/internal/traffic/proxy"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

// callResult is what a caller received and how often its request ran.
type callResult struct {
	status   int
	complete bool
	problem  problem.Problem
	runs     int
}

func (result callResult) String() string {
	switch {
	case !result.complete:
		return fmt.Sprintf("aborted, ran %d", result.runs)
	case result.problem.Step != "":
		return fmt.Sprintf("%d %s at %s, ran %d", result.status, result.problem.Outcome, result.problem.Step, result.runs)
	default:
		return fmt.Sprintf("%d, ran %d", result.status, result.runs)
	}
}

// call sends a request through a proxy and reads the answer to its end.
func call(t *testing.T, g *proxy.Proxy, edit func(*http.Request)) callResult {
	front := httptest.NewServer(g)
	defer front.Close()
	req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+"/ration", strings.NewReader("dogs"))
	req.Header.Set(backend.RequestID, "caller-1")
	if edit != nil {
		edit(req)
	}
	answer, err := front.Client().Do(req)
	if err != nil {
		return callResult{}
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	got := callResult{status: answer.StatusCode, complete: err == nil}
	if answer.Header.Get("Content-Type") == "application/problem+json" {
		_ = json.Unmarshal(body, &got.problem)
	} else if got.complete && string(body) != "whole" && string(body) != longBody && got.status == http.StatusOK {
		t.Errorf("a truncated answer of %d bytes was received as complete", len(body))
	}
	if got.complete && answer.Header.Get(backend.RequestID) == "" {
		t.Error("the answer carries no request id")
	}
	return got
}

// checkGuarantees checks what holds under every fault: a request refused as not
// run never ran, one that is not repeatable ran at most once, and an answered
// one ran.
func checkGuarantees(t *testing.T, name string, repeatable bool, got callResult) {
	if got.problem.Outcome.DidNotRun() && got.runs > 0 {
		t.Errorf("%s: refused as %s, but it ran %d times", name, got.problem.Outcome, got.runs)
	}
	if !repeatable && got.runs > 1 {
		t.Errorf("%s: ran %d times", name, got.runs)
	}
	if got.complete && got.problem.Step == "" && got.status == http.StatusOK && got.runs == 0 {
		t.Errorf("%s: answered without a run", name)
	}
}

// shortDeadlineRoute is the route of the faults that last until the deadline.
func shortDeadlineRoute() route.Route { return testRoute().WithDeadline(200) }

// faultCase is a fault of the caller, the configuration or the connection.
type faultCase struct {
	step, fault string
	editRequest func(*http.Request)
	snap        func(*view.Snapshot) // edits the snapshot
	dial        func(context.Context, string, string) (net.Conn, error)
}

// faultCases returns new cases for each run, as a body can be read only once.
func faultCases() []faultCase {
	return []faultCase{
		{step: "accept", fault: "bad id", editRequest: header(backend.RequestID, "a b")},
		{step: "accept", fault: "two ids", editRequest: func(r *http.Request) { r.Header.Add(backend.RequestID, "x") }},
		{step: "accept", fault: "bad repeatable", editRequest: header(backend.Repeatable, "maybe")},
		{step: "accept", fault: "bad deadline", editRequest: header(backend.DeadlineMS, "-1")},
		{step: "accept", fault: "dot segment", editRequest: func(r *http.Request) { r.URL.Path = "/ration/../admin" }},
		{step: "accept", fault: "upgrade", editRequest: header("Upgrade", "x")},
		{step: "accept", fault: "body above the limit", editRequest: body(strings.NewReader(longBody + longBody))},
		{step: "accept", fault: "chunked body above the limit", editRequest: body(io.MultiReader(strings.NewReader(longBody + longBody)))},
		{step: "accept", fault: "body breaks off", editRequest: body(io.MultiReader(strings.NewReader("do"), brokenReader{}))},
		{step: "accept", fault: "body stalls", editRequest: body(io.MultiReader(strings.NewReader("do"), stalledReader{})), snap: func(s *view.Snapshot) { s.Routes[0] = shortDeadlineRoute() }},
		{step: "accept", fault: "too many fields", editRequest: func(r *http.Request) {
			for i := range 200 {
				r.Header.Set(fmt.Sprintf("X-%d", i), "1")
			}
		}},
		{step: "match", fault: "no route", snap: func(s *view.Snapshot) { s.Routes = nil }},
		{step: "match", fault: "other method", snap: func(s *view.Snapshot) { s.Routes[0].Match.Methods = []string{"PUT"} }},
		{step: "match", fault: "batch route", snap: func(s *view.Snapshot) { s.Routes[0].Class = route.Batch }},
		{step: "choose", fault: "no pool", snap: func(s *view.Snapshot) { s.Pools = nil }},
		{step: "choose", fault: "all leaving", snap: func(s *view.Snapshot) {
			for i := range s.Pools["serving"].Backends {
				s.Pools["serving"].Backends[i].Draining = true
			}
		}},
		{step: "choose", fault: "failure domain out", snap: func(s *view.Snapshot) { s.DomainsOut = map[string]bool{"a": true} }},
		{step: "connect", fault: "refused", dial: func(context.Context, string, string) (net.Conn, error) {
			return nil, errors.New("connection refused")
		}},
		{step: "connect", fault: "no answer", snap: func(s *view.Snapshot) { s.Routes[0] = shortDeadlineRoute() }, dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}},
		{step: "send", fault: "breaks before the first byte", dial: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			_ = far.Close()
			return near, nil
		}},
	}
}

func header(name, value string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(name, value) }
}

func body(reader io.Reader) func(*http.Request) {
	return func(r *http.Request) {
		r.Body = io.NopCloser(reader)
		r.ContentLength = -1
		if sized, ok := reader.(*strings.Reader); ok {
			r.ContentLength = int64(sized.Len())
		}
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

type stalledReader struct{}

// Read blocks for ever; the transport abandons it once the request is answered.
func (stalledReader) Read([]byte) (int, error) { select {} }

// TestFaultMatrix injects each fault at each step, for repeatable and not
// repeatable requests, and checks what must hold under all of them. What the
// caller receives is compared with a golden file.
func TestFaultMatrix(t *testing.T) {
	var text strings.Builder
	record := func(step, fault string, repeatable bool, got callResult) {
		checkGuarantees(t, step+": "+fault, repeatable, got)
		_, _ = fmt.Fprintf(&text, "%-12s%-32s%-16s%s\n", step, fault, map[bool]string{true: "repeatable", false: "not repeatable"}[repeatable], got)
	}
	for _, faultCase := range faultCases() {
		server := startScriptedServer(t, succeeds)
		snap := testSnapshot(testRoute(), server.address, server.address)
		if faultCase.snap != nil {
			faultCase.snap(snap)
		}
		got := call(t, startProxy(t, snap, faultCase.dial), faultCase.editRequest)
		got.runs = int(server.runs.Load())
		record(faultCase.step, faultCase.fault, false, got)
	}
	for _, faultCase := range serverFaults {
		for _, repeatable := range []bool{false, true} {
			server, other := startScriptedServer(t, faultCase.script), startScriptedServer(t, faultCase.script)
			rt := testRoute()
			if faultCase.fault == "hangs" {
				rt = shortDeadlineRoute()
			}
			rt.Repeatable = repeatable
			got := call(t, startProxy(t, testSnapshot(rt, server.address, other.address), nil), nil)
			got.runs = int(server.runs.Load() + other.runs.Load())
			record(faultCase.step, faultCase.fault, repeatable, got)
		}
	}
	goldie.New(t).Assert(t, "matrix", []byte(text.String()))
}
