package worker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/platform"
)

// Periods of a served worker.
const (
	heartbeatInterval = 500 * time.Millisecond // period of renewing the entry in the list of workers
	registerTimeout   = time.Second            // for one append of the entry
	holdPollInterval  = 10 * time.Millisecond  // period of checking for ends while a hold waits
	advanceInterval   = 20 * time.Millisecond  // period of ending what is due
)

// Host serves a worker by the real clock and renews its entry in the list of
// workers.
type Host struct {
	Clock  clock.Clock
	Log    journal.Log
	mu     sync.Mutex
	worker *Worker
}

// NewHost returns a host that serves the worker.
func NewHost(worker *Worker, clk clock.Clock, log journal.Log) *Host {
	return &Host{Clock: clk, Log: log, worker: worker}
}

// With calls a function with exclusive access to the worker.
func (h *Host) With(use func(w *Worker, now clock.Millis)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	use(h.worker, h.Clock.Now())
}

// Serve answers calls on a listener until the context ends. The end acts like a
// crash: the worker's entry stays until another process removes it.
func (h *Host) Serve(ctx context.Context, listener net.Listener) error {
	h.With(func(w *Worker, _ clock.Millis) { w.Entry.Address = listener.Addr().String() })
	server := &http.Server{Handler: h.handler(), ReadHeaderTimeout: time.Second}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error { return h.sendHeartbeats(ctx) })
	group.Go(func() error { return h.advance(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	err := group.Wait()
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// sendHeartbeats renews the worker's entry in the list of workers periodically.
func (h *Host) sendHeartbeats(ctx context.Context) error {
	for {
		var entry fleet.Entry
		h.With(func(w *Worker, now clock.Millis) {
			w.Advance(now)
			entry = w.Entry
			entry.ClockMS = w.Clock(now)
		})
		data, err := platform.EncodeWorker(entry)
		if err != nil {
			return errors.Wrap(err, "encode worker entry")
		}
		h.register(ctx, journal.Record{Key: entry.ID, Value: data})
		if err := h.Clock.Sleep(ctx, clock.FromDuration(heartbeatInterval)); err != nil {
			return err
		}
	}
}

// register appends the worker's entry. After a failed append, the next heartbeat
// appends it again.
func (h *Host) register(ctx context.Context, entry journal.Record) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	h.Log.Append(ctx, journal.Append{Topic: platform.TopicWorkers, ExpectedEnd: -1, Records: []journal.Record{entry}})
}

// advance ends leases and runs that are due while nobody calls the worker.
func (h *Host) advance(ctx context.Context) error {
	for {
		h.With(func(w *Worker, now clock.Millis) { w.Advance(now) })
		if err := h.Clock.Sleep(ctx, clock.FromDuration(advanceInterval)); err != nil {
			return err
		}
	}
}

// accept calls handle if an order is addressed to this worker. An order for a
// worker that had the address before is refused.
func (h *Host) accept(to fleet.Address, handle func(w *Worker, now clock.Millis) fleet.Answer) (answer fleet.Answer) {
	h.With(func(w *Worker, now clock.Millis) {
		answer.Outcome = fleet.OtherIncarnation
		if to.ID == w.Entry.ID {
			answer = handle(w, now)
		}
	})
	return answer
}

func (h *Host) handler() http.Handler {
	return platform.ServeWorker(platform.WorkerCalls{
		Start: func(_ context.Context, order fleet.Start) fleet.Answer {
			return h.accept(order.To, func(w *Worker, now clock.Millis) fleet.Answer { return w.Start(order, now) })
		},
		Stop: func(_ context.Context, order fleet.Stop) fleet.Answer {
			return h.accept(order.To, func(w *Worker, now clock.Millis) fleet.Answer { return w.Stop(order, now) })
		},
		Pace: func(_ context.Context, order fleet.Pace) fleet.Answer {
			return h.accept(order.To, func(w *Worker, now clock.Millis) fleet.Answer { return w.Pace(order, now) })
		},
		Hold: h.hold,
	})
}

// hold waits for an end, a refusal or the time that the order allows.
func (h *Host) hold(ctx context.Context, order fleet.Hold) (report fleet.Report) {
	deadline := h.Clock.Now() + clock.Millis(order.WaitMS)
	for {
		done := false
		h.With(func(w *Worker, now clock.Millis) {
			if order.To.ID != w.Entry.ID {
				report, done = fleet.Report{Outcome: fleet.OtherIncarnation}, true
				return
			}
			report = w.Hold(order, now)
			order = order.WithoutAck()
			done = len(report.Ended) > 0 || report.Outcome != fleet.Accepted || now >= deadline
		})
		if done || h.Clock.Sleep(ctx, clock.FromDuration(holdPollInterval)) != nil {
			return report
		}
	}
}
