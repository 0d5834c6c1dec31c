// Package demo runs the whole system in one process: entries in three failure
// domains with stand-ins for the platform's store and workers. It injects a few
// faults and reports what callers and workers observed.
//
//	stand-in store <── entries ──> stand-in workers
//	                      ^
//	callers: jobs ────────┘
//
// # Usage
//
//	err := demo.Run(ctx, demo.Options{Out: os.Stdout, Progress: os.Stderr, Seed: 1})
//
// The last line of Out is one JSON object. Violated guarantees give an error.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/release"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/config/setting"
	"github.com/oriolepier/oriolepier/internal/operator/entry"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/standin/store"
	"github.com/oriolepier/oriolepier/internal/standin/worker"
	"github.com/oriolepier/oriolepier/platform"
)

// Sizes, times and faults of the demo.
const (
	entries           = 6
	workers           = 9
	jobs              = 40
	jobTasks          = 4                      // parallel tasks per job
	jobPeriod         = 200 * time.Millisecond // between submissions, and between polls
	readyTimeout      = 10 * time.Second
	completionTimeout = 25 * time.Second
	storeOutage       = 2 * time.Second
	callTimeout       = 3 * time.Second
	noticeMS          = 300 // time for the load balancer to observe that an entry leaves
	loopback          = "127.0.0.1"
	poolName          = "demo"
	queuePrefix       = "/demo/"
	workerCPU         = 8000  // milli-CPU per worker
	workerMB          = 16000 // memory per worker, MB
	taskLengthRangeMS = 1200  // task lengths are 200 ms plus up to this
)

var domains = []string{"a", "b", "c"}

// Options are the outputs and the seed of the demo.
type Options struct {
	Out      io.Writer
	Progress io.Writer
	Logs     io.Writer // log lines of the entries; discarded if nil
	Seed     uint64
}

// Result is what callers and workers observed.
type Result struct {
	Accepted   int      `json:"jobs_accepted"`
	Refused    int      `json:"jobs_refused"`
	Completed  int      `json:"jobs_completed"`
	DoneRuns   int      `json:"task_runs_done"`
	Violations []string `json:"broken"`
}

// demoRun is one run of the demo.
type demoRun struct {
	options    Options
	rng        *rand.Rand
	store      *store.Store
	address    string // address of the store
	callers    []string
	stops      []context.CancelFunc // stop functions of the entries
	hosts      []*worker.Host
	runChecker *runChecker
}

