package load

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/base/problem"
	"github.com/oriolepier/oriolepier/internal/platform/backend"
	"github.com/oriolepier/oriolepier/internal/standin/machine"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

// script answers each call by the next of its steps, the last one for ever.
type script struct {
	steps []http.HandlerFunc

	mu    sync.Mutex
	calls []*http.Request
}

func (script *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	script.mu.Lock()
	step := script.steps[min(len(script.calls), len(script.steps)-1)]
	script.calls = append(script.calls, r)
	script.mu.Unlock()
	step(w, r)
}

func (script *script) seen() []*http.Request {
	script.mu.Lock()
	defer script.mu.Unlock()
	return script.calls
}

func good(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(backend.RequestID)
	size, _ := strconv.Atoi(r.FormValue(machine.AnswerBytes))
	w.Header().Set(backend.RequestID, id)
	_, _ = w.Write(witness.Body(id, size))
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	problem.Write(w, problem.Problem{Status: http.StatusServiceUnavailable, Outcome: fault.NotRun})
}

func invalid(w http.ResponseWriter, _ *http.Request) {
	problem.Write(w, problem.Problem{Status: http.StatusUnprocessableEntity, Outcome: fault.NotRun})
}

func broken(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func cut(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "5000")
	good(w, r)
}

func unclear(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }

func other(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(backend.RequestID, r.Header.Get(backend.RequestID))
	_, _ = w.Write(witness.Body("other", 100))
}

func accepted(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusAccepted)
	_, _ = w.Write([]byte(`{"id":"a.0-1"}`))
}

func newCaller(t *testing.T, record *witness.Witness, steps ...http.HandlerFunc) (*Caller, *script) {
	t.Helper()
	script := &script{steps: steps}
	server := httptest.NewServer(script)
	t.Cleanup(server.Close)
	entry := Entry{Name: "entry", Address: strings.TrimPrefix(server.URL, "http://")}
	caller := New(Options{
		Name: "caller", Clock: clock.NewFake(clock.Hour).Clock(), Observe: record.Observer(), Tries: 3,
		Entries: func() []Entry { return []Entry{entry} },
	})
	t.Cleanup(caller.Close)
	return caller, script
}

func TestRequestOutcomes(t *testing.T) {
	type steps = []http.HandlerFunc
	cases := []struct {
		name          string
		notRepeatable bool
		steps         steps
		want          witness.Kind
		attempts      int
	}{
		{"answered", false, steps{good}, witness.RequestAnswered, 1},
		{"answered elsewhere", true, steps{notRun, good}, witness.RequestAnswered, 2},
		{"refused by all", false, steps{notRun}, witness.RequestRefused, 3},
		{"answer of another", false, steps{other}, witness.RequestWrong, 1},
		{"broken, repeatable", false, steps{broken, good}, witness.RequestAnswered, 2},
		{"broken, not repeatable", true, steps{broken, good}, witness.RequestUnknown, 1},
		{"cut, not repeatable", true, steps{cut, good}, witness.RequestUnknown, 1},
		{"bare status, not repeatable", true, steps{unclear, good}, witness.RequestUnknown, 1},
		{"broken once, then refused", false, steps{broken, notRun}, witness.RequestUnknown, 3},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			record := witness.New(witness.Options{})
			caller, script := newCaller(t, record, test.steps...)
			outcome := caller.Request(t.Context(), Request{
				Path: "/ration", NotRepeatable: test.notRepeatable, Body: []byte("b"), AnswerBytes: 100, DeadlineMS: clock.Minute,
			})
			if outcome.Kind != test.want || outcome.Attempts != test.attempts {
				t.Errorf("%s after %d attempts (%v), want %s after %d", outcome.Kind, outcome.Attempts, outcome.Err, test.want, test.attempts)
			}
			if first := script.seen()[0]; first.Header.Get(backend.RequestID) != outcome.ID || first.Header.Get(backend.DeadlineMS) == "" {
				t.Errorf("headers %v", first.Header)
			}
			verdict := record.Verdict()
			seen := map[witness.Kind]int{
				witness.RequestAnswered: verdict.RequestsAnswered, witness.RequestRefused: verdict.RequestsRefusedNotRun,
				witness.RequestWrong: verdict.RequestsWrongAnswer, witness.RequestUnknown: verdict.RequestsUnknown,
			}
			if seen[test.want] != 1 || verdict.RequestsSent != 1 {
				t.Errorf("the witness saw %v", seen)
			}
		})
	}
}

