package link

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

var errSealed = errors.New("connection is given up")

// wire is the socket under an HTTP connection. It knows for certain whether
// anything of a request was handed to the kernel: after seal, nothing more is.
type wire struct {
	net.Conn
	mu      sync.Mutex
	sealed  bool
	started bool
}

// Write implements net.Conn.
func (socket *wire) Write(data []byte) (int, error) {
	before, ok := socket.start()
	if !ok {
		return 0, errSealed
	}
	count, err := socket.Conn.Write(data)
	if count == 0 && err != nil && !before {
		socket.reset() // the kernel took nothing
	}
	return count, err
}

// start counts a write as begun, before it is: a seal in the meantime must
// take it for sent.
func (socket *wire) start() (before, ok bool) {
	socket.mu.Lock()
	defer socket.mu.Unlock()
	if socket.sealed {
		return false, false
	}
	before = socket.started
	socket.started = true
	return before, true
}

// reset forgets what was written before the next request.
func (socket *wire) reset() {
	socket.mu.Lock()
	defer socket.mu.Unlock()
	socket.started = false
}

// seal stops all further writes and reports whether any was begun since the
// last reset.
func (socket *wire) seal() bool {
	socket.mu.Lock()
	defer socket.mu.Unlock()
	socket.sealed = true
	return socket.started
}

// wireKey carries the place where a dial leaves its wire.
type wireKey struct{}

func dialer(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		socket := &wire{Conn: conn}
		if place, ok := ctx.Value(wireKey{}).(**wire); ok {
			*place = socket
		}
		return socket, nil
	}
}
