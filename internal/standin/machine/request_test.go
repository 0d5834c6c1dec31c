package machine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/platform/backend"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

// serve puts a machine behind real listeners.
func (bench bench) serve() (requests string) {
	front, back := listener(bench.T), listener(bench.T)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return bench.vm.Serve(ctx, front, back) })
	bench.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			bench.Error(err)
		}
	})
	return "http://" + front.Addr().String()
}

func listener(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// seen is what a caller sees of one request.
type seen struct {
	Status  int
	Refused bool
	OwnID   bool
	Whole   bool // the body is the right one
	Broken  bool // no answer, or not the whole of it
}

func ask(client *http.Client, url, id string) seen {
	request, err := http.NewRequest(http.MethodPost, url+"/ration/daily?answer_bytes=200000", http.NoBody)
	if err != nil {
		return seen{Broken: true}
	}
	request.Header.Set(backend.RequestID, id)
	answer, err := client.Do(request)
	if err != nil {
		return seen{Broken: true}
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return seen{
		Status: answer.StatusCode, Refused: backend.Refused(answer), OwnID: answer.Header.Get(backend.RequestID) == id,
		Whole: bytes.Equal(body, witness.Body(id, 200000)), Broken: err != nil,
	}
}

func TestRequestFaults(t *testing.T) {
	good := seen{Status: http.StatusOK, OwnID: true, Whole: true}
	refused := seen{Status: http.StatusServiceUnavailable, Refused: true, OwnID: true}
	cases := []struct {
		name   string
		faults Faults
		want   seen
		ran    int
	}{
		{"none", Faults{}, good, 1},
		{"slow", Faults{SlowMS: 1}, good, 1},
		{"refuses all", Faults{RefuseAll: true}, refused, 0},
		{"lying refusal", Faults{LyingRefusal: true}, refused, 1},
		{"dropped after taking", Faults{DropTaken: true}, seen{Broken: true}, 1},
		{"dropped, not run", Faults{DropUnrun: true}, seen{Broken: true}, 0},
		{"reset mid-answer", Faults{ResetMid: true}, seen{Status: http.StatusOK, OwnID: true, Broken: true}, 1},
		{"short body", Faults{ShortBody: true}, seen{Status: http.StatusOK, OwnID: true}, 1},
		{"wrong id", Faults{WrongID: true}, seen{Status: http.StatusOK}, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			bench := newBench(t, Options{Slots: 1, GuardOn: true})
			url := bench.serve()
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			bench.vm.SetFaults(test.faults)
			if diff := cmp.Diff(test.want, ask(client, url, "r-1")); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
			if ran := bench.record.Verdict().RequestsRan; ran != test.ran {
				t.Errorf("ran %d times, want %d", ran, test.ran)
			}
		})
	}
}

// All slots are held; the guard refuses at once, without it the request waits.
func TestGuard(t *testing.T) {
	bench := newBench(t, Options{Slots: 1, GuardOn: true})
	entered, leave := make(chan struct{}), make(chan struct{})
	bench.vm.options.Clock.Sleep = func(context.Context, clock.Millis) error {
		entered <- struct{}{}
		<-leave
		return nil
	}
	url := bench.serve()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var group errgroup.Group
	first := seen{}
	group.Go(func() error {
		first = ask(client, url, "first")
		return nil
	})
	<-entered
	if second := ask(client, url, "second"); !second.Refused {
		t.Errorf("second request: %+v", second)
	}
	leave <- struct{}{}
	_ = group.Wait()
	if !first.Whole {
		t.Errorf("first request: %+v", first)
	}
	if stats := bench.vm.Stats(); stats.Ran != 1 || stats.MostRunning != 1 || stats.Refused != 1 {
		t.Errorf("stats %+v", stats)
	}
}

// A request that is never answered holds its slot until its caller gives up.
func TestHang(t *testing.T) {
	bench := newBench(t, Options{Slots: 1, GuardOn: true})
	url := bench.serve()
	bench.vm.SetFaults(Faults{Hang: true})
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	ctx, giveUp := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		_, err := client.Do(request)
		return err
	})
	for bench.vm.Stats().Running == 0 {
		runtime.Gosched()
	}
	bench.vm.SetFaults(Faults{})
	if second := ask(client, url, "second"); !second.Refused {
		t.Errorf("second request: %+v", second)
	}
	giveUp()
	if err := group.Wait(); !errors.Is(err, context.Canceled) {
		t.Errorf("hung request: %v", err)
	}
	for !ask(client, url, "third").Whole { // the server notices soon
		runtime.Gosched()
	}
}

// A connection beyond the limit gets a refusal; one that closes makes room.
func TestConnectionLimit(t *testing.T) {
	bench := newBench(t, Options{Slots: 8, Connections: 1, GuardOn: true})
	url := bench.serve()
	one, other := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	if first, second := ask(one, url, "1"), ask(other, url, "2"); !first.Whole || !second.Refused {
		t.Errorf("first %+v, second %+v", first, second)
	}
	one.CloseIdleConnections()
	for !ask(other, url, "3").Whole {
		other.CloseIdleConnections() // the server notices the close soon
	}
	other.CloseIdleConnections()
	if stats := bench.vm.Stats(); stats.ConnectionsRefused < 1 {
		t.Errorf("stats %+v", stats)
	}
}

func TestNoise(t *testing.T) {
	bench := newBench(t, Options{Slots: 4, Noise: Noise{
		ByPair: map[Pair]int{{"ration", "batch"}: 200, {"", "batch"}: 50}, LoadPercent: 100,
	}})
	slowdown := func(service string) float64 {
		bench.vm.mu.Lock()
		defer bench.vm.mu.Unlock()
		return bench.vm.slowdown(service)
	}
	want := func(what, service string, want float64) {
		t.Helper()
		if got := slowdown(service); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("%s: slowdown of %s %v, want %v", what, service, got, want)
		}
	}
	want("alone", "ration", 1)
	bench.start(bench.order("j", 1)) // holds 0.6 of the processors
	want("beside a task", "ration", 1+0.6*2)
	want("beside a task", "drawer", 1+0.6*0.5)
	bench.vm.slots <- struct{}{}
	bench.vm.slots <- struct{}{}
	want("half loaded", "ration", 1+0.6*2*1.5)
	if _, err := bench.agent.Throttle(t.Context(), "agent", worker.ThrottleOrder{Job: "j", Attempt: 1, Slow: true}); err != nil {
		t.Fatal(err)
	}
	want("beside a throttled task", "ration", 1+0.6*2*1.5/4)
	bench.vm.noteLatency("ration", 40, 2)
	bench.vm.noteLatency("ration", 10, 1)
	services := bench.vm.Usage().Services
	if diff := cmp.Diff([]worker.Service{{Name: "ration", P99MS: 10, SlowdownPerc: 150}}, services); diff != "" {
		t.Errorf("services (-want +got):\n%s", diff)
	}
}