// Run runs the demo until all accepted jobs have completed or timed out.
func Run(ctx context.Context, options Options) error {
	if options.Logs == nil {
		options.Logs = io.Discard
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	d := &demoRun{options: options, rng: rand.New(rand.NewPCG(options.Seed, 1)), store: store.New(), runChecker: newRunChecker()}
	if err := d.start(ctx, group); err != nil {
		return err
	}
	result, err := d.runScenario(ctx)
	cancel()
	if groupErr := group.Wait(); err == nil && groupErr != nil && !errors.Is(groupErr, context.Canceled) {
		err = groupErr
	}
	if err != nil {
		return err
	}
	data, err := json.Marshal(result)
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	if _, err := fmt.Fprintf(options.Out, "%s\n", data); err != nil {
		return errors.Wrap(err, "print result")
	}
	if len(result.Violations) > 0 {
		return errors.Errorf("%d guarantees violated", len(result.Violations))
	}
	return nil
}

// start starts the stand-ins and the entries, and publishes the tables.
func (d *demoRun) start(ctx context.Context, group *errgroup.Group) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", loopback+":0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	d.address = listener.Addr().String()
	server := &http.Server{Handler: platform.ServeStore(d.store.Log()), ReadHeaderTimeout: time.Second}
	group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	if err := d.publish(ctx); err != nil {
		return err
	}
	for i := range workers {
		if err := d.startWorker(ctx, group, i); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := d.startEntry(ctx, group, i); err != nil {
			return err
		}
	}
	return d.awaitReady(ctx)
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// publish puts a route and a pool for the jobs of the demo into force.
func (d *demoRun) publish(ctx context.Context) error {
	published := release.Release{
		Version: 1,
		Routes: route.Table{Routes: []route.Route{{
			Name: "demo", Match: route.Match{PathPrefix: queuePrefix}, Class: route.Batch, Pools: []string{poolName}, DeadlineMS: 1000,
		}}},
		Pools: pool.Table{Pools: []pool.Pool{{Name: poolName, FailureDomains: domains, Slots: 4, Connections: 64}}},
	}
	record, err := published.Record()
	if err != nil {
		return err
	}
	return d.appendRecord(ctx, record)
}

func (d *demoRun) appendRecord(ctx context.Context, record journal.Record) error {
	answer := d.store.Log().Append(ctx, journal.Append{Topic: platform.Topic(release.Topic), ExpectedEnd: -1, Records: []journal.Record{record}})
	if answer.Outcome != journal.Done {
		return errors.Errorf("write %s: %s", record.Key, answer.Outcome)
	}
	return nil
}

func (d *demoRun) startWorker(ctx context.Context, group *errgroup.Group, number int) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", loopback+":0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	clk := clock.New()
	rng := rand.New(rand.NewPCG(d.options.Seed, uint64(number)))
	standin := worker.New(fleet.Entry{
		ID: fmt.Sprintf("worker-%d", number), Service: poolName, Domain: domains[number%len(domains)],
		Room: fleet.Room{MilliCPU: workerCPU, MemoryMB: workerMB},
	}, clk.Now())
	standin.DrawWork = func(task job.Task) worker.Work {
		d.runChecker.recordStart(task, standin.Entry.ID)
		return worker.Work{
			Length: clock.Millis(200 + rng.IntN(taskLengthRangeMS)), Room: fleet.Room{MilliCPU: 1000, MemoryMB: 500},
		}
	}
	standin.OnEnd = func(task job.Task, cause fleet.EndCause) { d.runChecker.recordEnd(task, cause) }
	host := worker.NewHost(standin, clk, d.store.Log())
	d.hosts = append(d.hosts, host)
	group.Go(func() error { return host.Serve(ctx, listener) })
	return nil
}

func (d *demoRun) startEntry(ctx context.Context, group *errgroup.Group, number int) error {
	ports, err := freePorts(ctx)
	if err != nil {
		return err
	}
	settings := setting.Entry{
		Name: fmt.Sprintf("entry-%d", number), FailureDomain: domains[number%len(domains)],
		Listen:   setting.Listen{Callers: ports[0], Operators: ports[1], Peers: ports[2]},
		Platform: setting.Platform{Store: d.address},
		NoticeMS: noticeMS,
	}
	entryCtx, stop := context.WithCancel(ctx)
	d.callers = append(d.callers, ports[0])
	d.stops = append(d.stops, stop)
	group.Go(func() error { return entry.RunWith(entryCtx, settings, d.options.Logs) })
	return nil
}

// freePorts returns three addresses that are not in use.
func freePorts(ctx context.Context) ([3]string, error) {
	var addresses [3]string
	for i := range addresses {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", loopback+":0")
		if err != nil {
			return addresses, errors.Wrap(err, "find a port")
		}
		addresses[i] = listener.Addr().String()
		defer func() { _ = listener.Close() }()
	}
	return addresses, nil
}

func (d *demoRun) progressf(format string, values ...any) {
	_, _ = fmt.Fprintf(d.options.Progress, "demo: "+format+"\n", values...) // a closed output has no other place for the error
}

// jobID returns the id of a job of the demo.
func jobID(number int) job.ID { return job.ID(fmt.Sprintf("%016x", number)) }

func jobURL(address string, id job.ID) string {
	return "http://" + address + queuePrefix + string(id)
}

// jobSpec returns a job of parallel tasks and one task that follows them.
func jobSpec(number int) job.Spec {
	return job.Spec{Text: "demo " + strconv.Itoa(number), Steps: []job.Step{
		{Count: jobTasks, MilliCPU: 1000, MemoryMB: 500, EstimateMS: 700},
		{Count: 1, MilliCPU: 1000, MemoryMB: 500, EstimateMS: 700, After: []int{0}},
	}}
}
