package api

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/base/problem"
	"github.com/oriolepier/oriolepier/internal/batch/job"
)

// backing answers by the key or id that it is asked for.
func backing(submitted *int) Backing {
	outcome := func(name string) (job.Status, error) {
		switch name {
		case "lost":
			return job.Status{}, fault.Newf(fault.Unknown, "append", "cell.a.0", "answer lost")
		case "slow":
			return job.Status{}, context.DeadlineExceeded
		case "down":
			return job.Status{}, fault.Newf(fault.NotRun, "append", "cell.a.0", "log is down")
		case "full":
			return job.Status{}, &problem.Problem{Status: 429, Outcome: fault.NotRun, Step: "queue", Detail: "full", RetryAfter: 5000}
		}
		*submitted++
		return job.Status{ID: "a.0-0123456789abcdef", Key: name, Phase: job.Queued, Cell: "a.0"}, nil
	}
	return Backing{
		Submit: func(_ context.Context, spec job.Spec) (job.Status, error) { return outcome(spec.Key) },
		Cancel: func(_ context.Context, id string) (job.Status, error) { return outcome(id) },
		Status: func(_ context.Context, id string) (job.Status, bool, error) {
			status, err := outcome(id)
			return status, id != "absent", err
		},
		List: func(_ context.Context, caller string, phase job.Phase, limit int) ([]job.Status, error) {
			return []job.Status{{Caller: caller, Phase: phase, Attempt: limit}}, nil
		},
	}
}

func submission(key string) string {
	return `{"caller":"c","key":"` + key + `","route":"r","size":{"milli_cores":1,"memory_mb":1,"accelerators":0}}`
}

func TestAnswers(t *testing.T) {
	submitted := 0
	mux := http.NewServeMux()
	Register(mux, backing(&submitted))
	cases := []struct{ name, method, path, body string }{
		{"kept", "POST", "/v1/tasks", submission("k")},
		{"answer lost", "POST", "/v1/tasks", submission("lost")},
		{"no answer in time", "POST", "/v1/tasks", submission("slow")},
		{"log down", "POST", "/v1/tasks", submission("down")},
		{"queue full", "POST", "/v1/tasks", submission("full")},
		{"malformed", "POST", "/v1/tasks", `{"caller":`},
		{"empty", "POST", "/v1/tasks", ``},
		{"no key", "POST", "/v1/tasks", `{"caller":"c","route":"r","size":{"milli_cores":1,"memory_mb":1,"accelerators":0}}`},
		{"unknown member", "POST", "/v1/tasks", strings.Replace(submission("k"), `"caller"`, `"color":1,"caller"`, 1)},
		{"wrong type", "POST", "/v1/tasks", strings.Replace(submission("k"), `"c"`, `7`, 1)},
		{"too large", "POST", "/v1/tasks", submission(strings.Repeat("k", maxBodyBytes))},
		{"known", "GET", "/v1/tasks/k", ""},
		{"unknown", "GET", "/v1/tasks/absent", ""},
		{"cancel", "DELETE", "/v1/tasks/k", ""},
		{"list", "GET", "/v1/tasks?caller=c&phase=queued", ""},
		{"list bad phase", "GET", "/v1/tasks?phase=lost", ""},
		{"list bad limit", "GET", "/v1/tasks?limit=0", ""},
	}
	var out strings.Builder
	for _, at := range cases {
		request := httptest.NewRequestWithContext(t.Context(), at.method, at.path, strings.NewReader(at.body))
		if at.body != "" {
			request.Header.Set("Content-Type", "application/json")
		}
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, request)
		fmt.Fprintf(&out, "== %s\n%d %s\n%s\n", at.name, recorder.Code,
			recorder.Header().Get("Content-Type"), strings.TrimSpace(recorder.Body.String()))
	}
	goldie.New(t).Assert(t, "answers", []byte(out.String()))
	if diff := cmp.Diff(4, submitted); diff != "" {
		t.Errorf("calls that reached the backing (-want +got):\n%s", diff)
	}
}
