package rig3

import (
	"net"
	"sync"
	"time"
)

// Link is the network between the entries and a worker. While it holds requests, what
// it has read of them is passed on when it is released, although their senders have
// gone.
type Link struct {
	rig      *Rig
	listener net.Listener
	mu       sync.Mutex
	target   string        // empty: connections are reset
	released chan struct{} // closed unless requests are held
	silent   bool          // nothing passes, in either direction, and no connection ends
	conns    map[net.Conn]struct{}
}

func newLink(r *Rig) (*Link, error) {
	listener, err := Listen(r.ctx, loopback+":0")
	if err != nil {
		return nil, err
	}
	released := make(chan struct{})
	close(released)
	l := &Link{rig: r, listener: listener, released: released, conns: map[net.Conn]struct{}{}}
	r.Go(l.accept)
	r.Go(func() {
		<-r.ctx.Done()
		_ = listener.Close()
		l.setTarget("")
	})
	return l, nil
}

// Address is the address of the worker as entries see it.
func (l *Link) Address() string { return l.listener.Addr().String() }

// setTarget sets where the worker is, and resets connections to where it was.
func (l *Link) setTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
	for conn := range l.conns {
		_ = conn.Close()
	}
	clear(l.conns)
}

// Hold holds the requests that arrive from now on.
func (l *Link) Hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = make(chan struct{})
}

// Release passes on the held requests, and no longer holds others.
func (l *Link) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.released)
}

// Pass no longer holds requests that arrive from now on. It returns a function that
// releases those held before.
func (l *Link) Pass() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.released
	l.released = make(chan struct{})
	close(l.released)
	return func() { close(held) }
}

// silence ends the worker's machine: nothing passes from now on.
func (l *Link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
	l.released = make(chan struct{})
}

func (l *Link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func (l *Link) current() (target string, released chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target, l.released
}

func (l *Link) track(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		if target, _ := l.current(); target == "" {
			_ = conn.Close()
			continue
		}
		l.track(conn)
		l.rig.Go(func() { l.forward(conn) })
	}
}

const linkBuffer = 64 << 10

// forward passes the requests of a connection on, each piece as it arrives or when it is
// released, and the answers back.
func (l *Link) forward(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	var target net.Conn
	defer func() {
		if target != nil {
			_ = target.Close()
		}
	}()
	buffer := make([]byte, linkBuffer)
	for {
		count, err := caller.Read(buffer)
		if count > 0 {
			_, released := l.current()
			select {
			case <-released:
			default:
				piece := append([]byte{}, buffer[:count]...)
				l.rig.Go(func() { l.passLate(piece, released) })
				continue
			}
			if target == nil {
				if target = l.dial(); target == nil {
					return
				}
				answers := target
				l.rig.Go(func() { l.copyAnswers(answers, caller) })
			}
			if _, err := target.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// passLate passes a held piece on to the worker that is at the address once it is released.
func (l *Link) passLate(piece []byte, released <-chan struct{}) {
	select {
	case <-released:
	case <-l.rig.ctx.Done():
		return
	}
	target := l.dial()
	if target == nil {
		return
	}
	defer func() { _ = target.Close() }()
	if _, err := target.Write(piece); err != nil {
		return
	}
	_ = target.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = target.Read(make([]byte, linkBuffer)) // the sender of the request has gone
}

func (l *Link) dial() net.Conn {
	target, _ := l.current()
	if target == "" {
		return nil
	}
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(l.rig.ctx, "tcp", target)
	if err != nil {
		return nil
	}
	l.track(conn)
	return conn
}

func (l *Link) copyAnswers(from, to net.Conn) {
	buffer := make([]byte, linkBuffer)
	for {
		count, err := from.Read(buffer)
		if l.isSilent() {
			return
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
