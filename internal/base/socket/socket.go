// Package socket opens TCP connections that the kernel closes when the peer
// stops acknowledging data.
//
// # Usage
//
//	conn, err := socket.Dial(ctx, "10.1.0.13:7720", 500)
package socket

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// ackTimeout is how long sent data may stay unacknowledged before the connection
// is closed. It is several times the longest latency between two failure domains.
const ackTimeout clock.Millis = 1500

// Dial opens a connection within the timeout. Closing the connection resets it, so
// that data in flight is not delivered afterwards.
func Dial(ctx context.Context, address string, timeout clock.Millis) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout.Duration(), Control: setAckTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	if err := tcp.SetLinger(0); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "set linger")
	}
	return conn, nil
}

// setAckTimeout makes the kernel close a connection whose data stays
// unacknowledged for ackTimeout.
func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
