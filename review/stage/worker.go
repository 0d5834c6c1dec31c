package stage

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/standin/worker"
	"github.com/oriolepier/oriolepier/platform"
)

// WorkerOptions describe a worker.
type WorkerOptions struct {
	ID     string
	Domain string
	Labels []string
	Cores  int64
	Work   clock.Millis // length of a run of a task that ends by itself
}

// Worker serves the project's stand-in of a worker in this process. It can crash and
// start again, be lost for good, and carry out an order late.
type Worker struct {
	ID      string
	Domain  string
	stage   *Stage
	address string

	mu        sync.Mutex
	standin   *worker.Worker
	state     workerState
	storeless bool // it does not reach the store
	server    *http.Server
	late      []lateOrder
}

// workerState says whether a worker runs.
type workerState int

const (
	up   workerState = iota
	down             // crashed: connections are refused
	dark             // lost: connections get no answer
)

// lateOrder makes the next order of a kind for a job unanswered, and carries it out later.
type lateOrder struct {
	kind  OrderKind
	job   job.ID
	delay time.Duration
}

// OrderKind is a kind of order.
type OrderKind string

// The kinds of orders that can be carried out late.
const (
	StartOrder OrderKind = "start"
	StopOrder  OrderKind = "stop"
)

// Start is a start of a task that a worker has begun.
type Start struct {
	At     clock.Millis
	Worker string
	Task   job.Task
	Run    int
	Token  int64
}

// End is an end of a run that a worker has listed.
type End struct {
	At     clock.Millis
	Worker string
	Task   job.Task
	Run    int
	Cause  fleet.EndCause
	Acked  bool // a successful end that was acknowledged before the lease lapsed
}

// Figures of workers.
const (
	milliPerCore    = 1000
	memoryMB        = 64000
	registerTimeout = time.Second
	holdPoll        = 10 * clock.Millis(1)
	advancePeriod   = 20 * clock.Millis(1)
)

func (s *Stage) addWorker(number int, options WorkerOptions) error {
	standin := worker.New(fleet.Entry{
		ID: options.ID, Service: Pool, Domain: options.Domain, Labels: options.Labels,
		Room: fleet.Room{MilliCPU: options.Cores * milliPerCore, MemoryMB: memoryMB},
	}, s.Clock.Now())
	standin.Entry.Incarnation = time.Now().UnixMilli()
	standin.StartClockAt(firstClock)
	standin.DrawWork = func(task job.Task) worker.Work { return s.work(task, options.Work) }
	w := &Worker{ID: options.ID, Domain: options.Domain, stage: s, standin: standin}
	standin.OnEvent = w.note
	addresses, err := s.freeAddresses(s.ip(workerPart, number), 1)
	if err != nil {
		return err
	}
	w.address = addresses[0]
	standin.Entry.Address = w.address
	if err := w.listen(); err != nil {
		return err
	}
	s.group.Go(func() error { w.sendHeartbeats(); return nil })
	s.group.Go(func() error { w.advance(); return nil })
	s.group.Go(func() error { <-s.ctx.Done(); w.close(); return nil })
	s.Workers = append(s.Workers, w)
	return nil
}

// firstClock is what the clocks of workers read at the start of the stage. They have been
// up for some time; the clock of a later life starts anew.
const firstClock = 600_000

// work draws the work of a run: tasks of jobs in Options.Lasting run until they are stopped.
func (s *Stage) work(task job.Task, length clock.Millis) worker.Work {
	if s.options.Lasting[task.Job] {
		length = 0
	}
	return worker.Work{Length: length}
}

