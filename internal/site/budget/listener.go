package budget

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Times of connections.
const (
	minAge       clock.Millis = 250 // a younger connection is not closed for a new one
	acceptPause  clock.Millis = 10  // between two searches for a connection to close
	reserveWait  clock.Millis = 500 // longest wait for the memory of refused bodies
	reservePause clock.Millis = 2   // between two checks of it
	minLinger    clock.Millis = 50  // replaces minAge for a refused connection
	lingerTime   clock.Millis = 500 // for the caller to read a refusal before the connection is reset
)

// receiveBytes is the receive buffer of a connection, which the kernel doubles for
// its own bookkeeping. It bounds what is received and not yet read, which counts
// towards the memory of the VM.
const receiveBytes = 32 << 10

// ListenConfig returns the configuration of listeners for untrusted peers.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var sockoptErr error
		err := raw.Control(func(fd uintptr) {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes)
		})
		if err != nil {
			return err
		}
		return sockoptErr
	}}
}

// phase is what a connection waits for.
type phase int32

const (
	idle    phase = iota // a request or the rest of its header
	reading              // the body of a request
	serving              // the handler; such a connection is not closed for another one
	ending               // the caller, to read the answer
)

// Listener bounds the number of open connections. When a new one would exceed it, the
// one that has held the most for the longest time is closed.
type Listener struct {
	net.Listener
	budget  *Budget
	name    string // of its limit
	limit   int
	refused *metrics.Counter

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Callers returns the listener of callers' connections.
func (b *Budget) Callers(inner net.Listener) *Listener {
	return b.listener(inner, callerLimit, b.limits.Connections)
}

// Side returns the listener of another HTTP server of the process.
func (b *Budget) Side(inner net.Listener) *Listener {
	return b.listener(inner, sideLimit, b.limits.SideConnections)
}

// Peers returns the listener of connections between entries. Touch notes their use.
func (b *Budget) Peers(inner net.Listener) *Listener {
	return b.listener(inner, peerLimit, b.limits.PeerConnections)
}

// Touch notes that a connection is in use, for servers other than those of net/http.
func Touch(served net.Conn) {
	if c := connOf(served); c != nil {
		c.enter(idle)
	}
}

func (b *Budget) listener(inner net.Listener, name string, limit int) *Listener {
	l := &Listener{
		Listener: inner, budget: b, name: name, limit: limit, refused: b.refusedConnections[name],
		conns: map[*conn]struct{}{},
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listeners = append(b.listeners, l)
	return l
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	b := l.budget
	b.mu.Lock()
	kept := b.listeners[:0]
	for _, other := range b.listeners {
		if other != l {
			kept = append(kept, other)
		}
	}
	b.listeners = kept
	b.mu.Unlock()
	return l.Listener.Close()
}

func (l *Listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		c := &conn{TCPConn: tcp, listener: l}
		c.enter(idle)
		if l.admit(c) {
			return c, nil
		}
		l.refused.Inc()
		l.budget.peers.add(tcp)
		_ = tcp.Close()
	}
}

// admit registers a connection and closes another one if there are too many. It
// waits a short time if all of them are young, and then reports false.
func (l *Listener) admit(c *conn) bool {
	for range minAge/acceptPause + 1 {
		if l.tryAdmit(c) {
			return true
		}
		time.Sleep(acceptPause.Duration())
	}
	return false
}

func (l *Listener) tryAdmit(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < l.limit {
		l.conns[c] = struct{}{}
		return true
	}
	victim := l.worstLocked(minAge, nil)
	if victim == nil {
		return false
	}
	l.refused.Inc()
	l.budget.peers.add(victim)
	delete(l.conns, victim)
	if victim.lingering.Load() {
		victim.release() // net/http has closed it already, and does not do so again
	}
	_ = victim.TCPConn.Close()
	l.conns[c] = struct{}{}
	return true
}

// connectionWeight is the number of bytes that a connection counts in addition to its
// body when connections are compared.
const connectionWeight = 4 << 10

// worstLocked returns the connection of at least an age that has held the most for
// the longest time, or nil. The caller holds the mutex.
func (l *Listener) worstLocked(age clock.Millis, eligible func(c *conn) bool) *conn {
	now := l.budget.clock.Now()
	var worst *conn
	var worstScore int64
	for c := range l.conns {
		waited := now - clock.Millis(c.since.Load())
		least := age
		if c.lingering.Load() {
			least = min(age, minLinger)
		}
		if phase(c.phase.Load()) == serving || waited < least || eligible != nil && !eligible(c) {
			continue
		}
		if score := int64(waited+1) * (connectionWeight + c.held.Load()); score > worstScore {
			worst, worstScore = c, score
		}
	}
	return worst
}

// sweep ends bodies below the lowest rate, and answers that are not read.
func (l *Listener) sweep(now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := l.budget.limits
	for c := range l.conns {
		waited := now - clock.Millis(c.since.Load())
		switch phase(c.phase.Load()) {
		case reading:
			allowed := limits.BodyGrace + clock.Millis(c.body.received.Load()*int64(clock.Second)/limits.BodyRate)
			if waited > allowed && c.slow.CompareAndSwap(false, true) {
				l.budget.slowBodies.Inc()
				l.budget.peers.add(c)
				c.stopReading()
			}
		case ending:
			if waited > limits.BodyGrace || c.lingering.Load() && waited > lingerTime {
				delete(l.conns, c)
				c.release()
				_ = c.TCPConn.Close()
			}
		case idle, serving:
		}
	}
}

// reserve adds bytes to what a connection's body holds. If there are too few, it
// refuses other bodies, those that have held the most for the longest time first,
// and waits until their requests have ended: only then is their memory free. It
// reports false if this body is the one to be refused.
func (l *Listener) reserve(c *conn, count int64) bool {
	b := l.budget
	c.held.Add(count)
	if b.bodyBytes.Add(count) <= b.limits.BodyBytes {
		return true
	}
	if !l.makeRoom(c) {
		return false
	}
	for range reserveWait / reservePause {
		if b.bodyBytes.Load() <= b.limits.BodyBytes {
			return true
		}
		if c.refused.Load() {
			return false
		}
		time.Sleep(reservePause.Duration())
	}
	l.refuse(c)
	return false
}

// makeRoom refuses bodies until the rest is within the limit. It reports false if
// the given one is among them.
func (l *Listener) makeRoom(c *conn) bool {
	b := l.budget
	l.mu.Lock()
	defer l.mu.Unlock()
	for b.bodyBytes.Load()-b.leavingBytes.Load() > b.limits.BodyBytes {
		victim := l.worstLocked(0, func(other *conn) bool {
			return phase(other.phase.Load()) == reading && other.held.Load() > 0 && !other.refused.Load()
		})
		if victim == nil || victim == c {
			l.refuse(c)
			return false
		}
		l.refuse(victim)
		// In this sequence, as the request may be ending: release takes back no more
		// than has been counted.
		leaving := victim.held.Load()
		b.leavingBytes.Add(leaving)
		victim.leaving.Add(leaving)
		victim.stopReading()
	}
	return true
}

// refuse marks a body as refused.
func (l *Listener) refuse(c *conn) {
	if c.refused.CompareAndSwap(false, true) {
		l.budget.refusedBodies.Inc()
		l.budget.peers.add(c)
	}
}

// conn is a connection of a listener.
type conn struct {
	*net.TCPConn
	listener  *Listener
	phase     atomic.Int32
	since     atomic.Int64 // time of the newest change of the phase by enter
	held      atomic.Int64 // bytes reserved for the body
	leaving   atomic.Int64 // part of held that is free once the refused request has ended
	refused   atomic.Bool  // the body must not be read on, for lack of memory
	slow      atomic.Bool  // the body must not be read on, as it is too slow
	lingering atomic.Bool  // only the sending side is closed, so that the caller can read the answer
	body      body
}

// proceed changes the phase and keeps its time, for phases whose own time does not
// matter: a connection in the phase serving is never closed for another one, and one
// that becomes idle has entered the phase ending just before.
func (c *conn) proceed(next phase) { c.phase.Store(int32(next)) }

// enter changes the phase, as of now.
func (c *conn) enter(next phase) {
	c.since.Store(int64(c.listener.budget.clock.Now()))
	c.phase.Store(int32(next))
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// stopReading makes reads of the connection fail, also one in progress.
func (c *conn) stopReading() { _ = c.SetReadDeadline(pastDeadline) }

// release returns what the body holds, once its request has ended. It is repeated
// when the connection has left the set, since until then a reservation may refuse a
// body whose request is just ending, and count it among those that leave.
func (c *conn) release() {
	if leaving := c.leaving.Swap(0); leaving != 0 {
		c.listener.budget.leavingBytes.Add(-leaving)
	}
	if held := c.held.Swap(0); held != 0 {
		c.listener.budget.bodyBytes.Add(-held)
	}
}

// Close implements net.Conn. If the caller may not have read a refusal, only the
// sending side is closed: unread data would make the kernel reset the connection
// and discard the refusal. The sweep closes it soon after.
func (c *conn) Close() error {
	unread := c.refused.Load() || c.slow.Load() || c.body.unread.Load()
	if unread && c.lingering.CompareAndSwap(false, true) {
		c.enter(ending)
		if err := c.CloseWrite(); err == nil {
			return nil
		} // the caller has closed the connection
	}
	l := c.listener
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	c.release()
	return c.TCPConn.Close()
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext is a field of http.Server.
func (l *Listener) ConnContext(ctx context.Context, served net.Conn) context.Context {
	if c := connOf(served); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// ConnState is a field of http.Server.
func (l *Listener) ConnState(served net.Conn, state http.ConnState) {
	if c := connOf(served); c != nil && state == http.StateIdle {
		c.proceed(idle)
	}
}

func connOf(served net.Conn) *conn {
	if secure, ok := served.(*tls.Conn); ok {
		served = secure.NetConn()
	}
	c, _ := served.(*conn) // nil for a connection of another listener
	return c
}
