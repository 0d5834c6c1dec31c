package runtime

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/logline"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/linkshard"
	"github.com/oriolepier/oriolepier/internal/site/peer"
	"github.com/oriolepier/oriolepier/internal/standin/store"
)

// Load of BenchmarkCell: 890 workers of 64 processors in five failure domains, and
// the jobs of a large fleet.
const (
	cellDomains     = 5
	cellWorkers     = 890
	cellLinks       = 3 // per failure domain
	jobsPerSecond   = 42
	batchImages     = 30
	serveImages     = 16
	longRunningJobs = 173
)

// cell is an owner with links and simulated workers, in one process and in real time.
type cell struct {
	workers map[string]*simulatedWorker
	runtime *Runtime
	rng     *rand.Rand
	lastJob int
}

// simulatedWorker is a worker whose runs end after the duration in the task's text.
type simulatedWorker struct {
	mu            sync.Mutex
	startedAt     time.Time
	running       map[job.Task]fleet.Run
	ended         []fleet.End
	lastEndNumber int64
	wake          chan struct{}
	duration      func(text string) time.Duration // of a run; 0 if it does not end
}

func (s *simulatedWorker) clockMS() int64 { return time.Since(s.startedAt).Milliseconds() + 1 }

func (s *simulatedWorker) start(_ context.Context, o fleet.Start) fleet.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[o.Task] = fleet.Run{Task: o.Task, Run: o.Run, Usage: 10}
	if duration := s.duration(o.Text); duration > 0 {
		time.AfterFunc(duration, func() { s.end(o.Task, o.Run, fleet.EndDone) })
	}
	return fleet.Answer{ClockMS: s.clockMS()}
}

func (s *simulatedWorker) stop(_ context.Context, o fleet.Stop) fleet.Answer {
	s.end(o.Task, o.Run, fleet.EndStopped)
	return fleet.Answer{ClockMS: s.clockMS()}
}

func (s *simulatedWorker) end(task job.Task, run int, cause fleet.EndCause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.running[task]; !ok {
		return
	}
	delete(s.running, task)
	s.lastEndNumber++
	s.ended = append(s.ended, fleet.End{Number: s.lastEndNumber, Task: task, Run: run, Cause: cause})
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is pending
	}
}

func (s *simulatedWorker) hold(ctx context.Context, o fleet.Hold) fleet.Report {
	if !s.hasUnackedEnds(o.Acked) && o.WaitMS > 0 {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(o.WaitMS)*time.Millisecond)
		defer cancel()
		select {
		case <-s.wake:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report := fleet.Report{ClockMS: s.clockMS(), Incarnation: 1}
	for _, run := range s.running {
		report.Running = append(report.Running, run)
	}
	report.Ended = append(report.Ended, s.ended...)
	return report
}

// hasUnackedEnds deletes the acknowledged ends and reports whether any others remain.
func (s *simulatedWorker) hasUnackedEnds(acked int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.ended) > 0 && s.ended[0].Number <= acked {
		s.ended = s.ended[1:]
	}
	return len(s.ended) > 0
}

func newCell() *cell {
	c := &cell{workers: map[string]*simulatedWorker{}, rng: rand.New(rand.NewPCG(1, 2))}
	for i := range cellWorkers {
		c.workers[fmt.Sprintf("%08x%03d", i*7919, i)] = &simulatedWorker{
			startedAt: time.Now(), running: map[job.Task]fleet.Run{}, wake: make(chan struct{}, 1), duration: durationOf,
		}
	}
	return c
}

func durationOf(text string) time.Duration {
	var millis int
	_, _ = fmt.Sscanf(text, "%d", &millis) // 0 if the text is not a number
	return time.Duration(millis) * time.Millisecond
}

func (c *cell) entries() []fleet.Entry {
	var entries []fleet.Entry
	for id := range c.workers {
		domain := fmt.Sprint("domain-", id[len(id)-1]%cellDomains)
		entries = append(entries, fleet.Entry{
			ID: id, Incarnation: 1, Service: "pool", Address: id, Domain: domain,
			Room: fleet.Room{MilliCPU: 64000, MemoryMB: 256000}, Labels: []string{"a"},
		})
	}
	return entries
}

func (c *cell) calls() fleet.Calls {
	return fleet.Calls{
		Start: func(ctx context.Context, o fleet.Start) fleet.Answer { return c.workers[o.To.ID].start(ctx, o) },
		Stop:  func(ctx context.Context, o fleet.Stop) fleet.Answer { return c.workers[o.To.ID].stop(ctx, o) },
		Pace:  func(context.Context, fleet.Pace) fleet.Answer { return fleet.Answer{} },
		Hold:  func(ctx context.Context, o fleet.Hold) fleet.Report { return c.workers[o.To.ID].hold(ctx, o) },
	}
}

