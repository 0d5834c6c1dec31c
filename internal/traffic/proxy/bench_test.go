package proxy_test

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
	"github.com/oriolepier/oriolepier/internal/traffic/proxy"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

// echo answers as a backend server does: with the request's id.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(backend.RequestID, r.Header.Get(backend.RequestID))
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
}

func startBackendServer(tb testing.TB, handler http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(handler)
	tb.Cleanup(server.Close)
	return server
}

// testRoute returns the route that most tests use.
func testRoute() route.Route {
	return route.Route{
		Name: "ration", Match: route.Match{PathPrefix: "/"}, Class: route.Urgent, Pools: []string{"serving"},
		DeadlineMS: 5000, RetryPercent: 100,
	}
}

// testSnapshot returns a snapshot with one pool, whose backend servers have the
// given addresses and the names w0, w1 and so on.
func testSnapshot(rt route.Route, addresses ...string) *view.Snapshot {
	rt.Name = "ration"
	serving := view.Pool{Config: pool.Pool{Name: "serving", Slots: 8, Connections: 64}}
	for i, address := range addresses {
		serving.Backends = append(serving.Backends, view.Backend{
			Name: fmt.Sprintf("w%d", i), Address: address, FailureDomain: "a", Rack: "r",
		})
	}
	return &view.Snapshot{
		Version: 1, Domain: "a", Entries: 1, KnownEntries: 1, Routes: []route.Route{rt},
		Pools: map[string]view.Pool{"serving": serving},
	}
}

func startProxy(tb testing.TB, snap *view.Snapshot, dial func(context.Context, string, string) (net.Conn, error)) *proxy.Proxy {
	box := view.NewHolder()
	box.Store(snap)
	g := proxy.New(proxy.Options{Holder: box, Clock: clock.New(), Log: zerolog.Nop(), Entry: "e0", Seed: 7, Dial: dial})
	ctx, cancel := context.WithCancel(tb.Context())
	var group errgroup.Group
	group.Go(func() error { return g.Run(ctx) })
	tb.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return g
}

func TestForwardsGetAndPost(t *testing.T) {
	server := startBackendServer(t, echo)
	front := httptest.NewServer(startProxy(t, testSnapshot(testRoute(), server.Listener.Addr().String()), nil))
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

// measuredPath is one of the two paths that the benchmarks compare.
type measuredPath struct {
	name, target string
	latencies    *hdrhistogram.Histogram
	cpuTime      time.Duration
}

// BenchmarkEntry compares requests sent to a backend server directly with
// requests sent through the entry, over loopback, in turn, at 2,000 requests a
// second.
func BenchmarkEntry(b *testing.B) {
	server := startBackendServer(b, echo)
	front := httptest.NewServer(startProxy(b, testSnapshot(testRoute(), server.Listener.Addr().String()), nil))
	defer front.Close()
	paths := []*measuredPath{{name: "direct", target: server.URL}, {name: "through", target: front.URL}}
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
			each.measureRequest(b, transport)
		}
	}
	for _, each := range paths {
		b.ReportMetric(float64(each.latencies.ValueAtQuantile(50)), each.name+"_p50_us")
		b.ReportMetric(float64(each.latencies.ValueAtQuantile(99)), each.name+"_p99_us")
		b.ReportMetric(float64(each.cpuTime.Microseconds())/float64(b.N), each.name+"_cpu_us")
	}
}

// BenchmarkEntryAtHalfLoad compares the same paths with half of a backend
// server's slots busy: four concurrent requests of 2 ms each.
func BenchmarkEntryAtHalfLoad(b *testing.B) {
	const concurrent = 4
	server := startBackendServer(b, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Millisecond)
		echo(w, r)
	})
	front := httptest.NewServer(startProxy(b, testSnapshot(testRoute(), server.Listener.Addr().String()), nil))
	defer front.Close()
	paths := []*measuredPath{{name: "direct", target: server.URL}, {name: "through", target: front.URL}}
	transport := &http.Transport{MaxIdleConnsPerHost: 16}
	defer transport.CloseIdleConnections()
	for _, each := range paths {
		each.latencies = hdrhistogram.New(1, 10_000_000, 3)
	}
	var mu sync.Mutex
	for b.Loop() {
		for _, each := range paths {
			var group errgroup.Group
			for range concurrent {
				group.Go(func() error {
					sample := measuredPath{target: each.target, latencies: hdrhistogram.New(1, 10_000_000, 3)}
					sample.measureRequest(b, transport)
					mu.Lock()
					defer mu.Unlock()
					each.latencies.Merge(sample.latencies)
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

func (measuredPath *measuredPath) measureRequest(b *testing.B, transport *http.Transport) {
	cpuBefore, start := processCPUTime(b), time.Now()
	req, _ := http.NewRequest(http.MethodGet, measuredPath.target+"/ration", nil)
	req.Header.Set(backend.RequestID, "caller-1")
	answer, err := transport.RoundTrip(req)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	_ = measuredPath.latencies.RecordValue(time.Since(start).Microseconds())
	measuredPath.cpuTime += processCPUTime(b) - cpuBefore
}

func processCPUTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
