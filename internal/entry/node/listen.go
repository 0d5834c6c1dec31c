package node

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/entry/peer"
)

// Bounds of an inbound HTTP connection. A slow sender holds a connection for
// at most these times.
const (
	headerTimeout  clock.Millis = 5 * clock.Second
	requestTimeout clock.Millis = 60 * clock.Second // whole request, body included
	idleTimeout    clock.Millis = 75 * clock.Second
	maxHeaderBytes              = 32 << 10
)

// listener is an HTTP server as a part.
type listener struct {
	name    string
	wanted  string
	secure  *tls.Config
	handler http.Handler

	mu     sync.Mutex
	opened net.Listener // not yet served; nil after Serve took it
	bound  string
	server *http.Server
	ended  bool // shut down or closed on purpose
}

// newListener opens the address at once, so that a start-up fails clearly.
func newListener(name, address string, secure *tls.Config, handler http.Handler) (*listener, error) {
	l := &listener{name: name, wanted: address, secure: secure, handler: handler}
	opened, err := openTCP(name, address)
	if err != nil {
		return nil, err
	}
	l.opened = opened
	l.bound = opened.Addr().String()
	return l, nil
}

func openTCP(name, address string) (net.Listener, error) {
	opened, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fault.New(fault.NotRun, "listen "+name, address, err)
	}
	return opened, nil
}

// String names the part in the supervisor's reports.
func (l *listener) String() string { return l.name + " listener" }

func (l *listener) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bound
}

// Serve implements suture.Service. A restart opens the same address again.
func (l *listener) Serve(ctx context.Context) error {
	server, opened, err := l.begin()
	if err != nil || server == nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if l.secure != nil {
		opened = tls.NewListener(opened, l.secure)
	}
	err = server.Serve(opened)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done() // shut down on purpose: nothing to restart
		return ctx.Err()
	}
	return fault.New(fault.NotRun, "serve "+l.name, l.bound, err)
}

func (l *listener) begin() (*http.Server, net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil, nil, nil
	}
	opened := l.opened
	l.opened = nil
	if opened == nil {
		again, err := openTCP(l.name, l.bound)
		if err != nil {
			return nil, nil, err
		}
		opened = again
	}
	l.server = &http.Server{
		Handler:           l.handler,
		ReadHeaderTimeout: headerTimeout.Duration(),
		ReadTimeout:       requestTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0), // broken handshakes are no changes of state
	}
	return l.server, opened, nil
}

// shutDown stops accepting and waits for requests in flight.
func (l *listener) shutDown(ctx context.Context) error {
	l.mu.Lock()
	server := l.server
	l.ended = true
	l.mu.Unlock()
	if server == nil {
		return nil
	}
	return server.Shutdown(ctx)
}

func (l *listener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	if l.opened != nil {
		_ = l.opened.Close()
	}
	if l.server != nil {
		_ = l.server.Close()
	}
}

// peerPart is the JSON-RPC server as a part.
type peerPart struct {
	server *peer.Server

	mu     sync.Mutex
	opened net.Listener
	bound  string
}

func newPeerPart(address string, options peer.Options) (*peerPart, error) {
	opened, err := openTCP("peers", address)
	if err != nil {
		return nil, err
	}
	return &peerPart{server: peer.NewServer(options), opened: opened, bound: opened.Addr().String()}, nil
}

// String names the part in the supervisor's reports.
func (p *peerPart) String() string { return "peer listener" }

// Serve implements suture.Service. A restart opens the same address again.
func (p *peerPart) Serve(ctx context.Context) error {
	p.mu.Lock()
	opened := p.opened
	p.opened = nil
	p.mu.Unlock()
	if opened == nil {
		again, err := openTCP("peers", p.bound)
		if err != nil {
			return err
		}
		opened = again
	}
	return p.server.Serve(ctx, opened)
}

func (p *peerPart) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opened != nil {
		_ = p.opened.Close()
	}
}
