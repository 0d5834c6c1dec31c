package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/traffic/backend"
	"github.com/oriolepier/oriolepier/internal/traffic/link"
)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE"}

// dropper answers the first request of each connection, takes the next ones
// and drops the connection without an answer. It counts what it took.
func dropper(tb testing.TB) (address string, taken *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	taken = &atomic.Int64{}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // the test is over
			}
			group.Go(func() error { return dropSecond(conn, taken) })
		}
	})
	tb.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return listener.Addr().String(), taken
}

func dropSecond(conn net.Conn, taken *atomic.Int64) error {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return nil
		}
		_, _ = io.Copy(io.Discard, req.Body)
		taken.Add(1)
		if !first {
			return nil
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+backend.RequestID+": "+req.Header.Get(backend.RequestID)+"\r\nContent-Length: 0\r\n\r\n")
	}
}

func request(method string) *link.Request {
	out := &link.Request{
		ID: "id-1", Method: method, Host: "h", URL: url.URL{Path: "/"}, MaxAnswerBytes: 1 << 20,
		Header: http.Header{backend.RequestID: {"id-1"}},
	}
	if method != "TRACE" && method != "GET" && method != "HEAD" {
		out.Body = []byte("dogs")
	}
	return out
}

// TestNoMethodIsSentTwice shows that a dropped connection makes no request run
// twice, and that http.Transport would have run a GET twice.
func TestNoMethodIsSentTwice(t *testing.T) {
	for _, method := range methods {
		address, taken := dropper(t)
		peer := link.New(link.Options{Name: "w", Address: address})
		peer.SetBudget(1)
		defer peer.Close()
		answer, err := peer.Send(t.Context(), clock.New().Now, request(method))
		if err != nil {
			t.Fatalf("%s: %v", method, err)
		}
		answer.Close()
		_, err = peer.Send(t.Context(), clock.New().Now, request(method))
		if fault.OutcomeOf(err) != fault.Unknown || taken.Load() != 2 {
			t.Errorf("%s: %v after %d executions of 2 requests", method, err, taken.Load())
		}
		if peer.Open() != 0 {
			t.Errorf("%s: a broken connection is kept", method)
		}
	}
	address, taken := dropper(t)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for range 2 {
		req, _ := http.NewRequest(http.MethodGet, "http://"+address, nil)
		if answer, err := transport.RoundTrip(req); err == nil {
			_ = answer.Body.Close()
		}
	}
	if taken.Load() < 3 {
		t.Errorf("control: http.Transport ran %d requests for 2; the server does not provoke the fault", taken.Load())
	}
}

// TestAbandonedConnectionIsClosed gives up a request in the middle: its late
// answer must find no connection that another request could use.
func TestAbandonedConnectionIsClosed(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	peer := link.New(link.Options{Name: "w", Address: "10.0.0.1:80", Dial: func(context.Context, string, string) (net.Conn, error) {
		return client, nil
	}})
	peer.SetBudget(1)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		_, err := peer.Send(ctx, clock.New().Now, request("GET"))
		return err
	})
	if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := group.Wait(); fault.OutcomeOf(err) != fault.Unknown || fault.StepOf(err) != link.StepWait {
		t.Errorf("got %v", err)
	}
	_ = server.SetDeadline(time.Now().Add(time.Minute))
	if _, err := io.WriteString(server, "HTTP/1.1 200 OK\r\n"); err == nil {
		t.Error("the late answer was taken")
	}
	if peer.Open() != 0 {
		t.Error("the abandoned connection is kept")
	}
}

// TestNothingSentIsCertain has the connection break before the first write.
func TestNothingSentIsCertain(t *testing.T) {
	client, server := net.Pipe()
	peer := link.New(link.Options{Name: "w", Address: "10.0.0.1:80", Dial: func(context.Context, string, string) (net.Conn, error) {
		return client, nil
	}})
	peer.SetBudget(1)
	if err := peer.Probe(t.Context(), clock.New().Now); err != nil {
		t.Fatal(err)
	}
	_ = server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := peer.Send(ctx, clock.New().Now, request("POST"))
	if !fault.OutcomeOf(err).Certain() {
		t.Errorf("got %v", err)
	}
}

func TestBudgetBoundsConnections(t *testing.T) {
	address, _ := dropper(t)
	peer := link.New(link.Options{Name: "w", Address: address})
	peer.SetBudget(2)
	var held []*link.Answer
	for range 2 {
		long := request("GET")
		long.MaxAnswerBytes = 1
		answer, err := peer.Send(t.Context(), clock.New().Now, long)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, answer)
	}
	if _, err := peer.Send(t.Context(), clock.New().Now, request("GET")); fault.OutcomeOf(err) != fault.NotSent || !strings.Contains(err.Error(), "budget") {
		t.Errorf("third connection: %v", err)
	}
	peer.SetBudget(1)
	for _, answer := range held {
		answer.Close()
	}
	if peer.Open() != 1 {
		t.Errorf("%d connections are open, 1 is allowed", peer.Open())
	}
	peer.Close()
	if peer.Open() != 0 {
		t.Errorf("%d connections are open after Close", peer.Open())
	}
}
