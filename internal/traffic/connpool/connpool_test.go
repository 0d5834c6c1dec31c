package connpool_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/traffic/backend"
	"github.com/oriolepier/oriolepier/internal/traffic/connpool"
)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE"}

// dropSecondServer starts a server that answers the first request of each
// connection, reads the second one and closes the connection without an
// answer. It counts the requests read.
func dropSecondServer(tb testing.TB) (address string, received *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	received = &atomic.Int64{}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed by the cleanup
			}
			group.Go(func() error { return dropSecond(conn, received) })
		}
	})
	tb.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return listener.Addr().String(), received
}

func dropSecond(conn net.Conn, received *atomic.Int64) error {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return nil
		}
		_, _ = io.Copy(io.Discard, req.Body)
		received.Add(1)
		if !first {
			return nil
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+backend.RequestID+": "+req.Header.Get(backend.RequestID)+"\r\nContent-Length: 0\r\n\r\n")
	}
}

func request(method string) *connpool.Request {
	out := &connpool.Request{
		ID: "id-1", Method: method, Host: "h", URL: url.URL{Path: "/"}, MaxAnswerBytes: 1 << 20,
		Header: http.Header{backend.RequestID: {"id-1"}},
	}
	if method != "TRACE" && method != "GET" && method != "HEAD" {
		out.Body = []byte("dogs")
	}
	return out
}

// TestSendNeverResendsOnDroppedConnection checks for every method that a
// request whose connection is dropped is sent once. As a control it shows that
// http.Transport resends a GET on the same server.
func TestSendNeverResendsOnDroppedConnection(t *testing.T) {
	for _, method := range methods {
		address, received := dropSecondServer(t)
		pool := connpool.New(connpool.Options{Name: "w", Address: address})
		pool.SetBudget(1)
		defer pool.Close()
		answer, err := pool.Send(t.Context(), clock.New().Now, request(method))
		if err != nil {
			t.Fatalf("%s: %v", method, err)
		}
		answer.Close()
		_, err = pool.Send(t.Context(), clock.New().Now, request(method))
		if fault.OutcomeOf(err) != fault.Unknown || received.Load() != 2 {
			t.Errorf("%s: got error %v and %d received requests, want outcome unknown and 2", method, err, received.Load())
		}
		if pool.Open() != 0 {
			t.Errorf("%s: the dropped connection is still counted as open", method)
		}
	}
	address, received := dropSecondServer(t)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for range 2 {
		req, _ := http.NewRequest(http.MethodGet, "http://"+address, nil)
		if answer, err := transport.RoundTrip(req); err == nil {
			_ = answer.Body.Close()
		}
	}
	if received.Load() < 3 {
		t.Errorf("control: the server received %d requests for 2 sent by http.Transport, want a resend", received.Load())
	}
}

// TestSendClosesConnectionOfCancelledRequest cancels a request while it waits
// for its answer: a late answer must not arrive on a connection that another
// request could use.
func TestSendClosesConnectionOfCancelledRequest(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	pool := connpool.New(connpool.Options{Name: "w", Address: "10.0.0.1:80", Dial: func(context.Context, string, string) (net.Conn, error) {
		return client, nil
	}})
	pool.SetBudget(1)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		_, err := pool.Send(ctx, clock.New().Now, request("GET"))
		return err
	})
	if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := group.Wait(); fault.OutcomeOf(err) != fault.Unknown || fault.StepOf(err) != connpool.StepWait {
		t.Errorf("Send returned %v, want outcome unknown at step wait", err)
	}
	_ = server.SetDeadline(time.Now().Add(time.Minute))
	if _, err := io.WriteString(server, "HTTP/1.1 200 OK\r\n"); err == nil {
		t.Error("the server could write a late answer: the connection is still open")
	}
	if pool.Open() != 0 {
		t.Error("the connection of the cancelled request is still counted as open")
	}
}

// TestSendReportsDidNotRunWhenNothingWasSent closes the connection before the first
// write: the outcome must say that the request did not run.
func TestSendReportsDidNotRunWhenNothingWasSent(t *testing.T) {
	client, server := net.Pipe()
	pool := connpool.New(connpool.Options{Name: "w", Address: "10.0.0.1:80", Dial: func(context.Context, string, string) (net.Conn, error) {
		return client, nil
	}})
	pool.SetBudget(1)
	if err := pool.Probe(t.Context(), clock.New().Now); err != nil {
		t.Fatal(err)
	}
	_ = server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := pool.Send(ctx, clock.New().Now, request("POST"))
	if !fault.OutcomeOf(err).DidNotRun() {
		t.Errorf("Send returned %v, want an outcome by which the request did not run", err)
	}
}

func TestBudgetBoundsOpenConnections(t *testing.T) {
	address, _ := dropSecondServer(t)
	pool := connpool.New(connpool.Options{Name: "w", Address: address})
	pool.SetBudget(2)
	var answers []*connpool.Answer
	for range 2 {
		req := request("GET")
		req.MaxAnswerBytes = 1
		answer, err := pool.Send(t.Context(), clock.New().Now, req)
		if err != nil {
			t.Fatal(err)
		}
		answers = append(answers, answer)
	}
	if _, err := pool.Send(t.Context(), clock.New().Now, request("GET")); fault.OutcomeOf(err) != fault.NotSent || !strings.Contains(err.Error(), "budget") {
		t.Errorf("send above the budget of 2 connections: got %v, want outcome not_sent and a cause that names the budget", err)
	}
	pool.SetBudget(1)
	for _, answer := range answers {
		answer.Close()
	}
	if pool.Open() != 1 {
		t.Errorf("%d connections are open, want 1 after the budget was lowered", pool.Open())
	}
	pool.Close()
	if pool.Open() != 0 {
		t.Errorf("%d connections are open after Close", pool.Open())
	}
}

// Guards against requests that take one silent idle connection after the other, and time
// out on each.
func TestIdleConnectionsThatWentSilentAreClosed(t *testing.T) {
	const idle, timeout = 4, 100 * time.Millisecond
	var silent, held atomic.Int64
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, req *http.Request) {
		if silent.Add(-1) >= 0 {
			<-req.Context().Done()
			return
		}
		held.Add(1)
		<-release
		writer.Header().Set(backend.RequestID, req.Header.Get(backend.RequestID))
	}))
	t.Cleanup(server.Close)
	clk := clock.New()
	pool := connpool.New(connpool.Options{Name: "b", Address: server.Listener.Addr().String()})
	pool.SetBudget(2 * idle)
	send := func(ctx context.Context) error {
		answer, err := pool.Send(ctx, clk.Now, request("GET"))
		if err == nil {
			answer.Close()
		}
		return err
	}
	var group errgroup.Group
	for range idle {
		group.Go(func() error { return send(t.Context()) })
	}
	for deadline := time.Now().Add(time.Second); held.Load() < idle && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	close(release)
	if err := group.Wait(); err != nil || pool.Open() != idle {
		t.Fatalf("%d connections are open, want %d: %v", pool.Open(), idle, err)
	}
	time.Sleep(timeout / 10) // the clock has a resolution of 1 ms
	silent.Store(1)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	if diff := cmp.Diff(fault.Unknown, fault.OutcomeOf(send(ctx))); diff != "" {
		t.Errorf("a request on a silent connection (-want +got):\n%s", diff)
	}
	if open := pool.Open(); open != 0 {
		t.Errorf("%d connections are open that have not answered since, want 0", open)
	}
}