// note records an event of the stand-in. The worker's mutex is held.
func (w *Worker) note(event worker.Event) {
	s := w.stage
	s.mu.Lock()
	switch event.Kind {
	case worker.RunStarted:
		s.starts = append(s.starts, Start{At: event.At, Worker: w.ID, Task: event.Task, Run: event.Run, Token: event.Token})
	case worker.RunEnded, worker.RunAcked:
		s.ends = append(s.ends, End{At: event.At, Worker: w.ID, Task: event.Task, Run: event.Run, Cause: event.Cause, Acked: event.Kind == worker.RunAcked})
	case worker.LeaseExtended:
	}
	s.mu.Unlock()
	if event.Kind == worker.LeaseExtended {
		return
	}
	how := ""
	if event.Kind == worker.RunEnded {
		how = event.Cause.String()
	}
	s.Record.Add(w.ID, "run_"+string(event.Kind), "job", string(event.Task.Job), "step", event.Task.Step, "index", event.Task.Index,
		"run", event.Run, "fence", event.Token, "how", how)
}

// Starts returns all starts so far.
func (s *Stage) Starts() []Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Start{}, s.starts...)
}

// Ends returns all ends so far.
func (s *Stage) Ends() []End {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]End{}, s.ends...)
}

// Lose loses the worker for good, silently: its runs end, it sends no heartbeat, and
// connections to it get no answer.
func (w *Worker) Lose() {
	w.stage.Record.Add(w.ID, "lost_for_good")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = dark
}

// Crash ends the worker: connections are reset and refused.
func (w *Worker) Crash() {
	w.stage.Record.Add(w.ID, "crashed")
	w.mu.Lock()
	w.state = down
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}

// Restart starts the worker again under its id. It knows nothing of before, and its clock
// starts anew.
func (w *Worker) Restart() error {
	w.stage.Record.Add(w.ID, "started_again")
	w.mu.Lock()
	w.standin.Restart(w.stage.Clock.Now())
	w.standin.Entry.Incarnation = time.Now().UnixMilli()
	w.standin.StartClockAt(0)
	w.state = up
	w.mu.Unlock()
	return w.listen()
}

// CarryOutLate leaves the next order of a kind for a job unanswered and carries it out after
// a delay, if the worker is up then under the id that the order names.
func (w *Worker) CarryOutLate(kind OrderKind, id job.ID, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = append(w.late, lateOrder{kind: kind, job: id, delay: delay})
}

// listen serves the worker's calls.
func (w *Worker) listen() error {
	listener, err := new(net.ListenConfig).Listen(w.stage.ctx, "tcp", w.address)
	if err != nil {
		return errors.Wrap(err, "listen for a worker")
	}
	server := &http.Server{Handler: w.handler(), ReadHeaderTimeout: time.Second}
	w.mu.Lock()
	w.server = server
	w.mu.Unlock()
	w.stage.group.Go(func() error { _ = server.Serve(listener); return nil })
	return nil
}

func (w *Worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.server.Close()
}

func (w *Worker) handler() http.Handler {
	return platform.ServeWorker(platform.WorkerCalls{
		Start: func(ctx context.Context, order fleet.Start) fleet.Answer {
			handle := func(now clock.Millis) fleet.Answer { return w.standin.Start(order, now) }
			w.leaveUnanswered(ctx, StartOrder, order.Task, order.Run, handle)
			return w.accept(ctx, order.To, handle)
		},
		Stop: func(ctx context.Context, order fleet.Stop) fleet.Answer {
			handle := func(now clock.Millis) fleet.Answer { return w.standin.Stop(order, now) }
			w.leaveUnanswered(ctx, StopOrder, order.Task, order.Run, handle)
			return w.accept(ctx, order.To, handle)
		},
		Pace: func(ctx context.Context, order fleet.Pace) fleet.Answer {
			return w.accept(ctx, order.To, func(now clock.Millis) fleet.Answer { return w.standin.Pace(order, now) })
		},
		Hold: w.hold,
	})
}

// unanswered ends a call without an answer, once its caller has given up.
func unanswered(ctx context.Context) {
	<-ctx.Done()
	panic(http.ErrAbortHandler)
}

