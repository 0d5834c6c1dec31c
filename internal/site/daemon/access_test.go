package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/standin/store"
	"github.com/oriolepier/oriolepier/platform"
)

// accessRevoke is the bound on revocations of the deployment under test.
const accessRevoke = 2 * clock.Second

// Secrets of the customers' keys in accessTables.
const (
	secretOfA    = "s3cret-of-a-0001"
	newSecretOfA = "s3cret-of-a-0002"
	secretOfB    = "s3cret-of-b-0001"
	noSecret     = "s3cret-of-nobody"
)

// accessTables returns a manifest in which customer a has the given keys.
func accessTables(version int, keysOfA string) string {
	return fmt.Sprintf(`{"version":%d,"services":[{"name":"s"}],"routes":[
 {"name":"keyed","host":"h.example","path_prefix":"/k/","service":"s"},
 {"name":"open","host":"h.example","path_prefix":"/o/","service":"s","public":true}],
 "tenants":[{"name":"a","api_keys":[%s]},{"name":"b","api_keys":[%q]},{"name":"c","api_keys":["", 7]}]}`, version, keysOfA, secretOfB)
}

// accessEntry is an entry of the deployment under test.
type accessEntry struct {
	callers, control string
	cutOff           atomic.Bool // the store does not answer it
}

// accessSite is a deployment of two entries, each in this process with a store of its
// own to cut it off from.
type accessSite struct {
	t       *testing.T
	log     journal.Log
	output  *lockedBuffer // all log lines
	answers strings.Builder
	entries [2]*accessEntry
}

func newAccessSite(t *testing.T) *accessSite {
	t.Helper()
	s := &accessSite{t: t, log: store.New().Log(), output: &lockedBuffer{}}
	ctx, stop := context.WithCancel(context.Background())
	group := new(errgroup.Group)
	for i := range s.entries {
		entry := &accessEntry{callers: freeAddress(t), control: freeAddress(t)}
		s.entries[i] = entry
		inner := platform.ServeStore(s.log)
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			inner.ServeHTTP(writer, request)
			if entry.cutOff.Load() {
				panic(http.ErrAbortHandler) // the answer is lost
			}
		}))
		t.Cleanup(server.Close)
		_, port, _ := net.SplitHostPort(freeAddress(t))
		peerPort, _ := strconv.Atoi(port)
		settings := platform.Settings{
			Name: fmt.Sprintf("entry-%d", i), Domain: "d", IP: "127.0.0.1", Consumer: entry.callers, Control: entry.control,
			Ports:  platform.PortSpan{First: peerPort, Last: peerPort},
			Store:  platform.StoreSettings{Address: strings.TrimPrefix(server.URL, "http://")},
			Bounds: platform.Bounds{MaxLease: 6000, StatusKept: clock.Minute, StrictRevocation: true, Revoke: accessRevoke, ConfigApply: 3000},
		}
		group.Go(func() error {
			return Run(ctx, Options{Load: func() (platform.Settings, error) { return settings, nil }, Out: s.output, LeaveNotice: time.Millisecond})
		})
	}
	t.Cleanup(func() {
		stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return s
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func (s *accessSite) publish(tables string) {
	record := journal.Record{Key: "config", Value: []byte(tables)}
	s.log.Append(context.Background(), journal.Append{Topic: platform.TopicOperator, ExpectedEnd: -1, Records: []journal.Record{record}})
}

// call returns the status of a call, and fails the test if a refusal lacks a header.
// Connections stay open between calls.
func (s *accessSite) call(entry *accessEntry, method, path, secret string) int {
	s.t.Helper()
	body := ""
	if method == http.MethodPost {
		body = `{"steps":[{"count":1,"cpu":100}]}`
	}
	request, err := http.NewRequest(method, "http://"+entry.callers+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = "h.example"
	if secret != "" {
		request.Header.Set("Authorization", "Bearer "+secret)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0 // it does not listen yet
	}
	defer func() { _ = answer.Body.Close() }()
	text, _ := io.ReadAll(answer.Body)
	_, _ = fmt.Fprintf(&s.answers, "%v %s\n", answer.Header, text)
	if answer.StatusCode == http.StatusUnauthorized && answer.Header.Get("WWW-Authenticate") != "Bearer" ||
		answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get("Retry-After") == "" {
		s.t.Errorf("%s %s: status %d with header %v", method, path, answer.StatusCode, answer.Header)
	}
	return answer.StatusCode
}

// await repeats a call until it has a status.
func (s *accessSite) await(want int, entry *accessEntry, method, path, secret string) {
	s.t.Helper()
	const limit = 10 * time.Second
	started, got := time.Now(), 0
	for time.Since(started) < limit {
		if got = s.call(entry, method, path, secret); got == want {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Fatalf("%s %s: status %d after %v, want %d", method, path, got, limit, want)
}

// control returns an entry's state and metrics.
func (s *accessSite) control(entry *accessEntry) string {
	s.t.Helper()
	var text strings.Builder
	for _, path := range []string{"/state", "/metrics"} {
		answer, err := http.Get("http://" + entry.control + path)
		if err != nil {
			s.t.Fatal(err)
		}
		_, _ = io.Copy(&text, answer.Body)
		_ = answer.Body.Close()
	}
	return text.String()
}

// Paths of jobs.
const (
	jobOfA      = "/k/000000000000000a"
	jobOfNobody = "/o/000000000000000b"
	otherJob    = "/k/000000000000000c" // never submitted
)

// Guards against calls with a key that is unknown, removed or another customer's, on two
// entries of which one owns the cell: in contact, without contact with the store, and
// without any. Nothing that the entries write has a key.
func TestAccessEndToEnd(t *testing.T) {
	s := newAccessSite(t)
	s.publish(accessTables(1, strconv.Quote(secretOfA)))
	for _, entry := range s.entries {
		s.await(http.StatusOK, entry, http.MethodPost, jobOfA, secretOfA)
		s.await(http.StatusOK, entry, http.MethodPost, jobOfNobody, "")
	}
	owner, other := s.entries[0], s.entries[1]
	if strings.Contains(s.control(other), `"cell":`) {
		owner, other = other, owner
	}
	s.checkCalls()
	s.checkRemovedKey(other)
	s.checkWithoutContact(owner, other)
	for _, entry := range s.entries {
		entry.cutOff.Store(false)
	}
	for _, entry := range s.entries {
		s.await(http.StatusOK, entry, http.MethodGet, jobOfA, secretOfA)
		s.await(http.StatusUnauthorized, entry, http.MethodGet, jobOfA, newSecretOfA)
	}
	s.checkOutput()
}

// checkCalls checks the status of each kind of call on both entries.
func (s *accessSite) checkCalls() {
	s.t.Helper()
	type call struct{ method, path, secret string }
	want := map[call]int{
		{http.MethodGet, jobOfA, secretOfA}: 200, {http.MethodGet, jobOfA, secretOfB}: 410, {http.MethodDelete, jobOfA, secretOfB}: 410,
		{http.MethodPost, jobOfA, secretOfB}: 422, {http.MethodGet, jobOfA, ""}: 401, {http.MethodGet, jobOfA, noSecret}: 401,
		{http.MethodPost, jobOfA, noSecret}: 401, {http.MethodPost, otherJob, ""}: 401, {http.MethodDelete, jobOfA, ""}: 401,
		{http.MethodPut, jobOfA, ""}: 401, {http.MethodPut, jobOfA, secretOfA}: 405, {http.MethodGet, "/k/", ""}: 401, {http.MethodGet, "/k/", secretOfB}: 200,
		{http.MethodGet, jobOfNobody, ""}: 200, {http.MethodGet, jobOfNobody, noSecret}: 200, {http.MethodGet, jobOfNobody, secretOfB}: 200,
		{http.MethodGet, "/o/000000000000000a", ""}: 410, {http.MethodGet, "/o/000000000000000a", secretOfA}: 200, {http.MethodGet, "/x/", ""}: 404,
	}
	for _, entry := range s.entries {
		got := map[call]int{}
		for c := range want {
			got[c] = s.call(entry, c.method, c.path, c.secret)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			s.t.Errorf("statuses (-want +got):\n%s", diff)
		}
	}
}

// checkRemovedKey replaces a customer's key in two steps, and checks when each works.
func (s *accessSite) checkRemovedKey(other *accessEntry) {
	s.t.Helper()
	s.publish(accessTables(2, strconv.Quote(secretOfA)+","+strconv.Quote(newSecretOfA))) // both are in force for a while
	s.await(http.StatusOK, other, http.MethodGet, jobOfA, newSecretOfA)
	if got := s.call(other, http.MethodGet, jobOfA, secretOfA); got != 200 {
		s.t.Errorf("status %d with the old key beside the new one", got)
	}
	s.publish(accessTables(3, strconv.Quote(newSecretOfA)))
	for _, entry := range s.entries {
		s.await(http.StatusUnauthorized, entry, http.MethodGet, jobOfA, secretOfA)
	}
}

// checkWithoutContact cuts off first the other entry and then the owner's from the store,
// and checks until when a key works that is removed after that.
func (s *accessSite) checkWithoutContact(owner, other *accessEntry) {
	s.t.Helper()
	other.cutOff.Store(true) // the owner's pings still prove its tables
	for started := time.Now(); time.Since(started) < 2*accessRevoke.Duration(); time.Sleep(50 * time.Millisecond) {
		if got := s.call(other, http.MethodGet, jobOfA, newSecretOfA); got != 200 {
			s.t.Fatalf("status %d %v after the entry was cut off from the store alone", got, time.Since(started))
		}
	}
	owner.cutOff.Store(true)
	confirmed := time.Now()
	s.publish(accessTables(4, strconv.Quote(secretOfA)))
	for accepted := true; accepted; time.Sleep(20 * time.Millisecond) {
		accepted = false
		for _, entry := range s.entries {
			sent := time.Since(confirmed)
			got := s.call(entry, http.MethodGet, jobOfA, newSecretOfA)
			accepted = accepted || got != http.StatusServiceUnavailable
			if got != http.StatusServiceUnavailable && sent > accessRevoke.Duration() {
				s.t.Fatalf("status %d without contact to a call with a removed key, sent %v after its removal", got, sent)
			}
		}
	}
	for _, entry := range s.entries {
		got := []int{s.call(entry, http.MethodGet, jobOfA, secretOfB), s.call(entry, http.MethodGet, jobOfA, noSecret), s.call(entry, http.MethodGet, jobOfA, ""), s.call(entry, http.MethodGet, "/o/", "")}
		if diff := cmp.Diff([]int{503, 503, 503, 200}, got); diff != "" {
			s.t.Errorf("statuses without contact: a key, an unknown one, none, a public route (-want +got):\n%s", diff)
		}
	}
	time.Sleep(2 * accessPeriod.Duration()) // until it is logged that the tables are not trusted
}

// checkOutput checks that logs, states and metrics report the decisions, and have no key.
func (s *accessSite) checkOutput() {
	s.t.Helper()
	time.Sleep(2 * accessPeriod.Duration()) // until it is logged that they are trusted again
	written := s.output.text() + s.answers.String() + s.control(s.entries[0]) + s.control(s.entries[1])
	for _, part := range []string{"tables_distrusted", "tables_trusted", "call_unauthorized", `"proof_bound_ms":1800`, `"customer":"c"`, `outcome="stale"`} {
		if !strings.Contains(written, part) {
			s.t.Errorf("%s is missing from all output", part)
		}
	}
	for _, secret := range []string{secretOfA, newSecretOfA, secretOfB, noSecret, "s3cret"} {
		if strings.Contains(written, secret) {
			s.t.Errorf("the output contains key %s", secret)
		}
	}
}
