package process

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/remote"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
	"github.com/oriolepier/oriolepier/internal/standin/journal"
	"github.com/oriolepier/oriolepier/internal/standin/machine"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

// A cut takes one failure domain from the log and leaves the witness.
func TestCutOfOneDomain(t *testing.T) {
	site := NewSite(PlatformFlags{})
	site.Log.SetFaults(journal.Faults{Cut: []string{"a"}})
	outcomes := map[string]fault.Outcome{}
	for _, domain := range []string{"", "a", "b"} {
		server := httptest.NewServer(site.Handler(domain))
		_, err := remote.NewLog(server.URL, nil).Append(t.Context(), "s", nil)
		if outcomes[domain] = fault.OutcomeOf(err); err == nil {
			outcomes[domain] = fault.Answered
		}
		Observer(t.Context(), server.URL, domain+"-caller")(t.Context(), witness.Event{Kind: witness.TaskAccepted, Key: domain + "k"})
		server.Close()
	}
	want := map[string]fault.Outcome{"": fault.Answered, "a": fault.Unknown, "b": fault.Answered}
	if diff := cmp.Diff(want, outcomes); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
	if accepted := site.Record.Verdict().TasksAccepted; accepted != 3 {
		t.Errorf("the witness heard of %d tasks, want 3", accepted)
	}
}

// Events of many goroutines under one name are all counted.
func TestObserverKeepsOrder(t *testing.T) {
	site := NewSite(PlatformFlags{})
	server := httptest.NewServer(site.Handler(""))
	defer server.Close()
	observe := Observer(t.Context(), server.URL, "caller")
	var group errgroup.Group
	for range 50 {
		group.Go(func() error {
			observe(t.Context(), witness.Event{Kind: witness.RequestRan, Request: "r"})
			return nil
		})
	}
	_ = group.Wait()
	if ran := site.Record.Verdict().RequestsRan; ran != 50 {
		t.Errorf("the witness heard of %d, want 50", ran)
	}
}

// A worker process enters itself in the list, serves, and leaves the list.
func TestWorkerProcess(t *testing.T) {
	site := NewSite(PlatformFlags{})
	server := httptest.NewServer(site.Handler(""))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	reader, writer := io.Pipe()
	var group errgroup.Group
	group.Go(func() error {
		code := RunStandin(ctx, StandinFlags{Worker: WorkerFlags{
			Name: "a1", FailureDomain: "a", ListenRequests: "127.0.0.1:0", ListenAgent: "127.0.0.1:0",
			Platform: server.URL, Cores: 4, MemoryMB: 100, Slots: 2, ReportMS: 1,
		}}, writer)
		if code != exitDone {
			t.Errorf("exit code %d", code)
		}
		return nil
	})
	line, err := bufio.NewReader(reader).ReadBytes('\n')
	if err != nil {
		t.Fatal(err)
	}
	var printed inventory.VM
	if err := json.Unmarshal(line, &printed); err != nil {
		t.Fatal(err)
	}
	vms, err := remote.NewList(server.URL, nil).Fetch(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]inventory.VM{printed}, vms); diff != "" {
		t.Errorf("list (-printed +listed):\n%s", diff)
	}
	var usages []worker.Usage
	for len(usages) == 0 {
		if usages, err = remote.NewUsages(server.URL, nil).Fetch(t.Context(), "a"); err != nil {
			t.Fatal(err)
		}
	}
	cancel()
	_ = group.Wait()
	if vms, err := remote.NewList(server.URL, nil).Fetch(t.Context()); err != nil || len(vms) != 0 {
		t.Errorf("list after the end: %+v, %v", vms, err)
	}
}

func TestNoiseFlags(t *testing.T) {
	noise, err := parseNoise([]string{"watch=50", "ration/watch=200"}, 10)
	if err != nil {
		t.Fatal(err)
	}
	want := machine.Noise{LoadPercent: 10, ByPair: map[machine.Pair]int{{Kind: "watch"}: 50, {Service: "ration", Kind: "watch"}: 200}}
	if diff := cmp.Diff(want, noise); diff != "" {
		t.Errorf("noise (-want +got):\n%s", diff)
	}
	for _, bad := range []string{"watch", "watch=", "=5", "watch=much"} {
		if _, err := parseNoise([]string{bad}, 0); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}
