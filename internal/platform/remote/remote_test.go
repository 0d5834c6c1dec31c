package remote_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/remote"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
	"github.com/oriolepier/oriolepier/internal/standin/fleet"
	"github.com/oriolepier/oriolepier/internal/standin/journal"
	"github.com/oriolepier/oriolepier/internal/standin/machine"
)

func server(t *testing.T, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func wantSame(t *testing.T, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

func TestLogOverHTTP(t *testing.T) {
	log := journal.New(journal.Options{Clock: clock.New()})
	client := remote.NewLog(server(t, log.Handler()).URL+"/", nil)
	for index, data := range [][]byte{{0, 255, 10}, nil} {
		offset, err := client.Append(t.Context(), "cell.a.0/x y", data)
		check(t, err)
		wantSame(t, stream.Offset(index+1), offset)
	}
	page, err := client.Read(t.Context(), "cell.a.0/x y", 1, 10)
	check(t, err)
	wantSame(t, stream.Page{First: 1, End: 3, Records: []stream.Record{{Offset: 1, Data: []byte{0, 255, 10}}, {Offset: 2, Data: []byte{}}}}, page)
	cases := map[fault.Outcome]journal.Faults{
		fault.Unknown: {Down: true},
		fault.NotRun:  {Refuse: true},
	}
	for want, faults := range cases {
		log.SetFaults(faults)
		_, err := client.Append(t.Context(), "s", nil)
		wantSame(t, want, fault.OutcomeOf(err))
		wantSame(t, "append", fault.StepOf(err))
	}
}

func TestListAndUsagesOverHTTP(t *testing.T) {
	vm := inventory.VM{
		Name: "a1", Role: inventory.Worker, FailureDomain: "a", Rack: "r", State: inventory.Live,
		Size: amount.Amount{MilliCores: 1, MemoryMB: 2, Accelerators: 3}, Requests: "127.0.0.1:1", Agent: "127.0.0.1:2",
	}
	usage := worker.Usage{
		VM: "a1", Used: amount.Amount{MilliCores: 5}, Services: []worker.Service{{Name: "s", P99MS: 9, SlowdownPerc: 120}},
		TaskUsage: []worker.TaskUsage{{Job: "j", Attempt: 2, Kind: "k", Progress: 7}},
	}
	list := fleet.New(fleet.Options{Clock: clock.NewFake(clock.Hour).Clock(), VMs: []inventory.VM{vm}})
	list.Report(usage)
	url := server(t, list.Handler()).URL
	vms, err := remote.NewList(url, nil).Fetch(t.Context())
	check(t, err)
	wantSame(t, []inventory.VM{vm}, vms)
	usages, err := remote.NewUsages(url, nil).Fetch(t.Context(), "a")
	check(t, err)
	wantSame(t, []worker.Usage{usage}, usages)
}

// A list that has not changed is not sent again; one that has changed is, and
// so is the list of other failure domains.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	list := fleet.New(fleet.Options{Clock: clock.NewFake(clock.Hour).Clock()})
	one, other := inventory.VM{Name: "a1", FailureDomain: "a", State: inventory.Live}, inventory.VM{Name: "b1", FailureDomain: "b", State: inventory.Live}
	list.Put(one)
	list.Put(other)
	client := remote.NewList(server(t, list.Handler()).URL, nil)
	fetch := func(domain string, want ...inventory.VM) {
		t.Helper()
		vms, err := client.Fetch(t.Context(), domain)
		if len(want) == 0 {
			wantSame(t, true, errors.Is(err, inventory.ErrUnchanged))
			return
		}
		check(t, err)
		wantSame(t, want, vms)
	}
	fetch("a", one)
	fetch("a")
	list.SetState("b1", inventory.Leaving)
	other.State = inventory.Leaving
	fetch("a")
	fetch("b", other)
	fetch("a", one)
	list.SetState("a1", inventory.Leaving)
	one.State = inventory.Leaving
	fetch("a", one)
	fetch("a")
}

func TestAgentOverHTTP(t *testing.T) {
	vm := machine.New(machine.Options{VM: inventory.VM{Name: "a1"}, Clock: clock.NewFake(clock.Hour).Clock()})
	address := strings.TrimPrefix(server(t, vm.AgentHandler()).URL, "http://")
	agent := remote.NewAgent(nil)
	report, err := agent.Look(t.Context(), address)
	check(t, err)
	order := worker.StartOrder{Job: "j", Attempt: 3, Cell: "a.0", Boot: report.Boot, NotAfter: 10, LeaseUntil: 500, Size: amount.Amount{MilliCores: 7}}
	running := worker.Task{Job: "j", Attempt: 3, Cell: "a.0", Phase: worker.Running, Size: order.Size}
	task, err := agent.Start(t.Context(), address, order)
	check(t, err)
	wantSame(t, running, task)
	running.Throttled = true
	task, err = agent.Throttle(t.Context(), address, worker.ThrottleOrder{Job: "j", Attempt: 3, Slow: true})
	check(t, err)
	wantSame(t, running, task)
	report, err = agent.Renew(t.Context(), address, worker.RenewOrder{Cell: "a.0", Boot: report.Boot, LeaseUntil: 900})
	check(t, err)
	wantSame(t, []worker.Task{running}, report.Tasks)
	task, err = agent.Stop(t.Context(), address, worker.StopOrder{Job: "j", Attempt: 3})
	check(t, err)
	wantSame(t, worker.Stopped, task.Phase)
	check(t, agent.Forget(t.Context(), address, worker.ForgetOrder{Jobs: []worker.Task{task}}))
	order.Boot = "other"
	_, err = agent.Start(t.Context(), address, order)
	wantSame(t, fault.NotRun, fault.OutcomeOf(err))
	vm.SetFaults(machine.Faults{AgentDown: true})
	_, err = agent.Look(t.Context(), address)
	wantSame(t, fault.Unknown, fault.OutcomeOf(err))
}

func TestOutcomes(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	handler := func(serve http.HandlerFunc) string { return server(t, serve).URL }
	cases := []struct {
		name string
		ctx  context.Context
		url  string
		want fault.Outcome
	}{
		{"nobody listens", t.Context(), closed.URL, fault.NotSent},
		{"cancelled before", cancelled, closed.URL, fault.NotSent},
		{"not a URL", t.Context(), "http://127.0.0.1:port", fault.NotSent},
		{"bare 503", t.Context(), handler(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }), fault.Unknown},
		{"promised 503", t.Context(), handler(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Oriolepier-Outcome", "not_run")
			w.WriteHeader(503)
		}), fault.NotRun},
		{"dropped", t.Context(), handler(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), fault.Unknown},
		{"cut answer", t.Context(), handler(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"offset":1}`))
		}), fault.Unknown},
		{"not JSON", t.Context(), handler(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }), fault.Unknown},
		{"endless answer", t.Context(), handler(func(w http.ResponseWriter, _ *http.Request) {
			block := make([]byte, 1<<20)
			for range 40 {
				_, _ = w.Write(block)
			}
		}), fault.Unknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := remote.NewLog(test.url, nil).Append(test.ctx, "s", []byte("x"))
			wantSame(t, test.want, fault.OutcomeOf(err))
		})
	}
}

// A redirect that keeps the method would send an order twice.
func TestRedirectIsNotFollowed(t *testing.T) {
	var asked atomic.Int32
	url := server(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
	})).URL
	_, err := remote.NewLog(url, nil).Append(t.Context(), "s", []byte("x"))
	wantSame(t, fault.Unknown, fault.OutcomeOf(err))
	wantSame(t, int32(1), asked.Load())
}

// A server answers once, and drops the kept-alive connection after it has read
// the second request. net/http would send a GET again by itself; an append and
// an order must come once.
func TestNothingIsSentTwiceOnReusedConnections(t *testing.T) {
	calls := map[string]func(ctx context.Context, address string) error{
		"append": func(ctx context.Context, address string) error {
			_, err := remote.NewLog("http://"+address, client()).Append(ctx, "s", []byte("x"))
			return err
		},
		"empty append": func(ctx context.Context, address string) error {
			_, err := remote.NewLog("http://"+address, client()).Append(ctx, "s", nil)
			return err
		},
		"start": func(ctx context.Context, address string) error {
			_, err := remote.NewAgent(client()).Start(ctx, address, worker.StartOrder{Job: "j"})
			return err
		},
		"renew": func(ctx context.Context, address string) error {
			_, err := remote.NewAgent(client()).Renew(ctx, address, worker.RenewOrder{})
			return err
		},
		"stop": func(ctx context.Context, address string) error {
			_, err := remote.NewAgent(client()).Stop(ctx, address, worker.StopOrder{Job: "j"})
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			var taken atomic.Int32
			address := dropping(t, &taken)
			check(t, call(t.Context(), address))
			err := call(t.Context(), address)
			wantSame(t, fault.Unknown, fault.OutcomeOf(err))
			wantSame(t, int32(2), taken.Load())
		})
	}
}

// Shared by all calls, so that the second one reuses the connection.
var shared = &http.Client{Transport: &http.Transport{}}

func client() *http.Client { return shared }

// dropping answers the first request on each connection and drops the second.
func dropping(t *testing.T, taken *atomic.Int32) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	var group errgroup.Group
	group.Go(func() error {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			group.Go(func() error { return answerOnce(conn, taken) })
		}
		return nil
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return listener.Addr().String()
}

func answerOnce(conn net.Conn, taken *atomic.Int32) error {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for count := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return err
		}
		taken.Add(1)
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return err
		}
		if count == 0 {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
		}
	}
	return nil
}
