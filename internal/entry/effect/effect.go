// Package effect runs what the control thread must not wait for: appends, calls
// to workers and to peers. Results come back to the control thread as events.
//
// # Usage
//
//	pool := effect.New(effect.Options{Inbox: inbox, Limit: 128})
//	pool.Go(timeout, func(ctx context.Context) func() {
//		task, err := agent.Start(ctx, address, order)
//		return func() { done(task, err) } // runs on the control thread
//	})
//	err := pool.Run(ctx) // under the supervisor
package effect

import (
	"context"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/entry/event"
)

// Call is one effect: it does the waiting and returns what is left to do on
// the control thread.
type Call func(ctx context.Context) (rest func())

type waiting struct {
	timeout clock.Millis
	call    Call
}

// Options of a pool.
type Options struct {
	Inbox *event.Inbox
	Limit int // calls under way at once
}

// Pool runs effects on a bounded number of goroutines. Calls beyond that wait
// in order.
type Pool struct {
	options Options
	wake    chan struct{}
	running atomic.Int64

	mu    sync.Mutex
	queue []waiting
}

// New returns a pool; nothing runs before Run.
func New(options Options) *Pool {
	return &Pool{options: options, wake: make(chan struct{}, 1)}
}

// Go adds a call. It never waits.
func (p *Pool) Go(timeout clock.Millis, call Call) {
	p.mu.Lock()
	p.queue = append(p.queue, waiting{timeout, call})
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Pending returns the calls that wait or run.
func (p *Pool) Pending() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) + int(p.running.Load())
}

// Run starts waiting calls until the context ends.
func (p *Pool) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(p.options.Limit)
	for ctx.Err() == nil {
		next, ok := p.take()
		if !ok {
			select {
			case <-p.wake:
			case <-ctx.Done():
			}
			continue
		}
		group.Go(func() error { return p.run(ctx, next) })
	}
	return group.Wait()
}

func (p *Pool) take() (waiting, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		return waiting{}, false
	}
	next := p.queue[0]
	p.queue[0] = waiting{} // lets the collector have the call
	p.queue = p.queue[1:]
	p.running.Add(1)
	return next, true
}

func (p *Pool) run(ctx context.Context, next waiting) error {
	defer p.running.Add(-1)
	limited, cancel := context.WithTimeout(ctx, next.timeout.Duration())
	defer cancel()
	rest := next.call(limited)
	if rest == nil {
		return nil
	}
	return p.options.Inbox.Post(ctx, event.Done{Run: rest})
}
