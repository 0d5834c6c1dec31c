package rig3

import (
	"context"
	"sync"
	"time"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/standin/worker"
	"github.com/oriolepier/oriolepier/platform"
)

// WorkerOptions describes a worker.
type WorkerOptions struct {
	ID     string
	Domain string
	Room   fleet.Room
	// Work is the work of a run; a length of 0 lasts until it is stopped.
	Work func(task job.Task) worker.Work
}

// Worker is a stand-in of a worker.
type Worker struct {
	rig     *Rig
	options WorkerOptions
	mu      sync.Mutex
	state   *worker.Worker
}

// AddWorker starts a worker.
func (r *Rig) AddWorker(options WorkerOptions) (*Worker, error) {
	w := &Worker{rig: r, options: options}
	address, err := r.serve(platform.ServeWorker(w.calls()))
	if err != nil {
		return nil, err
	}
	w.start(address)
	r.workers = append(r.workers, w)
	return w, nil
}

// Workers returns all workers.
func (r *Rig) Workers() []*Worker { return r.workers }

// ID returns the id of the worker.
func (w *Worker) ID() string { return w.options.ID }

// start begins the life of the worker.
func (w *Worker) start(address string) {
	state := worker.New(fleet.Entry{
		ID: w.options.ID, Service: svc, Domain: w.options.Domain, Room: w.options.Room, Address: address,
		Labels: []string{"standard", "rack-" + w.options.Domain},
	}, w.rig.clock.Now())
	state.Entry.Incarnation = time.Now().UnixMilli()
	state.DrawWork = w.options.Work
	state.OnEvent = w.note
	w.mu.Lock()
	w.state = state
	w.mu.Unlock()
	w.rig.Go(w.advance)
	w.rig.Go(w.heartbeat)
}

// note writes an event to the record.
func (w *Worker) note(event worker.Event) {
	switch event.Kind {
	case worker.RunStarted:
		w.rig.Logf("run       %s run %d begins on %s, fencing number %d", platform.FormatTask(event.Task), event.Run, w.options.ID, event.Token)
	case worker.RunEnded:
		w.rig.Logf("run       %s run %d ends on %s: %s", platform.FormatTask(event.Task), event.Run, w.options.ID, event.Cause)
	case worker.RunAcked, worker.LeaseExtended:
	}
}

// with calls a function with exclusive access to the worker, advanced to now.
func (w *Worker) with(use func(state *worker.Worker, now clock.Millis)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.rig.clock.Now()
	w.state.Advance(now)
	use(w.state, now)
}

// Tasks returns the tasks that run on the worker, with the numbers of their runs.
func (w *Worker) Tasks() map[job.Task]int {
	running := map[job.Task]int{}
	w.with(func(state *worker.Worker, _ clock.Millis) {
		for _, task := range state.Tasks() {
			running[task] = state.Running(task)
		}
	})
	return running
}

const (
	advanceInterval  = 20 * time.Millisecond
	holdPollInterval = 10 * time.Millisecond
)

// advance ends leases and runs that are due.
func (w *Worker) advance() {
	for w.rig.pause(advanceInterval) {
		w.with(func(*worker.Worker, clock.Millis) {})
	}
}

// heartbeat writes the worker's entry to the list of workers.
func (w *Worker) heartbeat() {
	for {
		var entry fleet.Entry
		w.with(func(state *worker.Worker, now clock.Millis) {
			entry = state.Entry
			entry.ClockMS = state.Clock(now)
		})
		if data, err := platform.EncodeWorker(entry); err == nil {
			w.rig.Gate.Log().Append(w.rig.ctx, journal.Append{
				Topic: platform.TopicWorkers, ExpectedEnd: -1, Records: []journal.Record{{Key: entry.ID, Value: data}},
			})
		}
		if !w.rig.pause(Heartbeat) {
			return
		}
	}
}

// calls are the calls of the worker. A call that names another worker is refused.
func (w *Worker) calls() platform.WorkerCalls {
	accept := func(to fleet.Address, handle func(state *worker.Worker, now clock.Millis) fleet.Answer) fleet.Answer {
		answer := fleet.Answer{Outcome: fleet.OtherIncarnation}
		if to.ID == w.options.ID {
			w.with(func(state *worker.Worker, now clock.Millis) { answer = handle(state, now) })
		}
		return answer
	}
	return platform.WorkerCalls{
		Start: func(_ context.Context, order fleet.Start) fleet.Answer {
			return accept(order.To, func(state *worker.Worker, now clock.Millis) fleet.Answer { return state.Start(order, now) })
		},
		Stop: func(_ context.Context, order fleet.Stop) fleet.Answer {
			return accept(order.To, func(state *worker.Worker, now clock.Millis) fleet.Answer { return state.Stop(order, now) })
		},
		Pace: func(_ context.Context, order fleet.Pace) fleet.Answer {
			return accept(order.To, func(state *worker.Worker, now clock.Millis) fleet.Answer { return state.Pace(order, now) })
		},
		Hold: w.hold,
	}
}

// hold waits for an end, a refusal or the time that the order allows.
func (w *Worker) hold(ctx context.Context, order fleet.Hold) fleet.Report {
	report := fleet.Report{Outcome: fleet.OtherIncarnation}
	if order.To.ID != w.options.ID {
		return report
	}
	deadline := w.rig.clock.Now() + clock.Millis(order.WaitMS)
	for {
		done := false
		w.with(func(state *worker.Worker, now clock.Millis) {
			report = state.Hold(order, now)
			done = len(report.Ended) > 0 || report.Outcome != fleet.Accepted || now >= deadline
		})
		order = order.WithoutAck()
		if done || w.rig.clock.Sleep(ctx, clock.FromDuration(holdPollInterval)) != nil {
			return report
		}
	}
}