// leaveUnanswered ends the call without an answer if the order is to be carried out late.
func (w *Worker) leaveUnanswered(ctx context.Context, kind OrderKind, task job.Task, run int, handle func(now clock.Millis) fleet.Answer) {
	delay, late := w.takeLate(kind, task.Job)
	if !late {
		return
	}
	w.stage.Record.Add(w.ID, string(kind)+"_unanswered", "job", string(task.Job), "run", run)
	w.stage.group.Go(func() error {
		if w.stage.Clock.Sleep(w.stage.ctx, clock.FromDuration(delay)) == nil {
			w.carryOut(kind, task, run, handle)
		}
		return nil
	})
	unanswered(ctx)
}

func (w *Worker) takeLate(kind OrderKind, id job.ID) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, late := range w.late {
		if late.kind == kind && late.job == id {
			w.late = append(w.late[:i], w.late[i+1:]...)
			return late.delay, true
		}
	}
	return 0, false
}

// carryOut carries out an order late.
func (w *Worker) carryOut(kind OrderKind, task job.Task, run int, handle func(now clock.Millis) fleet.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	outcome := "lost"
	if w.state == up {
		outcome = handle(w.stage.Clock.Now()).Outcome.String()
	}
	w.stage.Record.Add(w.ID, string(kind)+"_carried_out_late", "job", string(task.Job), "run", run, "outcome", outcome)
}

func (w *Worker) accept(ctx context.Context, to fleet.Address, handle func(now clock.Millis) fleet.Answer) fleet.Answer {
	w.mu.Lock()
	if w.state != up {
		w.mu.Unlock()
		unanswered(ctx)
	}
	defer w.mu.Unlock()
	if to.ID != w.ID {
		return fleet.Answer{Outcome: fleet.OtherIncarnation}
	}
	return handle(w.stage.Clock.Now())
}

// hold waits for an end, a refusal or the time that the order allows.
func (w *Worker) hold(ctx context.Context, order fleet.Hold) (report fleet.Report) {
	deadline := w.stage.Clock.Now() + clock.Millis(order.WaitMS)
	first := true
	for {
		w.mu.Lock()
		if w.state != up {
			w.mu.Unlock()
			unanswered(ctx)
		}
		if order.To.ID != w.ID {
			w.mu.Unlock()
			return fleet.Report{Outcome: fleet.OtherIncarnation}
		}
		now := w.stage.Clock.Now()
		if !first {
			order = order.WithoutAck()
		}
		first = false
		report = w.standin.Hold(order, now)
		w.mu.Unlock()
		if len(report.Ended) > 0 || report.Outcome != fleet.Accepted || now >= deadline || w.stage.Clock.Sleep(ctx, holdPoll) != nil {
			return report
		}
	}
}

// sendHeartbeats renews the worker's entry in the store while it is up.
func (w *Worker) sendHeartbeats() {
	for {
		w.mu.Lock()
		entry, sends := w.standin.Entry, w.state == up && !w.storeless
		entry.ClockMS = w.standin.Clock(w.stage.Clock.Now())
		w.mu.Unlock()
		if data, err := platform.EncodeWorker(entry); err == nil && sends {
			ctx, cancel := context.WithTimeout(w.stage.ctx, registerTimeout)
			w.stage.Log.Append(ctx, journal.Append{Topic: platform.TopicWorkers, ExpectedEnd: -1, Records: []journal.Record{{Key: entry.ID, Value: data}}})
			cancel()
		}
		if w.stage.Clock.Sleep(w.stage.ctx, heartbeat) != nil {
			return
		}
	}
}

// advance ends what is due.
func (w *Worker) advance() {
	for w.stage.Clock.Sleep(w.stage.ctx, advancePeriod) == nil {
		w.mu.Lock()
		if w.state == up {
			w.standin.Advance(w.stage.Clock.Now())
		}
		w.mu.Unlock()
	}
}

func (w *Worker) setStoreless(storeless bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeless = storeless
}
