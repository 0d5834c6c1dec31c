package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/backend"
	"github.com/oriolepier/oriolepier/internal/traffic/proxy"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

// waitForState polls the proxy's dump until cond holds, for 20 s or a little more.
func waitForState(t *testing.T, g *proxy.Proxy, cond func(proxy.Dump) bool) {
	t.Helper()
	for range 20000 {
		if cond(g.Dump()) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("state not reached: %+v", g.Dump())
}

// TestQueueBoundDeadlineAndDisconnect occupies the only slot and the only
// place in the queue: a queued request is dropped at its deadline or when its
// caller disconnects, and a request is refused while the queue is full.
func TestQueueBoundDeadlineAndDisconnect(t *testing.T) {
	release := make(chan struct{})
	server := startScriptedServer(t, func(server *server, conn net.Conn, req *http.Request) bool {
		<-release
		return succeeds(server, conn, req)
	})
	rt := testRoute().WithDeadline(60000)
	rt.MaxQueued = 1
	snap := testSnapshot(rt, server.address)
	serving := snap.Pools["serving"]
	serving.Config.Slots = 1
	snap.Pools["serving"] = serving
	g := startProxy(t, snap, nil)
	var group errgroup.Group
	expectCall := func(want string, edit func(*http.Request)) {
		group.Go(func() error {
			if got := call(t, g, edit).String(); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			return nil
		})
	}
	queueLength := func(count int) func(proxy.Dump) bool {
		return func(dump proxy.Dump) bool { return dump.Pools[0].Waiting == count && dump.InFlight > count }
	}
	expectCall("200, ran 0", nil)
	<-server.received
	expectCall("503 not_run at queue, ran 0", header(backend.DeadlineMS, "300")) // dropped at its deadline
	waitForState(t, g, queueLength(1))
	waitForState(t, g, queueLength(0))
	callerCtx, disconnect := context.WithCancel(t.Context())
	group.Go(func() error {
		_ = call(t, g, func(r *http.Request) { *r = *r.WithContext(callerCtx) })
		return nil
	})
	waitForState(t, g, queueLength(1))
	disconnect()
	waitForState(t, g, queueLength(0))
	expectCall("200, ran 0", nil)
	waitForState(t, g, queueLength(1))
	if got := call(t, g, nil).String(); got != "503 not_run at queue, ran 0" {
		t.Errorf("request to a full queue got %q", got)
	}
	close(release)
	_ = group.Wait()
	if runs := server.runs.Load(); runs != 2 {
		t.Errorf("ran %d times for 2 answers", runs)
	}
}

// TestDrainKeepsRequestsInFlight drains a proxy with a request in flight: that
// one is answered, and later answers close the caller's connection.
func TestDrainKeepsRequestsInFlight(t *testing.T) {
	release := make(chan struct{})
	server := startScriptedServer(t, func(server *server, conn net.Conn, req *http.Request) bool {
		<-release
		return succeeds(server, conn, req)
	})
	g := startProxy(t, testSnapshot(testRoute().WithDeadline(60000), server.address), nil)
	var group errgroup.Group
	group.Go(func() error {
		if got := call(t, g, nil).String(); got != "200, ran 0" {
			t.Errorf("in flight at the drain: %q", got)
		}
		return nil
	})
	<-server.received
	g.Drain(true)
	if g.InFlight() != 1 {
		t.Errorf("%d in flight", g.InFlight())
	}
	close(release)
	_ = group.Wait()
	recorder := httptest.NewRecorder()
	g.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	if recorder.Code != http.StatusOK || recorder.Header().Get("Connection") != "close" {
		t.Errorf("while draining: %d %v", recorder.Code, recorder.Header())
	}
}

// TestFailingServerIsEjectedAndReturns has one of two servers drop every
// connection until it is ejected. Once it answers again, it gets requests again.
func TestFailingServerIsEjectedAndReturns(t *testing.T) {
	var broken atomic.Bool
	broken.Store(true)
	failing := startScriptedServer(t, func(server *server, conn net.Conn, req *http.Request) bool {
		if broken.Load() {
			return false
		}
		return succeeds(server, conn, req)
	})
	healthy := startScriptedServer(t, succeeds)
	rt := testRoute()
	rt.Repeatable = true
	g := startProxy(t, testSnapshot(rt, failing.address, healthy.address), nil)
	ejected := func(dump proxy.Dump) bool { return dump.Pools[0].Servers[0].Ejected }
	waitForState(t, g, func(dump proxy.Dump) bool {
		if got := call(t, g, nil).String(); got != "200, ran 0" {
			t.Errorf("with one healthy server: %s", got)
		}
		return ejected(dump)
	})
	broken.Store(false)
	waitForState(t, g, func(dump proxy.Dump) bool {
		call(t, g, nil)
		return !ejected(dump) && failing.runs.Load() > 0
	})
}

// TestSnapshotChangesTakeEffect stores new snapshots: a draining server gets
// no requests, the state of a removed one is deleted, and the route table is compiled once
// for each version.
func TestSnapshotChangesTakeEffect(t *testing.T) {
	first, second := startScriptedServer(t, succeeds), startScriptedServer(t, succeeds)
	box := view.NewHolder()
	box.Store(testSnapshot(testRoute(), first.address, second.address))
	g := proxy.New(proxy.Options{Holder: box, Clock: clock.New(), Log: zerolog.Nop(), Entry: "e0", Seed: 7})
	expectCalls := func(want string) {
		t.Helper()
		for range 5 {
			if got := call(t, g, nil).String(); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		}
	}
	draining := testSnapshot(testRoute(), first.address, second.address)
	draining.Pools["serving"].Backends[0].Draining = true
	box.Store(draining)
	expectCalls("200, ran 0")
	if runs := first.runs.Load(); runs != 0 {
		t.Errorf("a draining server ran %d requests", runs)
	}
	removed := testSnapshot(testRoute(), first.address)
	removed.Version = 2
	removed.Routes[0].Match.PathPrefix = "/else"
	box.Store(removed)
	expectCalls("404 not_run at match, ran 0")
	if got := g.Vars().Get("route_tables_compiled").String(); got != "2" {
		t.Errorf("%s tables compiled for 2 versions in 3 snapshots", got)
	}
	if dump := g.Dump(); len(dump.Pools[0].Servers) != 1 || dump.Version != 2 {
		t.Errorf("dump: %+v", dump)
	}
}

// TestCallerStopsReadingFreesSlotAtDeadline leaves a long answer unread:
// the slot must be free by the deadline, and the answer is counted as truncated (metric cut).
func TestCallerStopsReadingFreesSlotAtDeadline(t *testing.T) {
	t.Parallel()
	const deadlineMS = 2000 // the answer must begin within it, on a busy VM too
	length := 15 << 20      // more than the socket buffers hold
	server := startScriptedServer(t, respond(true, true, fmt.Sprintf("HTTP/1.1 200 OK\n%%s\nContent-Length: %d\n\n%s", length, strings.Repeat("x", length))))
	g := startProxy(t, testSnapshot(testRoute().WithDeadline(deadlineMS), server.address), nil)
	front := httptest.NewServer(g)
	defer front.Close()
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /ration HTTP/1.1\r\nHost: h\r\n\r\n")
	if line, err := bufio.NewReaderSize(conn, 16).ReadString('\n'); err != nil || !strings.Contains(line, "200") {
		t.Fatalf("answer did not start: %q, %v", line, err)
	}
	waitForState(t, g, func(dump proxy.Dump) bool { return dump.InFlight == 0 && dump.Pools[0].Servers[0].InFlight == 0 })
	if cut := g.Vars().Get("cut").String(); cut != "1" {
		t.Errorf("%s answers were cut: %s", cut, g.Vars())
	}
}

// TestChunkedBodyReservesRouteLimit sends a chunked body, for which the route's
// limit of 1 TiB is reserved: it is refused, and the reservation is released.
func TestChunkedBodyReservesRouteLimit(t *testing.T) {
	server := startScriptedServer(t, succeeds)
	rt := testRoute()
	rt.MaxRequestBytes = 1 << 40
	g := startProxy(t, testSnapshot(rt, server.address), nil)
	if got := call(t, g, body(io.MultiReader(strings.NewReader("dogs")))).String(); got != "503 not_run at accept, ran 0" {
		t.Errorf("got %q", got)
	}
	if got := call(t, g, nil).String(); got != "200, ran 0" || g.Dump().Buffered != 0 {
		t.Errorf("got %q with %d bytes buffered", got, g.Dump().Buffered)
	}
}

// TestHedgeAnswersWhenServerHangs has a repeatable request hang at one of two
// servers: a hedge to the other one answers it.
func TestHedgeAnswersWhenServerHangs(t *testing.T) {
	hanging, healthy := startScriptedServer(t, hangs), startScriptedServer(t, succeeds)
	rt := testRoute().WithDeadline(60000)
	rt.Repeatable, rt.HedgePercent = true, 100
	g := startProxy(t, testSnapshot(rt, hanging.address, healthy.address), nil)
	for range 8 {
		if got := call(t, g, nil).String(); got != "200, ran 0" {
			t.Errorf("got %q", got)
		}
	}
	if g.Vars().Get("hedges").String() == "0" {
		t.Error("no hedge was sent")
	}
}
