package console

import (
	"context"
	"expvar"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestListenerAuthenticates(t *testing.T) {
	ready := Readiness{Ready: true, ConfigVersion: 3}
	handler := New(Options{
		Token: "0123456789abcdef",
		Dump:  func(context.Context) (any, error) { return map[string]int{"config_version": 3}, nil },
		Ready: func() Readiness { return ready },
		Vars:  new(expvar.Map).Init(),
	})
	ask := func(path, token string) (int, string) {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil)
		if token != "" {
			request.Header.Set("Authorization", "Bearer "+token)
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		return recorder.Code, recorder.Body.String()
	}
	got := map[string]int{}
	for _, path := range []string{"/v1/ready", "/v1/dump", "/debug/vars", "/debug/pprof/"} {
		got[path], _ = ask(path, "")
		got[path+" wrong"], _ = ask(path, "0123456789abcdeg")
		got[path+" right"], _ = ask(path, "0123456789abcdef")
	}
	ready.Ready = false
	got["not ready"], _ = ask("/v1/ready", "")
	want := map[string]int{
		"/v1/ready": 200, "/v1/ready wrong": 200, "/v1/ready right": 200,
		"/v1/dump": 401, "/v1/dump wrong": 401, "/v1/dump right": 200,
		"/debug/vars": 401, "/debug/vars wrong": 401, "/debug/vars right": 200,
		"/debug/pprof/": 401, "/debug/pprof/ wrong": 401, "/debug/pprof/ right": 200,
		"not ready": 503,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
	if _, body := ask("/v1/dump", "0123456789abcdef"); !strings.Contains(body, `"config_version": 3`) {
		t.Errorf("dump lacks the state: %s", body)
	}
}
