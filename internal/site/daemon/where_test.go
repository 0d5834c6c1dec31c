package daemon

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// askWhere returns the status of a question to an entry, and the answer.
func (s *accessSite) askWhere(entry *accessEntry, method, params, body string) (int, string) {
	s.t.Helper()
	request, err := http.NewRequest(method, "http://"+entry.control+"/where?"+params, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text)
}

// Guards the answers of the operators' listener: of the owner, and of an entry that does
// not own the cell, which names the owner.
func TestWhereOfOwnerAndOtherEntry(t *testing.T) {
	s := newAccessSite(t)
	s.publish(accessTables(1, strconv.Quote(secretOfA)))
	for _, entry := range s.entries {
		s.await(http.StatusOK, entry, http.MethodPost, jobOfA, secretOfA)
	}
	owner, other, name := s.entries[0], s.entries[1], "entry-0"
	if strings.Contains(s.control(other), `"cell":`) {
		owner, other, name = other, owner, "entry-1"
	}
	const submission = `{"steps":[{"count":1,"cpu":100}]}`
	const route = "host=h.example&path=/k/"
	var got []string
	for _, ask := range []struct{ method, params, body string }{
		{http.MethodGet, "job=000000000000000a", ""},
		{http.MethodGet, "job=000000000000000c", ""},
		{http.MethodGet, "job=1", ""},
		{http.MethodPost, route + "&customer=a", submission},
		{http.MethodPost, route + "&customer=x", submission},
		{http.MethodPost, route, `{"steps":[]}`},
		{http.MethodPost, "host=h.example&path=/x/", submission},
		{http.MethodPost, route, strings.Repeat(" ", maxWhereBytes+1)},
	} {
		status, text := s.askWhere(owner, ask.method, ask.params, ask.body)
		got = append(got, fmt.Sprint(status, strings.Contains(text, `"queue":"keyed"`), strings.Contains(text, `"reason":"pool"`)))
	}
	want := []string{"200 true true", "404 false false", "400 false false", "200 true true", "422 false false", "400 false false", "400 false false", "413 false false"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("status, names the queue, names the reason (-want +got):\n%s", diff)
	}
	status, text := s.askWhere(other, http.MethodGet, "job=000000000000000a", "")
	if status != http.StatusServiceUnavailable || !strings.Contains(text, name) {
		t.Errorf("the other entry answers %d %q, want 503 and %s", status, text, name)
	}
}

// Guards against questions by anyone: they show what customers run, and take the owner's time.
func TestWhereNeedsTheOperatorsToken(t *testing.T) {
	d := &Daemon{options: Options{Standalone: &Standalone{Token: "token-of-operators"}}}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		answer := httptest.NewRecorder()
		d.operatorHandler().ServeHTTP(answer, httptest.NewRequest(method, "/where?job=000000000000000a", http.NoBody))
		if diff := cmp.Diff(http.StatusUnauthorized, answer.Code); diff != "" {
			t.Errorf("status without the token (-want +got):\n%s", diff)
		}
	}
}
