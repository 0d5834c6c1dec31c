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

// Load of the cell that BenchmarkCell plays: 890 workers of 64 processors in five
// failure domains, and jobs as a large fleet gets them.
const (
	cellDomains   = 5
	cellWorkers   = 890
	cellLinks     = 3 // in each failure domain
	jobsPerSecond = 42
	batchImages   = 30
	serveImages   = 16
	lastingJobs   = 173
)

// cell is an owner with links and workers, in one process and in real time.
type cell struct {
	workers map[string]*simulated
	run     *Runtime
	rng     *rand.Rand
	jobs    int
}

// simulated is a worker that ends each run after its time.
type simulated struct {
	mu      sync.Mutex
	begun   time.Time
	running map[job.Task]fleet.Run
	ended   []fleet.End
	count   int64
	wake    chan struct{}
	length  func(text string) time.Duration // 0: for ever
}

func (s *simulated) clockMS() int64 { return time.Since(s.begun).Milliseconds() + 1 }

func (s *simulated) start(_ context.Context, o fleet.Start) fleet.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[o.Task] = fleet.Run{Task: o.Task, Run: o.Run, Usage: 10}
	if length := s.length(o.Text); length > 0 {
		time.AfterFunc(length, func() { s.end(o.Task, o.Run, fleet.EndDone) })
	}
	return fleet.Answer{ClockMS: s.clockMS()}
}

func (s *simulated) stop(_ context.Context, o fleet.Stop) fleet.Answer {
	s.end(o.Task, o.Run, fleet.EndStopped)
	return fleet.Answer{ClockMS: s.clockMS()}
}

func (s *simulated) end(task job.Task, run int, cause fleet.EndCause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.running[task]; !ok {
		return
	}
	delete(s.running, task)
	s.count++
	s.ended = append(s.ended, fleet.End{Number: s.count, Task: task, Run: run, Cause: cause})
	select {
	case s.wake <- struct{}{}:
	default: // a hold is awake already
	}
}

func (s *simulated) hold(ctx context.Context, o fleet.Hold) fleet.Report {
	if !s.hasEnds(o.Acked) && o.WaitMS > 0 {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(o.WaitMS)*time.Millisecond)
		defer cancel()
		select {
		case <-s.wake:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report := fleet.Report{ClockMS: s.clockMS(), Born: 1}
	for _, run := range s.running {
		report.Running = append(report.Running, run)
	}
	report.Ended = append(report.Ended, s.ended...)
	return report
}

// hasEnds forgets the ends that are recorded and reports whether others are left.
func (s *simulated) hasEnds(acked int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.ended) > 0 && s.ended[0].Number <= acked {
		s.ended = s.ended[1:]
	}
	return len(s.ended) > 0
}

func newCell() *cell {
	c := &cell{workers: map[string]*simulated{}, rng: rand.New(rand.NewPCG(1, 2))}
	for i := range cellWorkers {
		c.workers[fmt.Sprintf("%08x%03d", i*7919, i)] = &simulated{
			begun: time.Now(), running: map[job.Task]fleet.Run{}, wake: make(chan struct{}, 1), length: lengthOf,
		}
	}
	return c
}

func lengthOf(text string) time.Duration {
	var millis int
	_, _ = fmt.Sscanf(text, "%d", &millis) // 0 where it is no number
	return time.Duration(millis) * time.Millisecond
}

func (c *cell) entries() []fleet.Entry {
	var entries []fleet.Entry
	for id := range c.workers {
		domain := fmt.Sprint("domain-", id[len(id)-1]%cellDomains)
		entries = append(entries, fleet.Entry{
			ID: id, Born: 1, Service: "pool", Address: id, Domain: domain,
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

// spec draws a job: a ration, a batch job, or a lasting one.
func (c *cell) spec(lasting bool) job.Spec {
	c.jobs++
	spec := job.Spec{ID: job.ID(fmt.Sprintf("%016x", c.jobs)), Queue: "q", Text: "1700"}
	switch {
	case lasting:
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

// BenchmarkCell plays a second of a large cell in each round, in real time. Its
// processor profile tells what an owner, its links and the encoding cost:
//
//	go test -run none -bench Cell -benchtime 10x -cpuprofile cell.prof ./internal/site/runtime
func BenchmarkCell(b *testing.B) {
	c := newCell()
	ctx, cancel := context.WithCancel(b.Context())
	group := new(errgroup.Group)
	sink := logline.New(discard{})
	group.Go(func() error { return sink.Serve(ctx) })
	pool, workers := c.links(b, ctx, group, zerolog.New(sink))
	counts := owner.NewCounts(metrics.NewSet())
	tables := manifest.New(1, []manifest.Queue{
		{Name: "q", Host: "h", PathPrefix: "/q/", Pools: []string{"pool"}, Attempts: 4, Stretch: 2, Allowance: 500},
	}, []manifest.Pool{{Name: "pool"}}, manifest.Limits{})
	c.run = New(Options{
		Epoch: 1, Topic: "cell", Clock: clock.New(), Log: store.New().Log(), Orders: pool.Dispatch(),
		Times: owner.DefaultTimes(10*clock.Second, 120*clock.Second), Cores: 0.8, Logger: zerolog.New(sink).With().Timestamp().Logger(),
		Counts:  counts,
		Tables:  func(seen int64) (Tables, bool) { return Tables{Version: 1, Manifest: tables}, seen < 1 },
		Workers: workers,
	})
	group.Go(func() error { return pool.Serve(ctx) })
	group.Go(func() error { return c.run.Serve(ctx) })
	for range lastingJobs {
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
	_ = group.Wait() // the context's own end
}

func (c *cell) submit(ctx context.Context, group *errgroup.Group, lasting bool) {
	spec := c.spec(lasting)
	group.Go(func() error {
		c.run.Submit(ctx, spec)
		return nil
	})
}

// links makes the owner's pool and the links of other entries, over TCP.
func (c *cell) links(b *testing.B, ctx context.Context, group *errgroup.Group, logger zerolog.Logger) (*linkshard.Pool, func(int64) (Workers, bool)) {
	b.Helper()
	counts := linkshard.NewCounts(metrics.NewSet())
	var links []linkshard.Entry
	for i := range cellDomains * cellLinks {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		shard := linkshard.NewShard(linkshard.ShardOptions{Clock: clock.New(), Calls: c.calls(), Logger: logger, Counts: counts})
		server := peer.NewServer(peer.Security{}, peer.Handlers{Link: shard.Serve})
		group.Go(func() error { return server.Serve(ctx, listener) })
		links = append(links, linkshard.Entry{
			Address: listener.Addr().String(), Domain: fmt.Sprint("domain-", i%cellDomains), Cores: 0.8,
		})
	}
	pool := linkshard.NewPool(linkshard.PoolOptions{
		Clock: clock.New(), Logger: logger, Epoch: 1, Name: "owner", Cores: 0.8,
		Own:     linkshard.NewShard(linkshard.ShardOptions{Clock: clock.New(), Calls: c.calls(), Logger: logger, Counts: counts}),
		Counts:  counts,
		Entries: func() []linkshard.Entry { return links },
		Dial:    peer.NewClient(peer.Security{}).Link,
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

// discard takes all log lines.
type discard struct{}

func (discard) Write(data []byte) (int, error) { return len(data), nil }
