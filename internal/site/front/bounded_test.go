package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/budget"
	"github.com/oriolepier/oriolepier/internal/site/relay"
)

// acceptAll is an owner that accepts each job after a check by accept.
func acceptAll(accept func(spec job.Spec)) *relay.LocalOwner {
	return &relay.LocalOwner{
		Submit: func(_ context.Context, spec job.Spec, _ clock.Millis) owner.Verdict {
			accept(spec)
			return owner.Verdict{Ruling: owner.Recorded}
		},
		Cancel:       func(context.Context, owner.JobRef) owner.Verdict { return owner.Verdict{Ruling: owner.NotFound} },
		Lookup:       func(context.Context, owner.JobRef) owner.LookupResult { return owner.LookupResult{State: job.Running} },
		CountWaiting: func(context.Context, string) (int, bool) { return 0, true },
	}
}

// serveBounded serves a handler within a budget and returns its address.
func serveBounded(tb testing.TB, limits budget.Limits, handler http.Handler) (address string, set *metrics.Set) {
	tb.Helper()
	tcp, err := budget.ListenConfig().Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	set = metrics.NewSet()
	bounds := budget.New(limits, clock.New(), zerolog.Nop(), set)
	callers := bounds.Callers(tcp)
	server := &http.Server{Handler: callers.Handler(handler), ConnContext: callers.ConnContext, ConnState: callers.ConnState, MaxHeaderBytes: 32 << 10}
	go func() { _ = server.Serve(callers) }()
	ctx := tb.Context()
	go func() { _ = bounds.Serve(ctx) }()
	tb.Cleanup(func() { _ = server.Close() })
	return tcp.Addr().String(), set
}

func serveUnbounded(tb testing.TB, handler http.Handler) string {
	tb.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(tcp) }()
	tb.Cleanup(func() { _ = server.Close() })
	return tcp.Addr().String()
}

// caller sends the same submission again and again on one connection.
type caller struct {
	conn    net.Conn
	reader  *bufio.Reader
	request []byte
}

func newCaller(tb testing.TB, address string) *caller {
	tb.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	body := `{"specification":"` + string(bytes.Repeat([]byte("x"), 400)) + `","steps":[{"count":4,"cpu":500},{"count":1,"cpu":200,"after":[0]}]}`
	request := fmt.Appendf(nil, "POST /q/%s HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	return &caller{conn: conn, reader: bufio.NewReader(conn), request: request}
}

func (c *caller) submit(tb testing.TB) {
	if _, err := c.conn.Write(c.request); err != nil {
		tb.Fatal(err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		tb.Fatalf("%v %v", response, err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// Guards against refusals that break what their status promises: a refused body is
// answered with Retry-After and the end of the connection, and never reaches the owner.
func TestServeHTTPRefusesBody(t *testing.T) {
	submitted := make(chan job.Spec, 10)
	handler := newHandler(acceptAll(func(spec job.Spec) { submitted <- spec }), 7)
	for _, c := range []struct {
		name       string
		limits     budget.Limits
		status     int
		retryAfter string
	}{
		{"no memory", budget.Limits{BodyBytes: 1}, http.StatusServiceUnavailable, "1"},
		{"too slow", budget.Limits{BodyRate: 1 << 20}, http.StatusRequestTimeout, ""},
	} {
		limits := budget.Derive(64, 500).With(c.limits)
		limits.BodyGrace = 50
		address, _ := serveBounded(t, limits, handler)
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		// The body is as large as what needs no reservation, and does not end.
		_, _ = fmt.Fprintf(conn, "POST /q/%s HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n%s\r\n", id, bytes.Repeat([]byte(" "), 4096))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		if response.StatusCode != c.status || response.Header.Get("Retry-After") != c.retryAfter || !response.Close {
			t.Errorf("%s: answer %d, Retry-After %q, last %v", c.name, response.StatusCode, response.Header.Get("Retry-After"), response.Close)
		}
		_ = response.Body.Close()
	}
	if len(submitted) != 0 {
		t.Error("a refused body reached the owner")
	}
}

// BenchmarkSubmitBounded reports the throughput of ordinary submissions within the
// budget over that without it, as the median of rounds that alternate.
func BenchmarkSubmitBounded(b *testing.B) {
	handler := newHandler(acceptAll(func(job.Spec) {}), 7)
	address, _ := serveBounded(b, budget.Derive(284, 4100), handler)
	bounded, unbounded := newCaller(b, address), newCaller(b, serveUnbounded(b, handler))
	const perRound = 20 // short, so that other load meets both alike
	timeOf := func(c *caller) float64 {
		started := time.Now()
		for range perRound {
			c.submit(b)
		}
		return float64(time.Since(started))
	}
	timeOf(bounded)
	timeOf(unbounded)
	var ratios []float64
	for b.Loop() {
		before := timeOf(unbounded)
		after := timeOf(bounded)
		after += timeOf(bounded)
		before += timeOf(unbounded)
		ratios = append(ratios, before/after)
	}
	sort.Float64s(ratios)
	b.ReportMetric(ratios[len(ratios)/2], "throughput-ratio")
}

// FuzzRequest sends any bytes to the request path on one connection. Guards against
// panics, submissions beyond the limits that reach the owner, bodies that keep memory
// after their connection has ended, and refusals without Retry-After.
func FuzzRequest(f *testing.F) {
	seeds, err := filepath.Glob("testdata/requests/*.txt")
	if err != nil || len(seeds) == 0 {
		f.Fatalf("no corpus: %v", err)
	}
	for _, seed := range seeds {
		data, err := os.ReadFile(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	failures := make(chan string, 100)
	address, set := serveFuzz(f, failures)
	f.Fuzz(func(t *testing.T, data []byte) {
		exchangeAll(t, address, data)
		select {
		case failure := <-failures:
			t.Error(failure)
		default:
		}
		awaitReleased(t, set)
	})
}

// serveFuzz serves the request path within a budget and returns its address. It sends
// panics, and submissions beyond the limits that reach the owner, to failures.
func serveFuzz(f *testing.F, failures chan<- string) (address string, set *metrics.Set) {
	f.Helper()
	inner := newHandler(acceptAll(func(spec job.Spec) {
		if err := spec.Check(); err != nil {
			failures <- err.Error()
		}
	}), 7)
	limits := budget.Derive(64, 500)
	limits.BodyGrace = 100
	return serveBounded(f, limits, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer func() {
			if cause := recover(); cause != nil {
				failures <- fmt.Sprint(cause)
			}
		}()
		inner.ServeHTTP(writer, request)
	}))
}

// exchangeAll sends bytes on a connection of their own and reads all answers.
func exchangeAll(t *testing.T, address string, data []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = conn.Write(data) // the server may close the connection before it has read all
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Error("neither an answer nor the end of the connection")
		}
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
			t.Error("a refusal without Retry-After")
		}
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // else the connections of a long run use up the ports
	}
	_ = conn.Close()
}

// awaitReleased waits until no body keeps memory.
func awaitReleased(t *testing.T, set *metrics.Set) {
	t.Helper()
	var text bytes.Buffer
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		text.Reset()
		set.WritePrometheus(&text)
		if bytes.Contains(text.Bytes(), []byte(`oriolepier_budget_in_use{limit="body_bytes"} 0`)) {
			return
		}
	}
	t.Errorf("a body keeps memory:\n%s", text.Bytes())
}
