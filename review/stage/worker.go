package stage

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/standin/worker"
)

// WorkerOptions describe a worker.
type WorkerOptions struct {
	ID     string
	Domain string
	Labels []string
	Cores  int64
	Work   clock.Millis // length of a run
}

// Worker is a stand-in of a worker in this process. It can be lost for good.
type Worker struct {
	ID        string
	Domain    string
	Host      *worker.Host
	address   string
	lost      atomic.Bool
	storeless atomic.Bool // it does not reach the store
}

// Start is a start of a task that a worker has begun.
type Start struct {
	At     clock.Millis
	Worker string
	Task   job.Task
	Run    int
	Token  int64
}

const (
	milliPerCore = 1000
	memoryMB     = 64000
)

func (s *Stage) addWorker(number int, options WorkerOptions) error {
	entry := fleet.Entry{
		ID: options.ID, Service: Pool, Domain: options.Domain, Labels: options.Labels,
		Room: fleet.Room{MilliCPU: options.Cores * milliPerCore, MemoryMB: memoryMB},
	}
	standin := worker.New(entry, s.Clock.Now())
	standin.Entry.Incarnation = time.Now().UnixMilli()
	standin.DrawWork = func(job.Task) worker.Work { return worker.Work{Length: options.Work} }
	standin.OnEvent = func(event worker.Event) {
		switch event.Kind {
		case worker.RunStarted:
			s.noteStart(Start{At: event.At, Worker: options.ID, Task: event.Task, Run: event.Run, Token: event.Token})
		case worker.RunEnded:
			s.Record.Add(options.ID, "run_ended", "job", string(event.Task.Job), "step", event.Task.Step, "index", event.Task.Index, "run", event.Run, "how", event.Cause.String())
		case worker.RunAcked, worker.LeaseExtended:
		}
	}
	w := &Worker{ID: options.ID, Domain: options.Domain}
	log := s.Log
	log.Append = func(ctx context.Context, call journal.Append) journal.Answer {
		if w.lost.Load() || w.storeless.Load() {
			return journal.Answer{Outcome: journal.NotDone}
		}
		return s.Log.Append(ctx, call)
	}
	w.Host = worker.NewHost(standin, s.Clock, log)
	listener, err := new(net.ListenConfig).Listen(s.ctx, "tcp", net.JoinHostPort(s.ip(workerPart, number), "0"))
	if err != nil {
		return errors.Wrap(err, "listen for a worker")
	}
	w.address = listener.Addr().String()
	s.group.Go(func() error { return w.Host.Serve(s.ctx, &muteListener{Listener: listener, worker: w}) })
	s.Workers = append(s.Workers, w)
	return nil
}

// noteStart records a start.
func (s *Stage) noteStart(start Start) {
	s.mu.Lock()
	s.starts = append(s.starts, start)
	s.mu.Unlock()
	s.Record.Add(start.Worker, "run_started", "job", string(start.Task.Job), "step", start.Task.Step, "index", start.Task.Index, "run", start.Run, "fence", start.Token)
}

// Starts returns all starts so far.
func (s *Stage) Starts() []Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Start{}, s.starts...)
}

// Lose loses the worker for good, silently: its runs end, it sends no heartbeat, and
// connections to it get no answer.
func (s *Stage) Lose(w *Worker) {
	s.Record.Add(w.ID, "lost_for_good")
	w.lost.Store(true)
	w.Host.With(func(standin *worker.Worker, now clock.Millis) {
		standin.OnEvent = func(worker.Event) {}
		standin.Restart(now)
		standin.Entry.ID = "" // it answers nobody
	})
}

// muteListener accepts connections of a lost worker and never reads them.
type muteListener struct {
	net.Listener
	worker *Worker
}

// Accept implements net.Listener.
func (l *muteListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &muteConn{Conn: conn, worker: l.worker}, nil
}

// muteConn stops carrying data in both directions once its worker is lost.
type muteConn struct {
	net.Conn
	worker *Worker
}

// Read implements net.Conn.
func (c *muteConn) Read(buffer []byte) (int, error) {
	for {
		count, err := c.Conn.Read(buffer)
		if err != nil || !c.worker.lost.Load() {
			return count, err
		}
	}
}

// Write implements net.Conn.
func (c *muteConn) Write(data []byte) (int, error) {
	if c.worker.lost.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}
