package connpool

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

var errSealed = errors.New("connection is given up")

// trackedConn is the socket under an HTTP connection. It records whether a
// write of the request in flight was begun, and seal blocks all later writes,
// so that an attempt can report whether anything was sent. A begun write counts
// as sent unless the kernel accepted no byte.
type trackedConn struct {
	net.Conn
	mu           sync.Mutex
	sealed       bool
	writeStarted bool // since the last reset
}

// Write implements net.Conn.
func (socket *trackedConn) Write(data []byte) (int, error) {
	before, ok := socket.beginWrite()
	if !ok {
		return 0, errSealed
	}
	count, err := socket.Conn.Write(data)
	if count == 0 && err != nil && !before {
		socket.reset() // the kernel accepted no byte
	}
	return count, err
}

// beginWrite records a write before it is done, so that a concurrent seal
// counts the request as sent. It returns whether an earlier write was begun,
// and false for ok after seal.
func (socket *trackedConn) beginWrite() (before, ok bool) {
	socket.mu.Lock()
	defer socket.mu.Unlock()
	if socket.sealed {
		return false, false
	}
	before = socket.writeStarted
	socket.writeStarted = true
	return before, true
}

// reset clears writeStarted before the next request.
func (socket *trackedConn) reset() {
	socket.mu.Lock()
	defer socket.mu.Unlock()
	socket.writeStarted = false
}

// seal blocks all further writes and reports whether any was begun since the
// last reset.
func (socket *trackedConn) seal() bool {
	socket.mu.Lock()
	defer socket.mu.Unlock()
	socket.sealed = true
	return socket.writeStarted
}

// trackedConnKey is the context key of the **trackedConn that a dial sets.
type trackedConnKey struct{}

// trackedDial wraps the connections that dial opens, and hands each to the
// caller through the context.
func trackedDial(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		socket := &trackedConn{Conn: conn}
		if result, ok := ctx.Value(trackedConnKey{}).(**trackedConn); ok {
			*result = socket
		}
		return socket, nil
	}
}
