// Package demo shows the whole system in one process: entries in three failure
// domains, with stand-ins for the platform's store and workers, under a few
// faults, and what callers and workers saw.
//
//	stand-in store <── entries ──> stand-in workers
//	                      ^
//	callers: jobs, ───────┘
//
// # Usage
//
//	err := demo.Run(ctx, demo.Options{Out: os.Stdout, Progress: os.Stderr, Seed: 1})
//
// The last line of Out is one JSON object; the error tells of a broken promise.
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

// Size and course of the demo.
const (
	entries       = 6
	workers       = 9
	jobs          = 40
	jobTasks      = 4
	jobPeriod     = 200 * time.Millisecond
	readyLimit    = 10 * time.Second
	finishLimit   = 25 * time.Second
	storeDown     = 2 * time.Second
	callTimeout   = 3 * time.Second
	notice        = 300 // ms
	loopback      = "127.0.0.1"
	poolName      = "demo"
	queuePrefix   = "/demo/"
	workerCPU     = 8000
	workerMB      = 16000
	longestTaskMS = 1200
)

var domains = []string{"a", "b", "c"}

// Options of the demo.
type Options struct {
	Out      io.Writer
	Progress io.Writer
	Logs     io.Writer // of the entries; nil: nowhere
	Seed     uint64
}

// Result is what callers and workers saw.
type Result struct {
	Accepted  int      `json:"jobs_accepted"`
	Refused   int      `json:"jobs_refused"`
	Completed int      `json:"jobs_completed"`
	DoneRuns  int      `json:"task_runs_done"`
	Broken    []string `json:"broken"`
}

// stage is a running demo.
type stage struct {
	options Options
	rng     *rand.Rand
	store   *store.Store
	address string // of the store
	callers []string
	stops   []context.CancelFunc // of the entries
	hosts   []*worker.Host
	witness *witness
}

// Run runs the demo to its end.
func Run(ctx context.Context, options Options) error {
	if options.Logs == nil {
		options.Logs = io.Discard
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	st := &stage{options: options, rng: rand.New(rand.NewPCG(options.Seed, 1)), store: store.New(), witness: newWitness()}
	if err := st.begin(ctx, group); err != nil {
		return err
	}
	result, err := st.play(ctx)
	cancel()
	if wait := group.Wait(); err == nil && wait != nil && !errors.Is(wait, context.Canceled) {
		err = wait
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
	if len(result.Broken) > 0 {
		return errors.Errorf("%d promises broken", len(result.Broken))
	}
	return nil
}

// begin starts the stand-ins and the entries, and publishes the tables.
func (st *stage) begin(ctx context.Context, group *errgroup.Group) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", loopback+":0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	st.address = listener.Addr().String()
	server := &http.Server{Handler: platform.ServeStore(st.store.Log()), ReadHeaderTimeout: time.Second}
	group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	if err := st.publish(ctx); err != nil {
		return err
	}
	for i := range workers {
		if err := st.startWorker(ctx, group, i); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := st.startEntry(ctx, group, i); err != nil {
			return err
		}
	}
	return st.awaitReady(ctx)
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (st *stage) publish(ctx context.Context) error {
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
	return st.write(ctx, record)
}

func (st *stage) write(ctx context.Context, record journal.Record) error {
	answer := st.store.Log().Append(ctx, journal.Append{Topic: platform.Topic(release.Topic), At: -1, Records: []journal.Record{record}})
	if answer.Outcome != journal.Done {
		return errors.Errorf("write %s: %s", record.Key, answer.Outcome)
	}
	return nil
}

func (st *stage) startWorker(ctx context.Context, group *errgroup.Group, number int) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", loopback+":0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	clk := clock.New()
	rng := rand.New(rand.NewPCG(st.options.Seed, uint64(number)))
	standin := worker.New(fleet.Entry{
		ID: fmt.Sprintf("worker-%d", number), Service: poolName, Domain: domains[number%len(domains)],
		Room: fleet.Room{MilliCPU: workerCPU, MemoryMB: workerMB},
	}, clk.Now())
	standin.Draw = func(task job.Task) worker.Work {
		st.witness.began(task, standin.Entry.ID)
		return worker.Work{
			Length: clock.Millis(200 + rng.IntN(longestTaskMS)), Room: fleet.Room{MilliCPU: 1000, MemoryMB: 500},
		}
	}
	standin.OnEnd = func(task job.Task, cause fleet.EndCause) { st.witness.ended(task, cause) }
	host := worker.NewHost(standin, clk, st.store.Log())
	st.hosts = append(st.hosts, host)
	group.Go(func() error { return host.Serve(ctx, listener) })
	return nil
}

func (st *stage) startEntry(ctx context.Context, group *errgroup.Group, number int) error {
	ports, err := freePorts(ctx)
	if err != nil {
		return err
	}
	settings := setting.Entry{
		Name: fmt.Sprintf("entry-%d", number), FailureDomain: domains[number%len(domains)],
		Listen:   setting.Listen{Callers: ports[0], Operators: ports[1], Peers: ports[2]},
		Platform: setting.Platform{Store: st.address},
		NoticeMS: notice,
	}
	inner, stop := context.WithCancel(ctx)
	st.callers = append(st.callers, ports[0])
	st.stops = append(st.stops, stop)
	group.Go(func() error { return entry.RunWith(inner, settings, st.options.Logs) })
	return nil
}

// freePorts returns three addresses that nothing listens at.
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

func (st *stage) progressf(format string, values ...any) {
	_, _ = fmt.Fprintf(st.options.Progress, "demo: "+format+"\n", values...) // nobody to tell
}

// jobID names the demo's jobs.
func jobID(number int) job.ID { return job.ID(fmt.Sprintf("%016x", number)) }

func jobURL(address string, id job.ID) string {
	return "http://" + address + queuePrefix + string(id)
}

func tasksOf(number int) job.Spec {
	return job.Spec{Text: "demo " + strconv.Itoa(number), Steps: []job.Step{
		{Count: jobTasks, MilliCPU: 1000, MemoryMB: 500, EstimateMS: 700},
		{Count: 1, MilliCPU: 1000, MemoryMB: 500, EstimateMS: 700, After: []int{0}},
	}}
}
