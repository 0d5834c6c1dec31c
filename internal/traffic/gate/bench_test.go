package gate_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/traffic/backend"
	"github.com/oriolepier/oriolepier/internal/traffic/gate"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

// echo answers as a backend server does: with the request's id.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(backend.RequestID, r.Header.Get(backend.RequestID))
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}

func backendServer(tb testing.TB, handler http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(handler)
	tb.Cleanup(server.Close)
	return server
}

// table is the route that most tests use.
func table() route.Route {
	return route.Route{
		Name: "ration", Match: route.Match{PathPrefix: "/"}, Class: route.Urgent, Pools: []string{"serving"},
		DeadlineMS: 5000, RetryPercent: 100,
	}
}

// snapshot has one pool of the given addresses, named w0, w1 and so on.
func snapshot(row route.Route, addresses ...string) *view.Snapshot {
	row.Name = "ration"
	serving := view.Pool{Config: pool.Pool{Name: "serving", Slots: 8, Connections: 64}}
	for i, address := range addresses {
		serving.Backends = append(serving.Backends, view.Backend{
			Name: fmt.Sprintf("w%d", i), Address: address, FailureDomain: "a", Rack: "r",
		})
	}
	return &view.Snapshot{
		Version: 1, Domain: "a", Entries: 1, SeedCount: 1, Routes: []route.Route{row},
		Pools: map[string]view.Pool{"serving": serving},
	}
}

func start(tb testing.TB, snap *view.Snapshot, dial func(context.Context, string, string) (net.Conn, error)) *gate.Gate {
	box := view.NewBox()
	box.Store(snap)
	under := gate.New(gate.Options{Box: box, Clock: clock.New(), Log: zerolog.Nop(), Entry: "e0", Seed: 7, Dial: dial})
	ctx, cancel := context.WithCancel(tb.Context())
	var group errgroup.Group
	group.Go(func() error { return under.Run(ctx) })
	tb.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return under
}

func TestAnswersThroughTheGate(t *testing.T) {
	worker := backendServer(t, echo)
	front := httptest.NewServer(start(t, snapshot(table(), worker.Listener.Addr().String()), nil))
	defer front.Close()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		req, _ := http.NewRequest(method, front.URL+"/ration/a%20b?q=1", strings.NewReader("dogs"))
		answer, err := front.Client().Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(answer.Body)
		if want := method + " /ration/a%20b?q=1 dogs"; string(body) != want || answer.StatusCode != http.StatusOK {
			t.Errorf("got %d %q, want %q", answer.StatusCode, body, want)
		}
	}
}

// path is one of the ways that BenchmarkEntry compares.
type path struct {
	name, target string
	latencies    *hdrhistogram.Histogram
	processor    time.Duration
}

// BenchmarkEntry compares caller to worker with caller to entry to worker over
// loopback, turn by turn, at 2,000 requests a second.
func BenchmarkEntry(b *testing.B) {
	worker := backendServer(b, echo)
	front := httptest.NewServer(start(b, snapshot(table(), worker.Listener.Addr().String()), nil))
	defer front.Close()
	paths := []*path{{name: "direct", target: worker.URL}, {name: "through", target: front.URL}}
	for _, each := range paths {
		each.latencies = hdrhistogram.New(1, 10_000_000, 3)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 16}
	defer transport.CloseIdleConnections()
	tick := time.NewTicker(500 * time.Microsecond)
	defer tick.Stop()
	for b.Loop() {
		for _, each := range paths {
			<-tick.C
			each.once(b, transport)
		}
	}
	for _, each := range paths {
		b.ReportMetric(float64(each.latencies.ValueAtQuantile(50)), each.name+"_p50_us")
		b.ReportMetric(float64(each.latencies.ValueAtQuantile(99)), each.name+"_p99_us")
		b.ReportMetric(float64(each.processor.Microseconds())/float64(b.N), each.name+"_cpu_us")
	}
}

// BenchmarkEntryAtHalfLoad compares the same ways with half of a worker's slots
// busy: four requests at a time, each of which takes the worker 2 ms.
func BenchmarkEntryAtHalfLoad(b *testing.B) {
	const busy = 4
	worker := backendServer(b, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Millisecond)
		echo(w, r)
	})
	front := httptest.NewServer(start(b, snapshot(table(), worker.Listener.Addr().String()), nil))
	defer front.Close()
	paths := []*path{{name: "direct", target: worker.URL}, {name: "through", target: front.URL}}
	transport := &http.Transport{MaxIdleConnsPerHost: 16}
	defer transport.CloseIdleConnections()
	for _, each := range paths {
		each.latencies = hdrhistogram.New(1, 10_000_000, 3)
	}
	var mu sync.Mutex
	for b.Loop() {
		for _, each := range paths {
			var group errgroup.Group
			for range busy {
				group.Go(func() error {
					one := path{target: each.target, latencies: hdrhistogram.New(1, 10_000_000, 3)}
					one.once(b, transport)
					mu.Lock()
					defer mu.Unlock()
					each.latencies.Merge(one.latencies)
					return nil
				})
			}
			_ = group.Wait()
		}
	}
	for _, each := range paths {
		b.ReportMetric(float64(each.latencies.ValueAtQuantile(50)), each.name+"_p50_us")
		b.ReportMetric(float64(each.latencies.ValueAtQuantile(99)), each.name+"_p99_us")
	}
}

func (path *path) once(b *testing.B, transport *http.Transport) {
	began, start := processorTime(b), time.Now()
	req, _ := http.NewRequest(http.MethodGet, path.target+"/ration", nil)
	req.Header.Set(backend.RequestID, "caller-1")
	answer, err := transport.RoundTrip(req)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	_ = path.latencies.RecordValue(time.Since(start).Microseconds())
	path.processor += processorTime(b) - began
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
