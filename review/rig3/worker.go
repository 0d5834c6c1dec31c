package rig3

import (
	"context"
	"net/http"
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

// Worker is a stand-in of a worker behind a link of the network.
type Worker struct {
	rig      *Rig
	options  WorkerOptions
	Link     *Link
	mu       sync.Mutex
	state    *worker.Worker // nil while it is down
	server   *http.Server
	register chan struct{} // closed when the present life ends
	lives    int
}

// AddWorker starts a worker.
func (r *Rig) AddWorker(options WorkerOptions) (*Worker, error) {
	w := &Worker{rig: r, options: options}
	link, err := newLink(r)
	if err != nil {
		return nil, err
	}
	w.Link = link
	r.workers = append(r.workers, w)
	return w, w.Start()
}

// Workers returns all workers.
func (r *Rig) Workers() []*Worker { return r.workers }

// ID returns the id of the worker.
func (w *Worker) ID() string { return w.options.ID }

// Start begins a life of the worker, under its id and at its address.
func (w *Worker) Start() error {
	listener, err := Listen(w.rig.ctx, loopback+":0")
	if err != nil {
		return err
	}
	now := w.rig.clock.Now()
	state := worker.New(fleet.Entry{
		ID: w.options.ID, Service: svc, Domain: w.options.Domain, Room: w.options.Room, Address: w.Link.Address(),
		Labels: []string{"standard", "rack-" + w.options.Domain},
	}, now)
	state.Entry.Incarnation = time.Now().UnixMilli()
	state.DrawWork = w.options.Work
	life := w.lives + 1
	state.OnEvent = func(event worker.Event) { w.note(life, event) }
	server := &http.Server{Handler: platform.ServeWorker(w.calls(state)), ReadHeaderTimeout: time.Second}
	w.mu.Lock()
	w.state, w.server, w.register, w.lives = state, server, make(chan struct{}), life
	ended := w.register
	w.mu.Unlock()
	w.Link.setTarget(listener.Addr().String())
	w.rig.Logf("worker    %s begins life %d", w.options.ID, life)
	w.rig.Go(func() { _ = server.Serve(listener) })
	w.rig.Go(func() {
		<-w.rig.ctx.Done()
		_ = server.Close()
	})
	w.rig.Go(func() { w.advance(state, ended) })
	w.rig.Go(func() { w.heartbeat(state, ended) })
	return nil
}

// Crash ends the life of the worker. Its entry is removed after three heartbeats.
func (w *Worker) Crash() {
	w.rig.Logf("worker    %s crashes", w.options.ID)
	w.end()
	w.Link.setTarget("")
}

// Vanish ends the worker for good, as when its machine loses power: it is silent from
// then on. Its entry is removed after three heartbeats.
func (w *Worker) Vanish() {
	w.rig.Logf("worker    %s is lost for good", w.options.ID)
	w.Link.silence()
	w.end()
}

func (w *Worker) end() {
	w.mu.Lock()
	server, ended := w.server, w.register
	w.state = nil
	w.mu.Unlock()
	close(ended)
	_ = server.Close()
	w.rig.Go(func() {
		time.Sleep(expiryHeartbeats * Heartbeat)
		w.mu.Lock()
		gone := w.state == nil
		w.mu.Unlock()
		if gone {
			w.rig.Gate.Log().Append(w.rig.ctx, journal.Append{
				Topic: platform.TopicWorkers, ExpectedEnd: -1, Records: []journal.Record{{Key: w.options.ID}},
			})
		}
	})
}

// note writes an event to the record.
func (w *Worker) note(life int, event worker.Event) {
	switch event.Kind {
	case worker.RunStarted:
		w.rig.noteBegun(event.Task.Job)
		w.rig.Logf("run       %s run %d begins on %s (life %d), fencing number %d", platform.FormatTask(event.Task), event.Run, w.options.ID, life, event.Token)
	case worker.RunEnded:
		w.rig.Logf("run       %s run %d ends on %s (life %d): %s", platform.FormatTask(event.Task), event.Run, w.options.ID, life, event.Cause)
	case worker.RunAcked, worker.LeaseExtended:
	}
}

// with calls a function with exclusive access to a life of the worker.
func (w *Worker) with(state *worker.Worker, use func(now clock.Millis)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == state {
		use(w.rig.clock.Now())
	}
}

// Tasks returns the tasks that run on the worker, with the numbers of their runs.
func (w *Worker) Tasks() map[job.Task]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := map[job.Task]int{}
	if w.state == nil {
		return running
	}
	w.state.Advance(w.rig.clock.Now())
	for _, task := range w.state.Tasks() {
		running[task] = w.state.Running(task)
	}
	return running
}

