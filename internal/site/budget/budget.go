// Package budget bounds what peers that nobody controls can make a process hold:
// connections, bodies that are being read, and jobs that the owner keeps.
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

// Shares of a process's memory and descriptors. Base is what is assumed where the
// settings name neither.
const (
	baseMemoryMB         = 512
	baseDescriptors      = 4096
	bytesPerMB           = 1 << 20
	connectionShare      = 4        // connections take at most a fourth of the memory
	connectionBytes      = 64 << 10 // stack, buffers of net/http, and most of the kernel's receive buffer
	bodyShare            = 8        // the garbage collector keeps up to twice this
	forwardedShare       = 8
	jobShare             = 0.4
	callerFiles          = 2 // callers get half of the descriptors; workers, store and entries the rest
	peerFiles            = 8
	sideFiles            = 16
	otherFiles           = 20 // log, store, and the program's own
	orderFiles           = 2  // orders get half of what the listeners leave; holds, one for each worker, the rest
	minWorkerConnections = 8
	maxPeerConnections   = 512
	maxSideConnections   = 64
	defaultBodyRate      = 2 << 10
	defaultBodyGrace     = 10 * clock.Second // three times the default time limit of a request
)

// Derive returns the limits of a process with the given memory and number of
// descriptors; 0: not known.
func Derive(memoryMB, descriptors int) Limits {
	if memoryMB <= 0 {
		memoryMB = baseMemoryMB
	}
	if descriptors <= 0 {
		descriptors = baseDescriptors
	}
	memory := int64(memoryMB) * bytesPerMB
	limits := Limits{
		Connections:     max(min(int(memory/connectionShare/connectionBytes), descriptors/callerFiles), 1),
		SideConnections: max(min(descriptors/sideFiles, maxSideConnections), 1),
		PeerConnections: max(min(descriptors/peerFiles, maxPeerConnections), 1),
		BodyBytes:       memory / bodyShare,
		ForwardedBytes:  memory / forwardedShare,
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
	rest := descriptors - descriptors/otherFiles - l.Connections - sideListeners*l.SideConnections - l.PeerConnections
	l.WorkerConnections = max(rest/orderFiles, minWorkerConnections)
	return l
}

// With returns the limits with those of other that are not zero.
func (l Limits) With(other Limits) Limits {
	derived := l.Connections
	l.Connections = cmp.Or(other.Connections, l.Connections)
	l.WorkerConnections = max(l.WorkerConnections+(derived-l.Connections)/orderFiles, minWorkerConnections)
	l.BodyBytes = cmp.Or(other.BodyBytes, l.BodyBytes)
	l.BodyRate = cmp.Or(other.BodyRate, l.BodyRate)
	return l
}

// Names of the limits of connections.
const (
	callerLimit = "connections"
	sideLimit   = "side_connections"
	peerLimit   = "peer_connections"
)

// Reasons for which a body is refused.
var (
	// ErrRefused marks a body for which there is no memory. The request has not run.
	ErrRefused = fault.ErrNoMemory
	// ErrSlow marks a body that arrives below the lowest rate. The request has not run.
	ErrSlow = fault.ErrTooSlow
)

// sweepPeriod is the time between two searches for slow bodies.
const sweepPeriod clock.Millis = 200

// Budget holds the limits of a process and what is in use.
type Budget struct {
	limits       Limits
	clock        clock.Clock
	logger       zerolog.Logger
	bodyBytes    atomic.Int64
	leavingBytes atomic.Int64 // of bodyBytes, those of refused bodies whose requests have not ended
	Forwarded    *Pool        // requests of other entries
	Jobs         *Memory      // jobs of the owner
	decoding     *semaphore.Weighted

	mu        sync.Mutex
	listeners []*Listener

	refusedConnections map[string]*metrics.Counter // by the name of the limit
	refusedBodies      *metrics.Counter
	slowBodies         *metrics.Counter
	logged             uint64 // refusals that a log line has reported
	peers              refusedPeers
}

// New returns a budget of which nothing is in use.
func New(limits Limits, clk clock.Clock, logger zerolog.Logger, set *metrics.Set) *Budget {
	b := &Budget{limits: limits, clock: clk, logger: logger, decoding: semaphore.NewWeighted(1)}
	refused := func(limit string) *metrics.Counter {
		return set.GetOrCreateCounter(`oriolepier_budget_refused_total{limit="` + limit + `"}`)
	}
	b.refusedBodies, b.slowBodies = refused("body_bytes"), refused("body_rate")
	b.refusedConnections = map[string]*metrics.Counter{}
	for _, name := range []string{callerLimit, sideLimit, peerLimit} {
		b.refusedConnections[name] = refused(name)
	}
	b.Forwarded = &Pool{limit: limits.ForwardedBytes, refused: refused("forwarded_bytes")}
	b.Jobs = newMemory(limits.JobBytes, refused("job_bytes"))
	gauge := func(limit string, inUse func() float64) {
		set.GetOrCreateGauge(`oriolepier_budget_in_use{limit="`+limit+`"}`, inUse)
	}
	for limit, value := range map[string]int64{
		callerLimit: int64(limits.Connections), sideLimit: int64(limits.SideConnections), peerLimit: int64(limits.PeerConnections), "body_bytes": limits.BodyBytes, "body_rate": limits.BodyRate, "worker_connections": int64(limits.WorkerConnections),
		"forwarded_bytes": limits.ForwardedBytes, "job_bytes": limits.JobBytes,
	} {
		set.GetOrCreateGauge(`oriolepier_budget_limit{limit="`+limit+`"}`, func() float64 { return float64(value) })
	}
	for _, name := range []string{callerLimit, sideLimit, peerLimit} {
		gauge(name, func() float64 { return b.openConnections(name) })
	}
	gauge("body_bytes", func() float64 { return float64(b.bodyBytes.Load()) })
	gauge("forwarded_bytes", func() float64 { return float64(b.Forwarded.used.Load()) })
	gauge("job_bytes", func() float64 { return float64(b.Jobs.inUse()) })
	return b
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

// Serve ends slow bodies and keeps the use of memory up to date, until the context
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

// smallBody is the size up to which bodies are decoded side by side.
const smallBody = 16 << 10

// Decode runs decode on a body. Large bodies are decoded one at a time, because a
// decoded body can take many times its bytes.
func (b *Budget) Decode(data []byte, decode func()) {
	if len(data) > smallBody {
		if err := b.decoding.Acquire(context.Background(), 1); err == nil { // never fails without a deadline
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
