// Package connpool maintains an entry's pool of connections to one backend server
// and sends requests over them.
//
// Each connection is an [http.ClientConn] of its own and carries one request
// at a time. [http.Transport] is used only to dial: its RoundTrip would resend
// a request by itself when a reused connection breaks.
//
// Guarantees for every attempt:
//
//   - Its request is sent at most once, and its error says whether anything
//     was sent.
//   - An answer without the request's own id never reaches the caller.
//   - A connection is reused only after a complete answer was read from it;
//     the connection of an abandoned attempt is closed. After an attempt without
//     an answer in time, so are the idle ones that were last used before it.
//   - A truncated answer is an error, or truncates the answer to the caller.
//
// # Usage
//
//	pool := connpool.New(connpool.Options{Name: server.Name, Address: server.Address})
//	answer, err := pool.Send(ctx, clk.Now, &connpool.Request{ID: id, Method: "GET", ...})
//	if err != nil { ... fault.OutcomeOf(err) ... }
//	defer answer.Close()
package connpool

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
)

// Steps of an attempt, as reported in faults and refusals.
const (
	StepConnect = "connect"
	StepSend    = "send"
	StepWait    = "wait"
	StepRead    = "read_answer"
)

const (
	connectTimeout      clock.Millis = 500              // several round trips between failure domains; too short for the resend of a lost SYN
	maxAnswerHeader                  = 64 << 10         // bytes of an answer's header
	maxAnswerFields                  = 128              // header fields of an answer
	defaultKeepAlive                 = 15 * time.Second // period of TCP keep-alive probes
	bufferedAnswerBytes              = 256 << 10        // answers up to this size are read completely before the caller gets their first byte
)

// ErrNoConnection is the cause when the budget allows no further connection
// or the pool is closed.
var ErrNoConnection = errors.New("connection budget is used up")

// Dial opens a connection, as net.Dialer does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options describe a pool of connections.
type Options struct {
	Name    string // VM name of the backend server
	Address string // its ip:port
	Dial    Dial   // nil for TCP
}

// Pool is a pool of connections to one backend server. It is safe for
// concurrent use.
type Pool struct {
	name      string
	address   string
	transport *http.Transport

	mu     sync.Mutex
	idle   []*conn // the most recently used one last
	open   int     // connections dialling, busy or idle
	budget int     // upper bound of open
	closed bool
}

// conn is one connection.
type conn struct {
	client   *http.ClientConn
	tracked  *trackedConn // the socket under client
	lastUsed clock.Millis
}

// New returns a pool without connections and with a budget of 1.
func New(options Options) *Pool {
	dial := options.Dial
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: defaultKeepAlive}).DialContext
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &Pool{
		name:    options.Name,
		address: options.Address,
		budget:  1,
		transport: &http.Transport{
			DialContext:            trackedDial(dial),
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxAnswerHeader,
			Protocols:              protocols,
		},
	}
}

// SetBudget bounds the number of connections, idle ones included, and closes
// idle ones above it. Busy ones above it are closed when their answer has been
// read.
func (pool *Pool) SetBudget(connections int) {
	pool.mu.Lock()
	pool.budget = connections
	surplus := pool.removeSurplus()
	pool.mu.Unlock()
	closeAll(surplus)
}

// removeSurplus removes the least recently used idle connections above the
// budget. The caller holds the mutex and closes them.
func (pool *Pool) removeSurplus() []*conn {
	count := min(max(pool.open-pool.budget, 0), len(pool.idle))
	surplus := append([]*conn(nil), pool.idle[:count]...)
	pool.idle = append(pool.idle[:0], pool.idle[count:]...)
	pool.open -= count
	return surplus
}

// CloseIdle closes idle connections that were last used before a time.
func (pool *Pool) CloseIdle(before clock.Millis) {
	pool.mu.Lock()
	count := 0
	for count < len(pool.idle) && pool.idle[count].lastUsed < before {
		count++
	}
	expired := append([]*conn(nil), pool.idle[:count]...)
	pool.idle = append(pool.idle[:0], pool.idle[count:]...)
	pool.open -= count
	pool.mu.Unlock()
	closeAll(expired)
}

// Close closes idle connections now and busy ones after their answers.
func (pool *Pool) Close() {
	pool.mu.Lock()
	pool.closed = true
	pool.budget = 0
	idle := pool.removeSurplus()
	pool.mu.Unlock()
	closeAll(idle)
}

func closeAll(idle []*conn) {
	for _, connection := range idle {
		_ = connection.client.Close() // no request is in flight on it
	}
}

// Open returns the number of connections that are open or being opened.
func (pool *Pool) Open() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.open
}

// Budget returns the number of connections that may be open.
func (pool *Pool) Budget() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.budget
}

// Probe opens a connection and puts it into the pool for the next request. With
// the budget exhausted it opens none and returns nil, which counts as reached:
// connections are open, and the trial request will use one.
func (pool *Pool) Probe(ctx context.Context, now func() clock.Millis) error {
	connection, err := pool.connect(ctx)
	if errors.Is(err, ErrNoConnection) {
		return nil
	}
	if err != nil {
		return err
	}
	pool.putIdle(connection, now())
	return nil
}

// acquire returns an idle connection or opens one.
func (pool *Pool) acquire(ctx context.Context) (*conn, error) {
	for {
		connection := pool.popIdle()
		if connection == nil {
			return pool.connect(ctx)
		}
		if connection.client.Err() == nil {
			return connection, nil
		}
		pool.discard(connection)
	}
}

// popIdle removes the most recently used idle connection, nil if there is none.
func (pool *Pool) popIdle() *conn {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if len(pool.idle) == 0 {
		return nil
	}
	last := len(pool.idle) - 1
	connection := pool.idle[last]
	pool.idle = pool.idle[:last]
	return connection
}

func (pool *Pool) connect(ctx context.Context) (*conn, error) {
	if !pool.reserve() {
		return nil, fault.New(fault.NotSent, StepConnect, pool.name, ErrNoConnection)
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout.Duration())
	defer cancel()
	connection := &conn{}
	client, err := pool.transport.NewClientConn(context.WithValue(ctx, trackedConnKey{}, &connection.tracked), "http", pool.address)
	if err != nil {
		pool.release()
		return nil, fault.New(fault.NotSent, StepConnect, pool.name, err)
	}
	connection.client = client
	return connection, nil
}

// reserve counts a connection against the budget. It reports false if the
// budget is exhausted.
func (pool *Pool) reserve() bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.closed || pool.open >= pool.budget {
		return false
	}
	pool.open++
	return true
}

// release undoes reserve after the connection is closed or was not opened.
func (pool *Pool) release() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.open--
}

// putIdle returns a connection to the pool, or closes it when the pool is
// above its budget.
func (pool *Pool) putIdle(connection *conn, now clock.Millis) {
	connection.lastUsed = now
	pool.mu.Lock()
	if pool.open <= pool.budget {
		pool.idle = append(pool.idle, connection)
		pool.mu.Unlock()
		return
	}
	pool.mu.Unlock()
	pool.discard(connection)
}

// discard closes a connection that is not in the pool.
func (pool *Pool) discard(connection *conn) {
	_ = connection.client.Close() // the connection is not used again, whatever the error
	pool.release()
}
