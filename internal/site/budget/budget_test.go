package budget

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
)

// The defaults are far above what callers within the limits of manifests use, and
// leave descriptors for workers.
func TestDerive(t *testing.T) {
	want := Limits{
		Connections: 1136, SideConnections: 64, PeerConnections: 512, WorkerConnections: 1059, BodyBytes: 284 << 17, ForwardedBytes: 284 << 17,
		JobBytes: 119118233, BodyRate: 2048, BodyGrace: 10_000,
	}
	got := Derive(284, 4100)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("limits (-want +got):\n%s", diff)
	}
	const largestBody, files = 262_144, 200
	if ordinary := got.BodyBytes / (largestBody * bufferFactor); ordinary < 64 {
		t.Errorf("memory for %d of the largest bodies at a time", ordinary)
	}
	if left := 4100 - files - got.Connections - 2*got.SideConnections - got.PeerConnections; left < 2*890 {
		t.Errorf("%d descriptors are left for 890 workers", left)
	} else if left < 890+got.WorkerConnections {
		t.Errorf("%d descriptors are left for the holds of 890 workers and %d connections for orders", left, got.WorkerConnections)
	}
}

// Guards against descriptors that are given to callers and to orders as well.
func TestMoreCallersLeaveFewerOrders(t *testing.T) {
	var got []int
	for _, connections := range []int{0, 1536, 3075} {
		got = append(got, Derive(284, 4100).With(Limits{Connections: connections}).WorkerConnections)
	}
	if diff := cmp.Diff([]int{1059, 859, 90}, got); diff != "" {
		t.Errorf("connections for orders (-want +got):\n%s", diff)
	}
}

// served is a server whose handler answers 200 once it has read the body.
type served struct {
	t       *testing.T
	budget  *Budget
	metrics *metrics.Set
	address string
	errors  chan error // of the reads of bodies
}

func serve(t *testing.T, limits Limits) *served {
	t.Helper()
	s := &served{t: t, metrics: metrics.NewSet(), errors: make(chan error, 1000)}
	s.budget = New(limits, clock.New(), zerolog.Nop(), s.metrics)
	tcp, err := ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = tcp.Addr().String()
	callers := s.budget.Callers(tcp)
	server := &http.Server{ConnContext: callers.ConnContext, ConnState: callers.ConnState, Handler: callers.Handler(http.HandlerFunc(
		func(writer http.ResponseWriter, request *http.Request) {
			if request.Method == http.MethodGet {
				return
			}
			_, err := io.ReadAll(request.Body)
			s.errors <- err
			if err != nil {
				writer.Header().Set("Connection", "close")
				writer.WriteHeader(http.StatusServiceUnavailable)
			}
		}))}
	go func() { _ = server.Serve(callers) }()
	go func() { _ = s.budget.Serve(t.Context()) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// send opens a connection and sends a request with a part of its body.
func (s *served) send(method string, announced, sent int) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = fmt.Fprintf(conn, "%s / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", method, announced, strings.Repeat("x", sent))
	if err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// status returns the status of an answer; 0: the connection ended without one.
func status(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (s *served) awaitReceived(count int64) {
	s.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if s.budget.bodyBytes.Load() >= count {
			return
		}
	}
	s.t.Fatalf("%d bytes are in use, expected %d", s.budget.bodyBytes.Load(), count)
}

func limits() Limits {
	return Limits{Connections: 8, SideConnections: 8, BodyBytes: 400_000, BodyRate: 2048, BodyGrace: clock.Minute}
}

// Guards against a crowd of stopped bodies that keeps others out: the oldest is
// refused, with an answer, and a body that completes is served.
func TestOldestBodyIsRefused(t *testing.T) {
	s := serve(t, limits())
	oldest := s.send(http.MethodPost, 90_000, 89_999)
	s.awaitReceived(180_000)
	time.Sleep(20 * time.Millisecond)
	second := s.send(http.MethodPost, 90_000, 89_999)
	s.awaitReceived(360_000)
	time.Sleep(5 * time.Millisecond)
	complete := s.send(http.MethodPost, 60_000, 60_000)
	got := []int{status(complete), status(oldest)}
	if _, err := second.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	got = append(got, status(second))
	want := []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusOK}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("status of the complete, the oldest and the second body (-want +got):\n%s", diff)
	}
	if inUse := s.budget.bodyBytes.Load(); inUse != 0 {
		t.Errorf("%d bytes are in use at the end", inUse)
	}
}

