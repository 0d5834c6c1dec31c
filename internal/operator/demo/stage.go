package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/standin/load"
	"github.com/oriolepier/oriolepier/internal/standin/machine"
	"github.com/oriolepier/oriolepier/internal/standin/process"
)

// What there is. It fits on a small machine: nothing here computes.
const (
	entriesPerDomain = 2
	workersPerDomain = 3
	workerCores      = 8
	workerMemoryMB   = 32_000
	slots            = 8
	connections      = 64
	serviceTime      = 8 * clock.Millis(1)
	logRetention     = 10 * clock.Minute
	listLag          = 500 * clock.Millis(1)
	usageLag         = 1 * clock.Second
	usageEvery       = 500 * clock.Millis(1)
	autoSaveEvery    = 500 * clock.Millis(1)
	// Slowdown of a request by tasks that hold all processors.
	noisePercent = 150
)

var domains = []string{"a", "b", "c"}

// stage is all that the demo runs on.
type stage struct {
	options  Options
	started  clock.Millis
	site     *process.Site
	servers  []*served
	machines []*machine.Machine
	caller   *load.Caller
	entries  []*member
	version  int64  // of the configuration in force
	sequence uint64 // of the operator's changes
	lost     int    // entries
	figures  figures

	mu sync.Mutex
}

// served is a listener with what answers on it.
type served struct {
	domain   string // of its clients; empty for the main address
	listener net.Listener
	server   *http.Server
}

func newStage(ctx context.Context, options Options) (*stage, error) {
	site := process.NewSite(process.PlatformFlags{
		RetentionMS: int64(logRetention), ListLagMS: int64(listLag), UsageLagMS: int64(usageLag), OutGraceMS: int64(outGrace),
	})
	stage := &stage{options: options, site: site, started: site.Clock.Now()}
	for _, domain := range append([]string{""}, domains...) {
		listener, err := listen(ctx)
		if err != nil {
			return nil, err
		}
		stage.servers = append(stage.servers, &served{domain: domain, listener: listener, server: &http.Server{Handler: site.Handler(domain)}})
	}
	if err := stage.planEntries(ctx); err != nil {
		return nil, err
	}
	stage.caller = load.New(load.Options{
		Name: "kennel", Clock: site.Clock, Seed: options.Seed, Observe: site.Record.Observer(), Entries: stage.offered,
	})
	return stage, nil
}

func listen(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	return listener, errors.Wrap(err, "listen on loopback")
}

// platformURL is where the entries of a failure domain reach the platform.
func (stage *stage) platformURL(domain string) string {
	index := slices.IndexFunc(stage.servers, func(served *served) bool { return served.domain == domain })
	return "http://" + stage.servers[index].listener.Addr().String()
}

// serve runs the platform, the workers and the balancer until the context ends.
func (stage *stage) serve(ctx context.Context, group *errgroup.Group) {
	for _, served := range stage.servers {
		group.Go(func() error { return serveHTTP(served) })
		group.Go(func() error {
			<-ctx.Done()
			return served.server.Close()
		})
	}
	for _, domain := range domains {
		for number := range workersPerDomain {
			group.Go(func() error { return stage.serveWorker(ctx, domain, number+1) })
		}
	}
	group.Go(func() error { return stage.reportUsage(ctx) })
	group.Go(func() error { return stage.balance(ctx) })
}

func serveHTTP(served *served) error {
	if err := served.server.Serve(served.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve the platform")
	}
	return nil
}

func (stage *stage) serveWorker(ctx context.Context, domain string, number int) error {
	requests, err := listen(ctx)
	if err != nil {
		return err
	}
	agent, err := listen(ctx)
	if err != nil {
		return err
	}
	vm := inventory.VM{
		Name: fmt.Sprintf("%s-worker-%d", domain, number), Role: inventory.Worker, FailureDomain: domain,
		Rack: fmt.Sprintf("%s-rack-%d", domain, number), State: inventory.Live,
		Size:     amount.Amount{MilliCores: workerCores * 1000, MemoryMB: workerMemoryMB},
		Requests: requests.Addr().String(), Agent: agent.Addr().String(),
	}
	worker := machine.New(machine.Options{
		VM: vm, Clock: stage.site.Clock, Seed: stage.options.Seed + uint64(number), Slots: slots, Connections: connections, GuardOn: true,
		Noise:     machine.Noise{ByPair: map[machine.Pair]int{{Kind: "forecast"}: noisePercent}, LoadPercent: 50},
		ServiceMS: serviceTime, AutoSaveMS: autoSaveEvery, Observe: stage.site.Record.Observer(),
	})
	stage.site.List.Put(vm)
	stage.mu.Lock()
	stage.machines = append(stage.machines, worker)
	stage.mu.Unlock()
	return worker.Serve(ctx, requests, agent)
}

func (stage *stage) workers() []*machine.Machine {
	stage.mu.Lock()
	defer stage.mu.Unlock()
	return slices.Clone(stage.machines)
}

func (stage *stage) reportUsage(ctx context.Context) error {
	for stage.site.Clock.Sleep(ctx, usageEvery) == nil {
		for _, worker := range stage.workers() {
			stage.site.List.Report(worker.Usage())
		}
	}
	return nil
}

// until waits for a condition.
func (stage *stage) until(ctx context.Context, limit clock.Millis, what string, holds func() bool) error {
	for end := stage.site.Clock.Now() + limit; !holds(); {
		if stage.site.Clock.Now() > end {
			return errors.Errorf("%s: not within %d ms", what, limit)
		}
		if err := stage.site.Clock.Sleep(ctx, pollEvery); err != nil {
			return errors.Wrap(err, what)
		}
	}
	return nil
}

// sayf shows progress to a person.
func (stage *stage) sayf(format string, values ...any) {
	elapsed := float64(stage.site.Clock.Now()-stage.started) / 1000
	_, _ = fmt.Fprintf(stage.options.Progress, "%6.1f s  %s\n", elapsed, fmt.Sprintf(format, values...)) // nobody may be watching
}