const (
	advanceInterval  = 20 * time.Millisecond
	holdPollInterval = 10 * time.Millisecond
)

// advance ends leases and runs that are due.
func (w *Worker) advance(state *worker.Worker, ended <-chan struct{}) {
	for w.pause(advanceInterval, ended) {
		w.with(state, state.Advance)
	}
}

// heartbeat writes the worker's entry to the list of workers.
func (w *Worker) heartbeat(state *worker.Worker, ended <-chan struct{}) {
	for {
		var entry fleet.Entry
		w.with(state, func(now clock.Millis) {
			entry = state.Entry
			entry.ClockMS = state.Clock(now)
		})
		if data, err := platform.EncodeWorker(entry); err == nil && entry.ID != "" {
			w.rig.Gate.Log().Append(w.rig.ctx, journal.Append{
				Topic: platform.TopicWorkers, ExpectedEnd: -1, Records: []journal.Record{{Key: entry.ID, Value: data}},
			})
		}
		if !w.pause(Heartbeat, ended) {
			return
		}
	}
}

// pause waits, and returns false if the life or the rig ends first.
func (w *Worker) pause(length time.Duration, ended <-chan struct{}) bool {
	select {
	case <-time.After(length):
		return true
	case <-ended:
		return false
	case <-w.rig.ctx.Done():
		return false
	}
}

// calls are the calls of one life of the worker. A call that names another worker is
// refused.
func (w *Worker) calls(state *worker.Worker) platform.WorkerCalls {
	accept := func(to fleet.Address, handle func(now clock.Millis) fleet.Answer) fleet.Answer {
		answer := fleet.Answer{Outcome: fleet.OtherIncarnation}
		if to.ID == w.options.ID {
			w.with(state, func(now clock.Millis) { answer = handle(now) })
		}
		return answer
	}
	return platform.WorkerCalls{
		Start: func(_ context.Context, order fleet.Start) fleet.Answer {
			return accept(order.To, func(now clock.Millis) fleet.Answer { return state.Start(order, now) })
		},
		Stop: func(_ context.Context, order fleet.Stop) fleet.Answer {
			return accept(order.To, func(now clock.Millis) fleet.Answer { return state.Stop(order, now) })
		},
		Pace: func(_ context.Context, order fleet.Pace) fleet.Answer {
			return accept(order.To, func(now clock.Millis) fleet.Answer { return state.Pace(order, now) })
		},
		Hold: func(ctx context.Context, order fleet.Hold) fleet.Report { return w.hold(ctx, state, order) },
	}
}

// hold waits for an end, a refusal or the time that the order allows.
func (w *Worker) hold(ctx context.Context, state *worker.Worker, order fleet.Hold) fleet.Report {
	report := fleet.Report{Outcome: fleet.OtherIncarnation}
	if order.To.ID != w.options.ID {
		return report
	}
	deadline := w.rig.clock.Now() + clock.Millis(order.WaitMS)
	for {
		report.Outcome = fleet.Unhealthy
		done := true
		w.with(state, func(now clock.Millis) {
			report = state.Hold(order, now)
			done = len(report.Ended) > 0 || report.Outcome != fleet.Accepted || now >= deadline
		})
		order = order.WithoutAck()
		if done || w.rig.clock.Sleep(ctx, clock.FromDuration(holdPollInterval)) != nil {
			return report
		}
	}
}
