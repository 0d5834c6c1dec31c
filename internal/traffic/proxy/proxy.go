// Package proxy serves callers' requests: it finds the route, acquires a slot at
// a backend server, sends the request, and returns the whole answer or a
// refusal with its outcome.
//
// Every refusal is a problem (see package problem) that names the step at
// which it arose and says whether the work may have run. The outcome is
// "not_run" only when nothing was sent, or when the backend server's guard
// returned it with the request's id.
//
// # Usage
//
//	proxy := proxy.New(proxy.Options{Holder: holder, Clock: clk, Log: log, Entry: vm.Name, Seed: seed})
//	group.Go(func() error { return proxy.Run(ctx) })
//	server := &http.Server{Handler: proxy}
//	...
//	proxy.Drain(true) // at shutdown; then wait until InFlight is 0
package proxy

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

// Steps of a request, as reported in refusals and counters; those of an
// attempt are in package connpool.
const (
	stepAccept = "accept"
	stepMatch  = "match"
	stepQueue  = "queue"
	stepChoose = "choose"
	stepAnswer = "answer"
)

const (
	maxRequestFields    = 128      // header fields
	maxRequestHeader    = 64 << 10 // bytes
	maxIDBytes          = 128
	maxBufferedBytes    = 256 << 20       // default of Options.BufferedBytes
	defaultRequestBytes = 1 << 20         // of the body, if the route sets no limit
	defaultAnswerBytes  = 16 << 20        // of the body, if the route sets no limit
	maxAttempts         = 8               // per request, guards' refusals included
	maxFailures         = 3               // per request, guards' refusals excluded; more suggest that the request is the cause
	minTimeToSend       = clock.Millis(1) // no answer arrives in less
	minHedgeDelay       = clock.Millis(2)
	idleTimeout         = 4 * clock.Second  // below the shortest keep-alive timeout in wide use, 5 s
	followInterval      = clock.Millis(10)  // between checks for new snapshots and queued requests
	maintenanceInterval = clock.Millis(250) // between closing idle connections, updates of the budget, and probes
	probeTimeout        = clock.Millis(500) // not below connpool's connectTimeout
	maxProbes           = 8                 // concurrent probes
	overloadRetryAfter  = clock.Second      // Retry-After when the entry is overloaded or no server is in service
)

// Options describe a proxy.
type Options struct {
	Holder *view.Holder
	Clock  clock.Clock
	Log    zerolog.Logger
	Entry  string // VM name of this entry
	Seed   uint64 // of the random number generators
	// BufferedBytes limits the bodies of all requests in this entry; above it, requests
	// are refused. 0: maxBufferedBytes.
	BufferedBytes int64
	// Dial opens connections to backend servers; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Proxy is the request side of an entry. It is safe for many goroutines.
type Proxy struct {
	options       Options
	vars          *expvar.Map
	counters      counters
	draining      atomic.Bool
	running       atomic.Bool // Run applies new snapshots, so that requests need not
	inFlight      atomic.Int64
	bufferedBytes atomic.Int64
	routing       atomic.Pointer[routing]

	routes sync.Map // *routeState by name of the route

	mu     sync.Mutex // guards budget, pools and changes of routing
	budget limit.Budget
	pools  map[string]*pool
}

// New returns a proxy that serves the snapshot in the holder.
func New(options Options) *Proxy {
	proxy := &Proxy{
		options: options,
		vars:    new(expvar.Map).Init(),
		budget:  limit.NewBudget(options.Clock.Now()),
		pools:   map[string]*pool{},
	}
	proxy.counters = newCounters(proxy.vars)
	proxy.refresh()
	return proxy
}

// Vars returns the proxy's counters.
func (proxy *Proxy) Vars() *expvar.Map { return proxy.vars }

// Drain turns draining on or off. While draining, requests are still accepted,
// but answers ask callers to close their connections.
func (proxy *Proxy) Drain(on bool) { proxy.draining.Store(on) }

// InFlight returns the number of requests accepted and not yet answered.
func (proxy *Proxy) InFlight() int { return int(proxy.inFlight.Load()) }

// ServeHTTP implements http.Handler.
//
//	accept ──> match ──> choose ──> connect ──> send ──> wait ──> read_answer ──> answer
//	  │          │        │ ^ ^        │          │        │           │
//	  │          │    queue ┘ └────────┴──────────┴────────┴───────────┤ retry
//	  v          v      v                                              v
//	refusal: not_run .................................. not_run or unknown
//
// A request is queued only if no slot is free. A retry after not_sent needs the
// retry budget, one after not_run (a guard's refusal) does not, and one after
// unknown needs the budget and a repeatable request. Hedges, see sendHedged, are
// attempts beside the one shown.
func (proxy *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	proxy.inFlight.Add(1)
	defer proxy.inFlight.Add(-1)
	proxy.counters.requests.Add(1)
	if proxy.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	started := proxy.options.Clock.Now()
	req, refusal := proxy.accept(w, r, proxy.current(), started)
	if refusal != nil {
		proxy.writeRefusal(w, req, refusal)
		return
	}
	defer proxy.bufferedBytes.Add(-int64(len(req.body)))
	ctx, cancel := context.WithTimeout(r.Context(), (req.deadline - started).Duration())
	defer cancel()
	answer, refusal := proxy.fetch(ctx, req)
	if refusal != nil {
		proxy.writeRefusal(w, req, refusal)
		return
	}
	defer answer.Close()
	defer answer.release(dispatch.Abandoned) // does nothing after an earlier release
	proxy.writeAnswer(w, req, answer)
}
