// Package socket opens TCP connections that end by themselves when the other
// side falls silent.
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

// silenceTimeout ends a connection whose data nobody acknowledges for so long.
// It is several times the longest way between two failure domains.
const silenceTimeout clock.Millis = 1500

// Dial opens a connection within the given time. Closing it resets it, so that
// what is still under way is not delivered later.
func Dial(ctx context.Context, address string, timeout clock.Millis) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout.Duration(), Control: detectSilence}
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

// detectSilence makes the kernel end a connection whose data nobody
// acknowledges.
func detectSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout))
	})
	if err != nil {
		return err
	}
	return failed
}