func TestNoEntryIsReached(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	record := witness.New(witness.Options{})
	for name, entries := range map[string][]Entry{"none offered": nil, "nobody listens": {{Address: strings.TrimPrefix(closed.URL, "http://")}}} {
		caller := New(Options{Clock: clock.NewFake(0).Clock(), Observe: record.Observer(), Entries: func() []Entry { return entries }})
		if outcome := caller.Request(t.Context(), Request{Path: "/", DeadlineMS: clock.Minute}); outcome.Kind != witness.RequestRefused {
			t.Errorf("%s: %+v", name, outcome)
		}
	}
}

func TestSubmit(t *testing.T) {
	type steps = []http.HandlerFunc
	want := func(accepted, refused bool) witness.Verdict {
		verdict := witness.Verdict{Violations: []string{}}
		if accepted {
			verdict.TasksAccepted, verdict.TasksOpen = 1, 1
		}
		if refused {
			verdict.TasksRefusedButRan = 1
		}
		return verdict
	}
	cases := []struct {
		name    string
		steps   steps
		id      string
		calls   int
		verdict witness.Verdict
	}{
		{"accepted", steps{accepted}, "a.0-1", 1, want(true, false)},
		{"accepted after many refusals", steps{notRun, notRun, notRun, notRun, accepted}, "a.0-1", 5, want(true, false)},
		{"asked again with the same key", steps{broken, unclear, accepted}, "a.0-1", 3, want(true, false)},
		{"at fault itself", steps{invalid}, "", 1, want(false, true)},
		{"unknown once, then at fault", steps{broken, invalid}, "", 2, want(false, false)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			record := witness.New(witness.Options{})
			caller, script := newCaller(t, record, test.steps...)
			id, err := caller.Submit(t.Context(), Task{Key: "k", Route: "forecast", Payload: machine.Payload{RunMS: 5}})
			if id != test.id || (err == nil) != (test.id != "") || len(script.seen()) != test.calls {
				t.Errorf("id %q after %d calls, %v", id, len(script.seen()), err)
			}
			// A run of a task that was refused for certain is a violation.
			if test.id == "" {
				record.Note(witness.Event{Kind: witness.Booted, VM: "a1"})
				record.Note(witness.Event{Kind: witness.TaskStarted, VM: "a1", Job: "j", Key: "caller/k", Attempt: 1})
				test.verdict.TaskRuns = 1
			}
			got := record.Verdict()
			got.Violations = []string{}
			if diff := cmp.Diff(test.verdict, got); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
		})
	}
}

func TestSubmissionAndStatus(t *testing.T) {
	var seen submission
	record := witness.New(witness.Options{})
	caller, script := newCaller(t, record,
		func(w http.ResponseWriter, r *http.Request) {
			_ = json.NewDecoder(r.Body).Decode(&seen)
			accepted(w, r)
		},
		func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"id":"a.0-1","phase":"running"}`))
		},
	)
	id, err := caller.Submit(t.Context(), Task{Key: "k", Route: "forecast", Kind: "f", RunMS: 7, Payload: machine.Payload{RunMS: 5}})
	if err != nil {
		t.Fatal(err)
	}
	want := submission{Caller: "caller", Key: "k", Route: "forecast", Kind: "f", RunMS: 7, Payload: `{"key":"caller/k","run_ms":5}`}
	if diff := cmp.Diff(want, seen); diff != "" {
		t.Errorf("submission (-want +got):\n%s", diff)
	}
	if status, err := caller.Status(t.Context(), id); err != nil || status.Phase != "running" {
		t.Errorf("status %+v, %v", status, err)
	}
	if err := caller.Cancel(t.Context(), id, "k"); err != nil || record.Verdict().TasksOpen != 0 {
		t.Errorf("cancel: %v, verdict %+v", err, record.Verdict())
	}
	if last := script.seen()[2]; last.Method != http.MethodDelete || last.URL.Path != "/v1/tasks/a.0-1" {
		t.Errorf("cancelled by %s %s", last.Method, last.URL.Path)
	}
}
