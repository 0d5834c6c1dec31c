package gate_test

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
	"github.com/oriolepier/oriolepier/internal/traffic/gate"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

// until waits for a state of the gate.
func until(t *testing.T, under *gate.Gate, reached func(gate.Dump) bool) {
	t.Helper()
	for range 20000 {
		if reached(under.Dump()) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("state not reached: %+v", under.Dump())
}

// TestQueue fills the only slot and the only place to wait.
func TestQueue(t *testing.T) {
	release := make(chan struct{})
	worker := startWorker(t, func(worker *worker, conn net.Conn, req *http.Request) bool {
		<-release
		return sound(worker, conn, req)
	})
	route := table().WithDeadline(60000)
	route.MaxQueued = 1
	snap := snapshot(route, worker.address)
	serving := snap.Pools["serving"]
	serving.Config.Slots = 1
	snap.Pools["serving"] = serving
	under := start(t, snap, nil)
	var group errgroup.Group
	ask := func(want string, edit func(*http.Request)) {
		group.Go(func() error {
			if got := call(t, under, edit).String(); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			return nil
		})
	}
	waiting := func(count int) func(gate.Dump) bool {
		return func(dump gate.Dump) bool { return dump.Pools[0].Waiting == count && dump.InFlight > count }
	}
	ask("200, ran 0", nil)
	<-worker.taken
	ask("503 not_run at queue, ran 0", header(backend.DeadlineMS, "300")) // drops out at its deadline
	until(t, under, waiting(1))
	until(t, under, waiting(0))
	leaving, leave := context.WithCancel(t.Context())
	group.Go(func() error {
		_ = call(t, under, func(r *http.Request) { *r = *r.WithContext(leaving) })
		return nil
	})
	until(t, under, waiting(1))
	leave()
	until(t, under, waiting(0))
	ask("200, ran 0", nil)
	until(t, under, waiting(1))
	if got := call(t, under, nil).String(); got != "503 not_run at queue, ran 0" {
		t.Errorf("the newest got %q", got)
	}
	close(release)
	_ = group.Wait()
	if ran := worker.ran.Load(); ran != 2 {
		t.Errorf("ran %d times for 2 answers", ran)
	}
}

// TestDrainCutsOffNothing drains a gate with a request in flight.
func TestDrainCutsOffNothing(t *testing.T) {
	release := make(chan struct{})
	worker := startWorker(t, func(worker *worker, conn net.Conn, req *http.Request) bool {
		<-release
		return sound(worker, conn, req)
	})
	under := start(t, snapshot(table().WithDeadline(60000), worker.address), nil)
	var group errgroup.Group
	group.Go(func() error {
		if got := call(t, under, nil).String(); got != "200, ran 0" {
			t.Errorf("in flight at the drain: %q", got)
		}
		return nil
	})
	<-worker.taken
	under.Drain(true)
	if under.InFlight() != 1 {
		t.Errorf("%d in flight", under.InFlight())
	}
	close(release)
	_ = group.Wait()
	recorder := httptest.NewRecorder()
	under.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	if recorder.Code != http.StatusOK || recorder.Header().Get("Connection") != "close" {
		t.Errorf("while draining: %d %v", recorder.Code, recorder.Header())
	}
}

// TestEjectsAndReturns has one of two servers drop everything, then recover.
func TestEjectsAndReturns(t *testing.T) {
	var broken atomic.Bool
	broken.Store(true)
	bad := startWorker(t, func(worker *worker, conn net.Conn, req *http.Request) bool {
		if broken.Load() {
			return false
		}
		return sound(worker, conn, req)
	})
	good := startWorker(t, sound)
	route := table()
	route.Repeatable = true
	under := start(t, snapshot(route, bad.address, good.address), nil)
	ejected := func(dump gate.Dump) bool { return dump.Pools[0].Servers[0].Ejected }
	until(t, under, func(dump gate.Dump) bool {
		if got := call(t, under, nil).String(); got != "200, ran 0" {
			t.Errorf("with one sound server: %s", got)
		}
		return ejected(dump)
	})
	broken.Store(false)
	until(t, under, func(dump gate.Dump) bool {
		call(t, under, nil)
		return !ejected(dump) && bad.ran.Load() > 0
	})
}

// TestNewTablesAndMarksHold follows snapshots: the route table, a leaving
// server, a removed one.
func TestNewTablesAndMarksHold(t *testing.T) {
	first, second := startWorker(t, sound), startWorker(t, sound)
	box := view.NewBox()
	box.Store(snapshot(table(), first.address, second.address))
	under := gate.New(gate.Options{Box: box, Clock: clock.New(), Log: zerolog.Nop(), Entry: "e0", Seed: 7})
	ask := func(want string) {
		t.Helper()
		for range 5 {
			if got := call(t, under, nil).String(); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		}
	}
	leaving := snapshot(table(), first.address, second.address)
	leaving.Pools["serving"].Backends[0].Draining = true
	box.Store(leaving)
	ask("200, ran 0")
	if ran := first.ran.Load(); ran != 0 {
		t.Errorf("a leaving server ran %d requests", ran)
	}
	gone := snapshot(table(), first.address)
	gone.Version = 2
	gone.Routes[0].Match.PathPrefix = "/else"
	box.Store(gone)
	ask("404 not_run at match, ran 0")
	if got := under.Vars().Get("route_tables_compiled").String(); got != "2" {
		t.Errorf("%s tables compiled for 2 versions in 3 snapshots", got)
	}
	if dump := under.Dump(); len(dump.Pools[0].Servers) != 1 || dump.Version != 2 {
		t.Errorf("dump: %+v", dump)
	}
}

// TestCallerThatStopsReading leaves a long answer unread: the place must come
// free by the deadline.
func TestCallerThatStopsReading(t *testing.T) {
	t.Parallel()
	const patient = 2000 // ms: the answer must have begun, on a busy machine too
	length := 15 << 20   // above what the sockets hold
	worker := startWorker(t, answers(true, true, fmt.Sprintf("HTTP/1.1 200 OK\n%%s\nContent-Length: %d\n\n%s", length, strings.Repeat("x", length))))
	under := start(t, snapshot(table().WithDeadline(patient), worker.address), nil)
	front := httptest.NewServer(under)
	defer front.Close()
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /ration HTTP/1.1\r\nHost: h\r\n\r\n")
	if line, err := bufio.NewReaderSize(conn, 16).ReadString('\n'); err != nil || !strings.Contains(line, "200") {
		t.Fatalf("no start of an answer: %q, %v", line, err)
	}
	until(t, under, func(dump gate.Dump) bool { return dump.InFlight == 0 && dump.Pools[0].Servers[0].InFlight == 0 })
	if cut := under.Vars().Get("cut").String(); cut != "1" {
		t.Errorf("%s answers were cut: %s", cut, under.Vars())
	}
}

// TestBodiesFillTheMemory has chunked bodies of unknown length reserve their
// limit.
func TestBodiesFillTheMemory(t *testing.T) {
	worker := startWorker(t, sound)
	route := table()
	route.MaxRequestBytes = 1 << 40
	under := start(t, snapshot(route, worker.address), nil)
	if got := call(t, under, body(io.MultiReader(strings.NewReader("dogs")))).String(); got != "503 not_run at accept, ran 0" {
		t.Errorf("got %q", got)
	}
	if got := call(t, under, nil).String(); got != "200, ran 0" || under.Dump().Buffered != 0 {
		t.Errorf("got %q with %d bytes buffered", got, under.Dump().Buffered)
	}
}

// TestHedgeWins has a repeatable request hang at one server.
func TestHedgeWins(t *testing.T) {
	slow, quick := startWorker(t, hangs), startWorker(t, sound)
	route := table().WithDeadline(60000)
	route.Repeatable, route.HedgePercent = true, 100
	under := start(t, snapshot(route, slow.address, quick.address), nil)
	for range 8 {
		if got := call(t, under, nil).String(); got != "200, ran 0" {
			t.Errorf("got %q", got)
		}
	}
	if under.Vars().Get("hedges").String() == "0" {
		t.Error("no hedge was sent")
	}
}
