// Package budget bounds what untrusted peers can make a process hold: connections,
// bodies that are being read, and jobs that the owner keeps.
//
// When a bound is reached, the connection or body that has held the most for the
// longest time without completing is refused first, so that an ordinary caller
// gets in. A request whose body is complete is never ended by this package.
//
// # Usage
//
//	limits := budget.Derive(memoryMB, descriptors)
//	bounds := budget.New(limits, clk, logger, metricSet)
//	callers := bounds.Callers(tcpListener)
//	server := &http.Server{Handler: callers.Handler(inner), ConnContext: callers.ConnContext, ConnState: callers.ConnState}
//	err := server.Serve(callers)
//	err := bounds.Serve(ctx) // ends slow bodies, while the server runs
package budget

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
)

// Limits of one process.
type Limits struct {
	Connections       int          // of callers
	SideConnections   int          // of each other HTTP listener
	PeerConnections   int          // of other entries
	WorkerConnections int          // for orders to workers; those for holds are not among them
	BodyBytes         int64        // of callers' bodies in memory, buffers that double included
	ForwardedBytes    int64        // of requests that other entries have forwarded and that are not answered
	JobBytes          int64        // live heap with which the owner accepts jobs
	BodyRate          int64        // bytes per second below which a body is ended after BodyGrace
	BodyGrace         clock.Millis // for a body at any rate, and for an answer that is not read
}

// Resources that are assumed if the settings do not name them.
const (
	defaultMemoryMB    = 512
	defaultDescriptors = 4096
)

// Parts of a process's memory, as divisors unless they are named a share.
const (
	bytesPerMB        = 1 << 20
	connectionDivisor = 4        // all connections of callers
	connectionBytes   = 64 << 10 // one connection: stack, buffers of net/http, and most of the kernel's receive buffer
	bodyDivisor       = 8        // the garbage collector keeps up to twice this
	forwardedDivisor  = 8
	jobShare          = 0.4
)

// Parts of a process's descriptors, as divisors, and the largest numbers of connections.
const (
	callerDescriptorDivisor = 2 // callers get half; workers, store and entries the rest
	peerDescriptorDivisor   = 8
	sideDescriptorDivisor   = 16 // of each listener
	otherDescriptorDivisor  = 20 // log, store, and the program's own files
	orderDivisor            = 2  // orders get half of what the listeners leave; holds, one for each worker, the rest
	maxPeerConnections      = 512
	maxSideConnections      = 64
	minWorkerConnections    = 8
)

// Defaults for the arrival of bodies.
const (
	defaultBodyRate               = 2 << 10           // bytes per second
	defaultBodyGrace clock.Millis = 10 * clock.Second // three times the default time limit of a request
)

// Derive returns the limits of a process with the given memory and number of
// descriptors; 0: not known.
func Derive(memoryMB, descriptors int) Limits {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	memory := int64(memoryMB) * bytesPerMB
	limits := Limits{
		Connections:     max(min(int(memory/connectionDivisor/connectionBytes), descriptors/callerDescriptorDivisor), 1),
		SideConnections: max(min(descriptors/sideDescriptorDivisor, maxSideConnections), 1),
		PeerConnections: max(min(descriptors/peerDescriptorDivisor, maxPeerConnections), 1),
		BodyBytes:       memory / bodyDivisor,
		ForwardedBytes:  memory / forwardedDivisor,
		JobBytes:        int64(jobShare * float64(memory)),
		BodyRate:        defaultBodyRate,
		BodyGrace:       defaultBodyGrace,
	}
	return limits.withWorkerConnections(descriptors)
}

// sideListeners is the number of HTTP listeners besides that of callers.
const sideListeners = 2

// withWorkerConnections returns the limits with the connections for orders that the
// listeners leave.
func (l Limits) withWorkerConnections(descriptors int) Limits {
	rest := descriptors - descriptors/otherDescriptorDivisor - l.Connections - sideListeners*l.SideConnections - l.PeerConnections
	l.WorkerConnections = max(rest/orderDivisor, minWorkerConnections)
	return l
}

// With returns the limits with the connections, body bytes and body rate of other that
// are not zero. The remaining limits cannot be set.
func (l Limits) With(other Limits) Limits {
	derived := l.Connections
	l.Connections = cmp.Or(other.Connections, l.Connections)
	l.WorkerConnections = max(l.WorkerConnections+(derived-l.Connections)/orderDivisor, minWorkerConnections)
	l.BodyBytes = cmp.Or(other.BodyBytes, l.BodyBytes)
	l.BodyRate = cmp.Or(other.BodyRate, l.BodyRate)
	return l
}

// Names of the limits in metrics.
const (
	callerLimit    = "connections"
	sideLimit      = "side_connections"
	peerLimit      = "peer_connections"
	bodyLimit      = "body_bytes"
	bodyRateLimit  = "body_rate"
	forwardedLimit = "forwarded_bytes"
	jobLimit       = "job_bytes"
)

var connectionLimits = []string{callerLimit, sideLimit, peerLimit}

// sweepPeriod is the time between two searches for slow bodies.
const sweepPeriod clock.Millis = 200

