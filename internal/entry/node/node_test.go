package node

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/config/setting"
	"github.com/oriolepier/oriolepier/internal/entry/console"
	"github.com/oriolepier/oriolepier/internal/platform/backend"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/standin/fleet"
	"github.com/oriolepier/oriolepier/internal/standin/journal"
)

// longWait bounds waits for events that are expected at once.
const longWait = 30 * time.Second

// noticeTime is passed by hand, see site.clock.
const noticeTime = 77 * clock.Second

// site is an entry with a backend server that answers when it is told to.
type site struct {
	t       *testing.T
	node    *Node
	release chan struct{} // one receive lets one request end
	entered chan struct{}
	notice  chan struct{} // closed when the balancer's notice time is over
	stop    context.CancelFunc
	ended   *errgroup.Group
}

func newSite(t *testing.T) *site {
	s := &site{
		t: t, release: make(chan struct{}), entered: make(chan struct{}, 100),
		notice: make(chan struct{}), ended: &errgroup.Group{},
	}
	server := httptest.NewServer(http.HandlerFunc(s.answer))
	t.Cleanup(server.Close)
	clk := clock.New()
	log := journal.New(journal.Options{Clock: clk})
	list := fleet.New(fleet.Options{Clock: clk, VMs: []inventory.VM{{
		Name: "a-w-1", Role: inventory.Worker, FailureDomain: "a", State: inventory.Live,
		Size: amount.Amount{MilliCores: 1000, MemoryMB: 1000}, Requests: server.Listener.Addr().String(), Agent: "127.0.0.1:9",
	}}})
	platform := http.NewServeMux()
	platform.Handle("/streams/", log.Handler())
	platform.Handle("/", list.Handler())
	base := httptest.NewServer(platform)
	t.Cleanup(base.Close)
	publish(t, log)

	whole, err := New(Options{
		Clock: s.clock(clk),
		Log:   zerolog.Nop(),
		Setting: setting.Entry{
			Name: "a-e-1", FailureDomain: "a", Token: "0123456789abcdef", NoticeMS: noticeTime,
			Listen:   setting.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"},
			Platform: setting.Platform{Log: base.URL, Inventory: base.URL, Usage: base.URL, LogRetentionMS: clock.Hour},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.node = whole
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.ended.Go(func() error { return whole.Serve(ctx) })
	t.Cleanup(func() {
		whole.Kill()
		cancel()
		_ = s.ended.Wait()
	})
	s.until("ready", func() bool { return s.ready().Ready })
	return s
}

// clock is a clock on which the notice time ends when the test says so.
func (s *site) clock(clk clock.Clock) clock.Clock {
	sleep := clk.Sleep
	clk.Sleep = func(ctx context.Context, span clock.Millis) error {
		if span != noticeTime {
			return sleep(ctx, span)
		}
		select {
		case <-s.notice:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return clk
}

func publish(t *testing.T, log *journal.Journal) {
	tables := ledger.Tables{
		Routes: route.Table{
			Routes: []route.Route{{
				Name: "lookup", Class: route.Urgent, Team: "t", Pools: []string{"p"}, DeadlineMS: 20_000,
				Match: route.Match{PathPrefix: "/lookup"}, MaxRequestBytes: 1000, MaxAnswerBytes: 1000, MaxQueued: 10,
			}},
			Teams: []route.Team{{Name: "t", Quota: amount.Amount{MilliCores: 1000, MemoryMB: 1000}}},
		},
		Pools: pool.Table{
			Domains: []pool.Domain{{Name: "a", Cells: 1}},
			Pools: []pool.Pool{{
				Name: "p", FailureDomains: []string{"a"}, Slots: 8, Connections: 64, HoldMS: 20_000, LeaseMS: 6000, MaxMovesPerSec: 1,
			}},
		},
	}
	data, err := ledger.Encode(ledger.Change{Writer: "test", Sequence: 1, Edits: []ledger.Edit{{Replace: &tables}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(t.Context(), "config", data); err != nil {
		t.Fatal(err)
	}
}

// answer is the backend server.
func (s *site) answer(w http.ResponseWriter, r *http.Request) {
	s.entered <- struct{}{}
	select {
	case <-s.release:
	case <-r.Context().Done():
	}
	w.Header().Set(backend.RequestID, r.Header.Get(backend.RequestID))
	_, _ = io.WriteString(w, strings.Repeat("whole ", 100))
}

func (s *site) ready() console.Readiness {
	answer, err := http.Get("http://" + s.node.CallersAddress() + "/v1/ready")
	if err != nil {
		return console.Readiness{Reason: err.Error()}
	}
	defer func() { _ = answer.Body.Close() }()
	var state console.Readiness
	_ = json.NewDecoder(answer.Body).Decode(&state)
	return state
}

func (s *site) until(what string, holds func() bool) {
	s.t.Helper()
	for began := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > longWait {
			s.t.Fatalf("%s: not within %s", what, longWait)
		}
	}
}

// await waits until a request has reached the backend server.
func (s *site) await() {
	s.t.Helper()
	select {
	case <-s.entered:
	case <-time.After(longWait):
		s.t.Fatal("no request reached the backend server")
	}
}

type reply struct {
	status int
	body   string
	err    error
}

// lookup sends a request on a connection of its own.
func (s *site) lookup() <-chan reply {
	result := make(chan reply, 1)
	s.ended.Go(func() error {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		answer, err := client.Get("http://" + s.node.CallersAddress() + "/lookup/1")
		if err != nil {
			result <- reply{err: err}
			return nil
		}
		defer func() { _ = answer.Body.Close() }()
		body, err := io.ReadAll(answer.Body)
		result <- reply{answer.StatusCode, string(body), err}
		return nil
	})
	return result
}

// A planned stop: not ready at once, new requests served during the notice
// time, requests in flight answered whole, then nobody listens.
func TestGracefulShutdownCutsOffNothing(t *testing.T) {
	s := newSite(t)
	first := s.lookup()
	s.await()
	s.stop()
	s.until("not ready", func() bool { return s.ready().Reason == "shutting down" })
	second := s.lookup()
	s.await()
	close(s.notice)
	s.until("listener closed", func() bool {
		conn, err := net.Dial("tcp", s.node.CallersAddress())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	s.release <- struct{}{}
	s.release <- struct{}{}
	for _, result := range []<-chan reply{first, second} {
		want := reply{status: http.StatusOK, body: strings.Repeat("whole ", 100)}
		if diff := cmp.Diff(want, <-result, cmp.AllowUnexported(reply{})); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	}
	if err := s.ended.Wait(); err != nil {
		t.Error(err)
	}
}

func TestKillEndsAtOnce(t *testing.T) {
	s := newSite(t)
	open := s.lookup()
	s.await()
	s.node.Kill()
	if got := <-open; got.err == nil {
		t.Errorf("a killed entry answered: %+v", got)
	}
	close(s.release)
	if err := s.ended.Wait(); err != nil {
		t.Error(err)
	}
}

func TestDumpShowsWhatDecisionsUsed(t *testing.T) {
	s := newSite(t)
	close(s.release)
	<-s.lookup()
	request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.node.OperatorsAddress()+"/v1/dump", nil)
	request.Header.Set("Authorization", "Bearer 0123456789abcdef")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	var dump map[string]any
	if err := json.NewDecoder(answer.Body).Decode(&dump); err != nil {
		t.Fatal(err)
	}
	inner, _ := dump["control"].(map[string]any)
	got := []any{dump["entry"], dump["config_version"], inner["vms"], inner["cells_configured"]}
	if diff := cmp.Diff([]any{"a-e-1", 1.0, 1.0, 1.0}, got); diff != "" {
		t.Errorf("dump (-want +got):\n%s", diff)
	}
}

func TestAddressInUseIsAClearError(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	address := taken.Addr().String()
	_, err = New(Options{Clock: clock.New(), Log: zerolog.Nop(), Setting: setting.Entry{
		Name: "a-e-1", FailureDomain: "a",
		Listen: setting.Listen{Callers: "127.0.0.1:0", Operators: address, Peers: "127.0.0.1:0"},
	}})
	if err == nil || !strings.Contains(err.Error(), "listen operators "+address) {
		t.Errorf("got %v", err)
	}
}
