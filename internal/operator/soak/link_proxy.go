package soak

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// linkState is how a linkProxy treats what it forwards.
type linkState struct {
	refuse        bool         // reset connections and accept none, as a host without the process does
	holdRequests  bool         // forward nothing to the target until the state changes
	holdAnswers   bool         // forward nothing to the caller until the state changes
	delayRequests clock.Millis // forward each piece to the target this much later, also if the caller is gone
	delayAnswers  clock.Millis
	dropHeld      bool // when the state changes, pieces held before are dropped with their connections
}

// targetDialTimeout bounds the connection to a target, which is on the same machine.
const targetDialTimeout = time.Second

// proxyBufferBytes is the size of the pieces that a linkProxy forwards.
const proxyBufferBytes = 32 << 10

// linkProxy forwards TCP connections to a target, with faults.
type linkProxy struct {
	ctx     context.Context // ends all listening
	address string
	target  string
	clock   clock.Clock
	group   *errgroup.Group

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	state    linkState
	changed  chan struct{} // closed and replaced when the state changes
	conns    map[net.Conn]struct{}
	closed   bool
}

// newLinkProxy returns a proxy that accepts connections at a free port of an
// address, until close.
func newLinkProxy(ctx context.Context, ip, target string, clk clock.Clock, group *errgroup.Group) (*linkProxy, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &linkProxy{
		ctx: ctx, address: listener.Addr().String(), target: target, clock: clk, group: group,
		listener: listener, changed: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
	group.Go(func() error { p.accept(listener); return nil })
	return p, nil
}

// set changes the state.
func (p *linkProxy) set(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	dropHeld := p.state.dropHeld && (p.state.holdRequests || p.state.holdAnswers)
	p.state = state
	close(p.changed)
	p.changed = make(chan struct{})
	if state.refuse || dropHeld {
		p.resetLocked()
	}
	p.listenLocked(!state.refuse && !p.closed)
}

// listenLocked starts or stops listening. The caller holds the mutex.
func (p *linkProxy) listenLocked(listen bool) {
	switch {
	case listen && p.listener == nil:
		listener, err := new(net.ListenConfig).Listen(p.ctx, "tcp", p.address)
		if err != nil {
			return // the next change tries again
		}
		p.listener = listener
		p.group.Go(func() error { p.accept(listener); return nil })
	case !listen && p.listener != nil:
		_ = p.listener.Close()
		p.listener = nil
	}
}

// resetLocked resets all connections. The caller holds the mutex.
func (p *linkProxy) resetLocked() {
	for conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = map[net.Conn]struct{}{}
}

// close stops the proxy and resets its connections.
func (p *linkProxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.listenLocked(false)
	close(p.changed)
	p.changed = make(chan struct{})
	p.resetLocked()
}

// current returns the state and a channel that is closed when it changes.
func (p *linkProxy) current() (state linkState, changed <-chan struct{}, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.changed, p.closed
}

func (p *linkProxy) accept(listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return // closed
		}
		p.group.Go(func() error { p.forward(caller); return nil })
	}
}

// track records a connection, so that it is reset with the others. It returns false
// if connections are refused.
func (p *linkProxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // closing resets
	}
	if p.closed || p.state.refuse {
		_ = conn.Close()
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

func (p *linkProxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

// forward serves one connection of a caller.
func (p *linkProxy) forward(caller net.Conn) {
	if !p.track(caller) {
		return
	}
	defer p.untrack(caller)
	dialer := net.Dialer{Timeout: targetDialTimeout}
	target, err := dialer.DialContext(p.ctx, "tcp", p.target)
	if err != nil || !p.track(target) {
		return
	}
	defer p.untrack(target)
	var pumps errgroup.Group
	pumps.Go(func() error {
		p.pump(caller, target, func(s linkState) (bool, clock.Millis) { return s.holdRequests, s.delayRequests })
		return nil
	})
	pumps.Go(func() error {
		p.pump(target, caller, func(s linkState) (bool, clock.Millis) { return s.holdAnswers, s.delayAnswers })
		_ = caller.Close()
		return nil
	})
	_ = pumps.Wait() // the pumps return no error
}

// pump forwards pieces in one direction until either side is gone. A piece that was
// read is forwarded even if its sender has gone meanwhile.
func (p *linkProxy) pump(from, to net.Conn, fault func(linkState) (hold bool, delay clock.Millis)) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, proxyBufferBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if !p.await(fault) {
				return
			}
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await waits until a piece may be forwarded. It returns false if the proxy is closed.
func (p *linkProxy) await(fault func(linkState) (hold bool, delay clock.Millis)) bool {
	for {
		state, changed, closed := p.current()
		if closed {
			return false
		}
		hold, delay := fault(state)
		if !hold {
			p.sleep(delay, changed)
			return true
		}
		<-changed
	}
}

// sleep waits, or less if the state changes.
func (p *linkProxy) sleep(delay clock.Millis, changed <-chan struct{}) {
	if delay == 0 {
		return
	}
	select {
	case <-time.After(delay.Duration()):
	case <-changed:
	}
}