// Budget holds the limits of a process and what is in use.
type Budget struct {
	limits       Limits
	clock        clock.Clock
	logger       zerolog.Logger
	bodyBytes    atomic.Int64
	leavingBytes atomic.Int64        // of bodyBytes, those of refused bodies whose requests have not ended
	Forwarded    *Pool               // requests of other entries
	Jobs         *Memory             // jobs of the owner
	decoding     *semaphore.Weighted // held while a large body is decoded

	mu        sync.Mutex
	listeners []*Listener

	refusedConnections map[string]*metrics.Counter // by the name of the limit
	refusedBodies      *metrics.Counter
	slowBodies         *metrics.Counter
	logged             uint64       // refusals that a log line has reported
	peers              refusedPeers // since that line
}

// New returns a budget of which nothing is in use.
func New(limits Limits, clk clock.Clock, logger zerolog.Logger, set *metrics.Set) *Budget {
	b := &Budget{limits: limits, clock: clk, logger: logger, decoding: semaphore.NewWeighted(1)}
	refused := func(limit string) *metrics.Counter {
		return set.GetOrCreateCounter(`oriolepier_budget_refused_total{limit="` + limit + `"}`)
	}
	b.refusedBodies, b.slowBodies = refused(bodyLimit), refused(bodyRateLimit)
	b.refusedConnections = map[string]*metrics.Counter{}
	for _, name := range connectionLimits {
		b.refusedConnections[name] = refused(name)
	}
	b.Forwarded = &Pool{limit: limits.ForwardedBytes, refused: refused(forwardedLimit)}
	b.Jobs = newMemory(limits.JobBytes, refused(jobLimit))
	limits.register(set)
	b.registerInUse(set)
	return b
}

// register registers the gauges of the limits.
func (l Limits) register(set *metrics.Set) {
	for limit, value := range map[string]int64{
		callerLimit: int64(l.Connections), sideLimit: int64(l.SideConnections), peerLimit: int64(l.PeerConnections),
		bodyLimit: l.BodyBytes, bodyRateLimit: l.BodyRate, forwardedLimit: l.ForwardedBytes, jobLimit: l.JobBytes,
	} {
		set.GetOrCreateGauge(`oriolepier_budget_limit{limit="`+limit+`"}`, func() float64 { return float64(value) })
	}
}

// registerInUse registers the gauges of what is in use.
func (b *Budget) registerInUse(set *metrics.Set) {
	gauge := func(limit string, inUse func() float64) {
		set.GetOrCreateGauge(`oriolepier_budget_in_use{limit="`+limit+`"}`, inUse)
	}
	for _, name := range connectionLimits {
		gauge(name, func() float64 { return b.openConnections(name) })
	}
	gauge(bodyLimit, func() float64 { return float64(b.bodyBytes.Load()) })
	gauge(forwardedLimit, func() float64 { return float64(b.Forwarded.used.Load()) })
	gauge(jobLimit, func() float64 { return float64(b.Jobs.inUse()) })
}

// Limits returns the limits.
func (b *Budget) Limits() Limits { return b.limits }

// openConnections returns the number of connections of the listeners of a limit.
func (b *Budget) openConnections(name string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, listener := range b.listeners {
		if listener.name == name {
			count += listener.count()
		}
	}
	return float64(count)
}

// Serve ends slow bodies, samples the live heap and logs refusals, until the context
// ends.
func (b *Budget) Serve(ctx context.Context) error {
	for {
		if err := b.clock.Sleep(ctx, sweepPeriod); err != nil {
			return err
		}
		b.Jobs.sample()
		b.mu.Lock()
		listeners := append([]*Listener{}, b.listeners...)
		b.mu.Unlock()
		for _, listener := range listeners {
			listener.sweep(b.clock.Now())
		}
		b.log()
	}
}

// log reports refusals since the last line.
func (b *Budget) log() {
	var connections uint64
	for _, refused := range b.refusedConnections {
		connections += refused.Get()
	}
	bodies, slow := b.refusedBodies.Get(), b.slowBodies.Get()
	if total := connections + bodies + slow; total != b.logged {
		b.logged = total
		b.logger.Warn().Str("event", "callers_refused").Uint64("connections_total", connections).Uint64("body_bytes_total", bodies).
			Uint64("body_rate_total", slow).Strs("peers", b.peers.take()).Int64("body_bytes", b.bodyBytes.Load()).Int64("body_bytes_limit", b.limits.BodyBytes).Send()
	}
}

// smallBodyBytes is the size up to which bodies are decoded in parallel.
const smallBodyBytes = 16 << 10

// Decode runs decode on a body. Large bodies are decoded one at a time, because a
// decoded body can take many times its bytes.
func (b *Budget) Decode(data []byte, decode func()) {
	if len(data) > smallBodyBytes {
		if err := b.decoding.Acquire(context.Background(), 1); err == nil { // always nil, as the context never ends
			defer b.decoding.Release(1)
		}
	}
	decode()
}

// Pool is a number of bytes that several users share.
type Pool struct {
	limit   int64
	used    atomic.Int64
	refused *metrics.Counter
}

// Take takes bytes from the pool, or returns an error if too few are left. A nil
// Pool has no limit.
func (p *Pool) Take(count int64) error {
	if p == nil {
		return nil
	}
	if p.used.Add(count) > p.limit {
		p.used.Add(-count)
		p.refused.Inc()
		return fault.Newf(fault.NotRun, "reserve memory", "", "the owner's memory for requests is in use")
	}
	return nil
}

// Return returns bytes that Take has taken.
func (p *Pool) Return(count int64) {
	if p != nil {
		p.used.Add(-count)
	}
}
