package gate_test

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
	"github.com/oriolepier/oriolepier/internal/traffic/gate"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

// outcome is what a caller got and what ran for it.
type outcome struct {
	status  int
	whole   bool
	problem problem.Problem
	ran     int
}

func (o outcome) String() string {
	switch {
	case !o.whole:
		return fmt.Sprintf("aborted, ran %d", o.ran)
	case o.problem.Step != "":
		return fmt.Sprintf("%d %s at %s, ran %d", o.status, o.problem.Outcome, o.problem.Step, o.ran)
	default:
		return fmt.Sprintf("%d, ran %d", o.status, o.ran)
	}
}

// call sends a request through a gate and reads the answer to its end.
func call(t *testing.T, under *gate.Gate, edit func(*http.Request)) outcome {
	front := httptest.NewServer(under)
	defer front.Close()
	req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+"/ration", strings.NewReader("dogs"))
	req.Header.Set(backend.RequestID, "caller-1")
	if edit != nil {
		edit(req)
	}
	answer, err := front.Client().Do(req)
	if err != nil {
		return outcome{}
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	got := outcome{status: answer.StatusCode, whole: err == nil}
	if answer.Header.Get("Content-Type") == "application/problem+json" {
		_ = json.Unmarshal(body, &got.problem)
	} else if got.whole && string(body) != "whole" && string(body) != longBody && got.status == http.StatusOK {
		t.Errorf("an answer of %d bytes passes for a whole one", len(body))
	}
	if got.whole && answer.Header.Get(backend.RequestID) == "" {
		t.Error("the answer carries no request id")
	}
	return got
}

// hold checks what must hold in each cell of the matrix.
func hold(t *testing.T, name string, repeatable bool, got outcome) {
	if got.problem.Outcome.Certain() && got.ran > 0 {
		t.Errorf("%s: refused as %s, but it ran %d times", name, got.problem.Outcome, got.ran)
	}
	if !repeatable && got.ran > 1 {
		t.Errorf("%s: ran %d times", name, got.ran)
	}
	if got.whole && got.problem.Step == "" && got.status == http.StatusOK && got.ran == 0 {
		t.Errorf("%s: answered without work", name)
	}
}

// quick is the route of rows that wait for the deadline.
func quick() route.Route { return table().WithDeadline(200) }

// row is a fault that lies with the caller, the tables or the connection.
type row struct {
	step, fault string
	edit        func(*http.Request)
	snap        func(*view.Snapshot)
	dial        func(context.Context, string, string) (net.Conn, error)
}

// rows are made anew for each run, as their bodies are read once.
func rows() []row {
	return []row{
		{step: "accept", fault: "bad id", edit: header(backend.RequestID, "a b")},
		{step: "accept", fault: "two ids", edit: func(r *http.Request) { r.Header.Add(backend.RequestID, "x") }},
		{step: "accept", fault: "bad repeatable", edit: header(backend.Repeatable, "maybe")},
		{step: "accept", fault: "bad deadline", edit: header(backend.DeadlineMS, "-1")},
		{step: "accept", fault: "dot segment", edit: func(r *http.Request) { r.URL.Path = "/ration/../admin" }},
		{step: "accept", fault: "upgrade", edit: header("Upgrade", "x")},
		{step: "accept", fault: "body above the limit", edit: body(strings.NewReader(longBody + longBody))},
		{step: "accept", fault: "chunked body above the limit", edit: body(io.MultiReader(strings.NewReader(longBody + longBody)))},
		{step: "accept", fault: "body breaks off", edit: body(io.MultiReader(strings.NewReader("do"), broken{}))},
		{step: "accept", fault: "body stalls", edit: body(io.MultiReader(strings.NewReader("do"), stalled{})), snap: func(s *view.Snapshot) { s.Routes[0] = quick() }},
		{step: "accept", fault: "too many fields", edit: func(r *http.Request) {
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
		{step: "connect", fault: "no answer", snap: func(s *view.Snapshot) { s.Routes[0] = quick() }, dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
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

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

type stalled struct{}

// Read blocks until the transport gives up on the answered request.
func (stalled) Read([]byte) (int, error) { select {} }

// TestFaultMatrix brings about each fault at each step, for repeatable and not
// repeatable requests, and checks every promise. What a caller gets is kept in
// a golden file.
func TestFaultMatrix(t *testing.T) {
	var text strings.Builder
	note := func(step, fault string, repeatable bool, got outcome) {
		hold(t, step+": "+fault, repeatable, got)
		_, _ = fmt.Fprintf(&text, "%-12s%-32s%-16s%s\n", step, fault, map[bool]string{true: "repeatable", false: "not repeatable"}[repeatable], got)
	}
	for _, row := range rows() {
		worker := startWorker(t, sound)
		snap := snapshot(table(), worker.address, worker.address)
		if row.snap != nil {
			row.snap(snap)
		}
		got := call(t, start(t, snap, row.dial), row.edit)
		got.ran = int(worker.ran.Load())
		note(row.step, row.fault, false, got)
	}
	for _, row := range behaviours {
		for _, repeatable := range []bool{false, true} {
			worker, other := startWorker(t, row.behave), startWorker(t, row.behave)
			route := table()
			if row.fault == "hangs" {
				route = quick()
			}
			route.Repeatable = repeatable
			got := call(t, start(t, snapshot(route, worker.address, other.address), nil), nil)
			got.ran = int(worker.ran.Load() + other.ran.Load())
			note(row.step, row.fault, repeatable, got)
		}
	}
	goldie.New(t).Assert(t, "matrix", []byte(text.String()))
}
