package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/batch/journal"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// single is one owner of one cell whose log and workers answer at once.
type single struct {
	time    *clock.Fake
	log     []stream.Record
	bytes   int
	journal *journal.Journal
	owner   *Owner
	running map[string]map[string]worker.Task // by address
	stops   int
}

func newSingle(workers int) *single {
	s := &single{time: clock.NewFake(clock.Hour), running: map[string]map[string]worker.Task{}}
	s.journal = journal.New(journal.Options{Writer: "a-e-1/01JE0000000000000000000000", Clock: s.time.Clock(), Append: s.append})
	s.owner = New(Options{Cell: "a.0", Entry: "a-e-1", Domain: "a", Clock: s.time.Clock(), Journal: s.journal, Agent: s.agent(), Log: zerolog.Nop()})
	world := World{ConfigReadAt: s.time.Now(), Entries: []Peer{{Name: "a-e-1", Domain: "a", Live: true}}}
	world.Config = ledger.Config{Version: 1}
	world.Config.Pools.Domains = []pool.Domain{{Name: "a", Cells: 1}}
	world.Config.Pools.Pools = []pool.Pool{{Name: "batch", FailureDomains: []string{"a"}, HoldMS: clock.Minute, LeaseMS: 15 * clock.Second}}
	for n := range workers {
		name := fmt.Sprintf("a-w-%05d", n)
		s.running[name] = map[string]worker.Task{}
		world.VMs = append(world.VMs, inventory.VM{
			Name: name, Role: inventory.Worker, FailureDomain: "a", Rack: fmt.Sprint(n / 11), State: inventory.Live,
			Size: amount.Amount{MilliCores: 64_000, MemoryMB: 250_000}, Agent: name,
		})
	}
	s.owner.SetWorld(world)
	for !s.owner.Owns() {
		s.step()
	}
	return s
}

func (s *single) append(_ string, data []byte, done func(stream.Offset, error)) {
	off := stream.Offset(len(s.log) + 1)
	s.log = append(s.log, stream.Record{Offset: off, Data: data})
	s.bytes += len(data)
	done(off, nil)
}

// step is one round of the control loop; it returns the time that it took.
func (s *single) step() time.Duration {
	s.time.Advance(50)
	begun := time.Now()
	s.owner.world.ConfigReadAt = s.time.Now()
	s.journal.Tick()
	from := s.owner.Next()
	s.owner.Read(stream.Page{Records: s.log[from-1:], First: 1, End: stream.Offset(len(s.log) + 1)}, s.time.Now())
	s.owner.Tick()
	return time.Since(begun)
}

func (s *single) submit(n int) string {
	spec := job.Spec{
		Caller: "caller", Key: fmt.Sprint(n), Team: fmt.Sprint("team", n%20), Class: route.Batch, Pools: []string{"batch"}, Kind: "k",
		Size: amount.Amount{MilliCores: 2200, MemoryMB: 4000}, MaxAttempts: 5,
	}
	s.journal.Add(s.owner.stream, cell.Encode(cell.Submit{Spec: spec}), nil)
	return job.ID("a.0", "caller", spec.Key)
}

func (s *single) report(at string) worker.Report {
	report := worker.Report{Boot: "boot", Now: worker.Time(s.time.Now())}
	for _, task := range s.running[at] {
		report.Tasks = append(report.Tasks, task)
	}
	return report
}

func (s *single) agent() Agent {
	return Agent{
		Start: func(at string, order worker.StartOrder, done func(worker.Task, error)) {
			task := worker.Task{Job: order.Job, Attempt: order.Attempt, Cell: order.Cell, Phase: worker.Running}
			s.running[at][order.Job] = task
			done(task, nil)
		},
		Renew: func(at string, _ worker.RenewOrder, done func(worker.Report, error)) { done(s.report(at), nil) },
		Look:  func(at string, done func(worker.Report, error)) { done(s.report(at), nil) },
		Stop: func(at string, order worker.StopOrder, done func(worker.Task, error)) {
			s.stops++
			delete(s.running[at], order.Job)
			done(worker.Task{Job: order.Job, Attempt: order.Attempt, Phase: worker.Stopped}, nil)
		},
		Forget: func(string, worker.ForgetOrder, func(error)) {},
	}
}

// fill submits jobs and runs until those that fit have started.
func (s *single) fill(jobs, fit int) []string {
	ids := make([]string, 0, jobs)
	for n := range jobs {
		ids = append(ids, s.submit(n))
		if n%1000 == 0 {
			s.step()
		}
	}
	for s.owner.state.Counters().Starts < int64(fit) {
		s.step()
	}
	return ids
}

// A wave of cancellations costs each round a bounded number of stop orders.
func TestCancelWaveIsBounded(t *testing.T) {
	s := newSingle(20)
	ids := s.fill(3000, 560)
	for _, id := range ids {
		s.journal.Add(s.owner.stream, cell.Encode(cell.Cancel{ID: id}), nil)
	}
	rounds := 0
	for ; s.owner.state.Ended() < len(ids); rounds++ {
		before := s.stops
		s.step()
		if s.stops-before > maxOrders {
			t.Fatalf("%d stop orders in one round", s.stops-before)
		}
		if rounds > 1000 {
			t.Fatalf("only %d of %d have ended", s.owner.state.Ended(), len(ids))
		}
	}
	if running := int(s.owner.state.Counters().Starts); s.stops != running {
		t.Errorf("%d stop orders for %d running tasks", s.stops, running)
	}
}

// BenchmarkCancelWave cancels 100,000 jobs at once, of which 5,600 run.
func BenchmarkCancelWave(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		s := newSingle(200)
		ids := s.fill(100_000, 5600)
		longest, rounds := time.Duration(0), 0
		b.StartTimer()
		for _, id := range ids {
			s.journal.Add(s.owner.stream, cell.Encode(cell.Cancel{ID: id}), nil)
		}
		for ; s.owner.state.Ended() < len(ids); rounds++ {
			longest = max(longest, s.step())
		}
		b.ReportMetric(float64(longest.Microseconds())/1000, "longest_round_ms")
		b.ReportMetric(float64(rounds)*0.05, "virtual_s")
	}
}

// BenchmarkRound measures the control loop of an owner that renews all of its
// workers, at rest with 28 tasks on each.
func BenchmarkRound(b *testing.B) {
	for _, workers := range []int{100, 1200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := newSingle(workers)
			s.fill(workers*28, workers*28)
			before, at := len(s.log), s.time.Now()
			bytes := s.bytes
			b.ResetTimer()
			for b.Loop() {
				s.step()
			}
			seconds := float64(s.time.Now()-at) / 1000
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/seconds/1e7, "percent_of_a_core")
			b.ReportMetric(float64(len(s.log)-before)/seconds, "appends/virtual_s")
			b.ReportMetric(float64(s.bytes-bytes)/seconds, "log_bytes/virtual_s")
		})
	}
}

// BenchmarkStarts measures jobs from submission to start at 70 starts a second.
func BenchmarkStarts(b *testing.B) {
	for _, workers := range []int{100, 1200, 10_000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := newSingle(workers)
			before, at, n := len(s.log), s.time.Now(), 0
			bytes := s.bytes
			b.ResetTimer()
			for b.Loop() {
				for range 7 {
					s.submit(n)
					n++
				}
				s.step()
				s.step()
			}
			seconds := float64(s.time.Now()-at) / 1000
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/start")
			b.ReportMetric(float64(len(s.log)-before)/seconds, "appends/virtual_s")
			b.ReportMetric(float64(s.bytes-bytes)/float64(n), "log_bytes/start")
		})
	}
}