// Guards against bytes that stay counted after bodies were refused at any moment.
func TestFloodLeavesNothingInUse(t *testing.T) {
	flood := limits()
	flood.Connections = 64
	s := serve(t, flood)
	var group errgroup.Group
	for sender := range 32 {
		group.Go(func() error {
			for i := range 20 {
				missing := (sender + i) % 2
				conn := s.send(http.MethodPost, 60_000, 60_000-missing)
				time.Sleep(time.Millisecond)
				_ = conn.Close()
			}
			return nil
		})
	}
	_ = group.Wait()
	if s.budget.refusedBodies.Get() == 0 {
		t.Error("no body was refused")
	}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline) && s.budget.openConnections(callerLimit) > 0; time.Sleep(5 * time.Millisecond) {
	}
	got := []int64{int64(s.budget.openConnections(callerLimit)), s.budget.bodyBytes.Load(), s.budget.leavingBytes.Load()}
	if diff := cmp.Diff([]int64{0, 0, 0}, got); diff != "" {
		t.Errorf("connections, bytes and leaving bytes in use (-want +got):\n%s", diff)
	}
}

// Guards against bodies that make progress without ever completing.
func TestSlowBodyEnds(t *testing.T) {
	slow := limits()
	slow.BodyGrace = 100
	s := serve(t, slow)
	conn := s.send(http.MethodPost, 90_000, 100)
	if got := status(conn); got != http.StatusServiceUnavailable {
		t.Errorf("answer %d", got)
	}
	if err := <-s.errors; !errors.Is(err, fault.ErrTooSlow) {
		t.Errorf("the body ends by %v", err)
	}
}

// Guards against idle connections that keep others out, and against the end of a
// request in progress on behalf of a new connection.
func TestIdleConnectionMakesRoom(t *testing.T) {
	s := serve(t, limits())
	conns := make([]net.Conn, s.budget.limits.Connections)
	for i := range conns {
		conns[i] = s.send(http.MethodGet, 0, 0)
		if got := status(conns[i]); got != http.StatusOK {
			t.Fatalf("answer %d", got)
		}
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(minAge.Duration() + 50*time.Millisecond)
	if got := status(s.send(http.MethodPost, 10, 10)); got != http.StatusOK {
		t.Errorf("a new connection is answered %d", got)
	}
	if _, err := conns[0].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection that has been idle longest: %v", err)
	}
	if open := int(s.budget.openConnections(callerLimit)); open != s.budget.limits.Connections {
		t.Errorf("%d connections are open", open)
	}
}

// Guards against a body that is read on although its request needs none.
func TestUnreadBodyIsNotAwaited(t *testing.T) {
	s := serve(t, limits())
	conn := s.send(http.MethodGet, 90_000, 50_000)
	if got := status(conn); got != http.StatusOK {
		t.Errorf("answer %d", got)
	}
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection stays open")
	}
}

// Guards against jobs beyond the owner's memory, and requests beyond that of the
// peer server.
func TestMemoryAndPool(t *testing.T) {
	set := metrics.NewSet()
	memory := newMemory(1<<40, set.NewCounter("jobs"))
	if !memory.Admit(1000) {
		t.Error("a job within the limit is refused")
	}
	memory.limit = memory.inUse() + 100
	got := []bool{memory.Admit(101), memory.Admit(100), memory.Admit(1)}
	pool := &Pool{limit: 100, refused: set.NewCounter("pool")}
	got = append(got, pool.Take(60) == nil, pool.Take(60) == nil)
	pool.Return(60)
	got = append(got, pool.Take(100) == nil, (*Pool)(nil).Take(1) == nil)
	if diff := cmp.Diff([]bool{false, true, false, true, false, true, true}, got); diff != "" {
		t.Errorf("admitted (-want +got):\n%s", diff)
	}
}

// Guards against idle strangers that keep other entries from connecting: the
// connection whose last request is longest ago makes room.
func TestPeerInUseIsKept(t *testing.T) {
	b := New(Limits{PeerConnections: 2}, clock.New(), zerolog.Nop(), metrics.NewSet())
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := b.Peers(tcp)
	t.Cleanup(func() { _ = listener.Close() })
	connect := func() (client, served net.Conn) {
		client, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
		served, err = listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return client, served
	}
	entry, served := connect()
	time.Sleep(2 * time.Millisecond)
	stranger, _ := connect()
	time.Sleep(minAge.Duration() + 20*time.Millisecond)
	Touch(served)
	connect()
	if _, err := stranger.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection: %v", err)
	}
	_ = entry.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := entry.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection in use: %v", err)
	}
}
