// Package gate answers callers' requests: it finds the route, waits for a
// place at a backend server, sends the request, and gives the answer back
// whole or refuses with the outcome.
//
// Every refusal is a problem (see package problem) that says at which step it
// arose and whether the work may have run. "not_run" is given only when
// nothing was sent, or the backend server's guard said so with the request's
// own id.
//
// # Usage
//
//	gate := gate.New(gate.Options{Box: box, Clock: clk, Log: log, Entry: vm.Name, Seed: seed})
//	group.Go(func() error { return gate.Run(ctx) })
//	server := &http.Server{Handler: gate}
//	...
//	gate.Drain(true) // on the way out; wait until InFlight is 0
package gate

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/dispatch"
	"github.com/oriolepier/oriolepier/internal/traffic/limit"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

// Steps of a request, as they stand in refusals and counters; those of an
// attempt are in package link.
const (
	stepAccept = "accept"
	stepMatch  = "match"
	stepQueue  = "queue"
	stepChoose = "choose"
	stepAnswer = "answer"
)

const (
	maxRequestFields    = 128
	maxRequestHeader    = 64 << 10
	maxIDBytes          = 128
	maxBufferedBytes    = 256 << 20 // bodies of all requests held at once in this entry
	defaultRequestBytes = 1 << 20
	defaultAnswerBytes  = 16 << 20
	maxAttempts         = 8               // of one request, guards' refusals included
	maxFailures         = 3               // of one request; more point to the request itself
	fewestMillisToSend  = clock.Millis(1) // nobody answers in less
	minHedgeDelay       = clock.Millis(2)
	idleTimeout         = 4 * clock.Second // below the shortest keep-alive timeout in wide use, 5 s
	followEvery         = clock.Millis(10) // snapshots, and queues that nothing else moves
	upkeepEvery         = clock.Millis(250)
	probeTimeout        = clock.Millis(500)
	maxProbes           = 8 // at once
	tooBusyRetryAfter   = clock.Second
)

// Options describe a gate.
type Options struct {
	Box   *view.Box
	Clock clock.Clock
	Log   zerolog.Logger
	Entry string // VM name of this entry
	Seed  uint64 // of all random choices
	// Dial opens connections to backend servers; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Gate is the request side of an entry. It is safe for many goroutines.
type Gate struct {
	options  Options
	vars     *expvar.Map
	counts   counts
	draining atomic.Bool
	running  atomic.Bool // Run follows snapshots, so that no request has to
	flying   atomic.Int64
	buffered atomic.Int64
	plan     atomic.Pointer[plan]

	routes sync.Map // *tally by name of the route

	mu     sync.Mutex // guards what follows, and changes of plan
	budget limit.Budget
	pools  map[string]*pool
}

// New returns a gate that serves the snapshot in the box.
func New(options Options) *Gate {
	gate := &Gate{
		options: options,
		vars:    new(expvar.Map).Init(),
		budget:  limit.NewBudget(options.Clock.Now()),
		pools:   map[string]*pool{},
	}
	gate.counts = newCounts(gate.vars)
	gate.refresh()
	return gate
}

// Vars returns the gate's counters.
func (gate *Gate) Vars() *expvar.Map { return gate.vars }

// Drain starts or ends the shutdown notice: requests are still taken, but
// answers ask callers to close their connections.
func (gate *Gate) Drain(on bool) { gate.draining.Store(on) }

// InFlight returns the number of requests accepted and not yet answered.
func (gate *Gate) InFlight() int { return int(gate.flying.Load()) }

// ServeHTTP implements http.Handler.
//
//	accept ──> match ──> queue ──> choose ──> connect ──> send ──> wait ──> read_answer ──> answer
//	  │          │         │  ^       │          │          │        │           │
//	  │          │         │  └───────┴──not_run─┴──────────┴────────┤           │   retry: budget, repeatable
//	  │          │         │  ^                                      └──unknown──┤
//	  │          │         │  └────────────────────repeatable only───────────────┤
//	  v          v         v                                                     v
//	refusal: not_run ......................................... not_run or unknown
func (gate *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	gate.flying.Add(1)
	defer gate.flying.Add(-1)
	gate.counts.requests.Add(1)
	if gate.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	started := gate.options.Clock.Now()
	req, refusal := gate.accept(w, r, gate.current(), started)
	if refusal != nil {
		gate.refuse(w, req, refusal)
		return
	}
	defer gate.buffered.Add(-int64(len(req.body)))
	ctx, cancel := context.WithTimeout(r.Context(), (req.deadline - started).Duration())
	defer cancel()
	answer, refusal := gate.fetch(ctx, req)
	if refusal != nil {
		gate.refuse(w, req, refusal)
		return
	}
	defer answer.Close()
	defer answer.release(dispatch.Abandoned) // unless it was released before
	gate.reply(w, req, answer)
}