// spec returns the next job: long-running if set, else at random a short batch job
// of one step or a best-effort job of two.
func (c *cell) spec(longRunning bool) job.Spec {
	c.lastJob++
	spec := job.Spec{ID: job.ID(fmt.Sprintf("%016x", c.lastJob)), Queue: "q", Text: "1700"}
	switch {
	case longRunning:
		spec.Text = "0"
		spec.Steps = []job.Step{{
			Count: 24, MilliCPU: 4000, MemoryMB: 8000, Lasting: true, TargetMS: 50, MayMiss: 4,
			Image: fmt.Sprint("serve-", c.rng.IntN(serveImages)),
		}}
	case c.rng.IntN(jobsPerSecond) < 17:
		spec.Text = "640"
		spec.Steps = []job.Step{{Count: 14, MilliCPU: 20000, MemoryMB: 40000, EstimateMS: 640}}
	default:
		step := job.Step{
			Count: 39, MilliCPU: 7000, MemoryMB: 13000, EstimateMS: 1700, Checkpointing: true, Fills: true,
			Image: fmt.Sprint("batch-", c.rng.IntN(batchImages)),
		}
		next := step
		next.After = []int{0}
		spec.Steps = []job.Step{step, next}
	}
	return spec
}

// BenchmarkCell runs a large cell for one second of real time per iteration. Its CPU
// profile shows the cost of the owner, its links and the encoding:
//
//	go test -run none -bench Cell -benchtime 10x -cpuprofile cell.prof ./internal/site/runtime
func BenchmarkCell(b *testing.B) {
	c := newCell()
	ctx, cancel := context.WithCancel(b.Context())
	group := new(errgroup.Group)
	sink := logline.New(discardWriter{})
	group.Go(func() error { return sink.Serve(ctx) })
	pool, workers := c.links(b, ctx, group, zerolog.New(sink))
	counts := owner.NewMetrics(metrics.NewSet())
	tables := manifest.New(1, []manifest.Queue{
		{Name: "q", Host: "h", PathPrefix: "/q/", Pools: []string{"pool"}, MaxFailures: 4, ObjectiveFactor: 2, ObjectiveAllowance: 500},
	}, []manifest.Pool{{Name: "pool"}}, manifest.Limits{})
	c.runtime = New(Options{
		Epoch: 1, Topic: "cell", Clock: clock.New(), Log: store.New().Log(), Dispatcher: pool.Dispatch(),
		Times: owner.DefaultTimes(10*clock.Second, 120*clock.Second), Cores: 0.8, Logger: zerolog.New(sink).With().Timestamp().Logger(),
		Metrics: counts,
		Tables:  func(seen int64) (Tables, bool) { return Tables{Version: 1, Manifest: tables}, seen < 1 },
		Workers: workers,
	})
	group.Go(func() error { return pool.Serve(ctx) })
	group.Go(func() error { return c.runtime.Serve(ctx) })
	for range longRunningJobs {
		c.submit(ctx, group, true)
	}
	time.Sleep(4 * time.Second)
	before := counts.Starts.Get()
	for b.Loop() {
		for range jobsPerSecond {
			c.submit(ctx, group, false)
			time.Sleep(time.Second / jobsPerSecond)
		}
	}
	b.ReportMetric(float64(counts.Starts.Get()-before)/b.Elapsed().Seconds(), "starts/s")
	cancel()
	_ = group.Wait() // ends with the context's error
}

func (c *cell) submit(ctx context.Context, group *errgroup.Group, longRunning bool) {
	spec := c.spec(longRunning)
	group.Go(func() error {
		c.runtime.Submit(ctx, spec, 0)
		return nil
	})
}

// links returns the owner's pool and its source of workers, and serves the links of
// other entries over TCP.
func (c *cell) links(b *testing.B, ctx context.Context, group *errgroup.Group, logger zerolog.Logger) (*linkshard.Pool, func(int64) (Workers, bool)) {
	b.Helper()
	counts := linkshard.NewMetrics(metrics.NewSet())
	var links []linkshard.Entry
	for i := range cellDomains * cellLinks {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		shard := linkshard.NewShard(linkshard.ShardOptions{Clock: clock.New(), Calls: c.calls(), Logger: logger, Metrics: counts})
		server := peer.NewServer(peer.Security{}, peer.Handlers{OpenLink: shard.Serve})
		group.Go(func() error { return server.Serve(ctx, listener) })
		links = append(links, linkshard.Entry{
			Address: listener.Addr().String(), Domain: fmt.Sprint("domain-", i%cellDomains), Cores: 0.8,
		})
	}
	pool := linkshard.NewPool(linkshard.PoolOptions{
		Clock: clock.New(), Logger: logger, Epoch: 1, Name: "owner", Cores: 0.8,
		LocalShard: linkshard.NewShard(linkshard.ShardOptions{Clock: clock.New(), Calls: c.calls(), Logger: logger, Metrics: counts}),
		Metrics:    counts,
		Entries:    func() []linkshard.Entry { return links },
		Dial:       peer.NewClient(peer.Security{}).OpenLink,
	})
	entries := c.entries()
	return pool, func(seen int64) (Workers, bool) {
		if seen > 0 {
			return Workers{}, false
		}
		var known []linkshard.Worker
		for _, entry := range entries {
			known = append(known, linkshard.Worker{ID: entry.ID, Domain: entry.Domain})
		}
		pool.SetWorkers(known)
		return Workers{Version: 1, Entries: entries}, true
	}
}

// discardWriter discards log lines.
type discardWriter struct{}

func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }
