package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/oriolepier/oriolepier/internal/base/fault"
)

// Client calls other entries over connections that it keeps.
type Client struct {
	options Options

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn // by address
}

// NewClient returns a client without connections.
func NewClient(options Options) *Client {
	return &Client{options: options, conns: map[string]*jsonrpc2.Conn{}}
}

// Call sends one query and waits for its answer. Errors are *fault.Fault. After
// any error but an answered one the connection is dropped.
func (c *Client) Call(ctx context.Context, address, method string, query, answer any) error {
	rpc, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	err = rpc.Call(ctx, method, query, answer)
	if err == nil {
		return nil
	}
	var refusal *jsonrpc2.Error
	if errors.As(err, &refusal) {
		return fault.New(fault.Answered, method, address, err)
	}
	c.drop(address, rpc)
	return fault.New(fault.Unknown, method, address, err)
}

// Close drops all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, rpc := range c.conns {
		_ = rpc.Close()
	}
	clear(c.conns)
}

func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	rpc, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		return rpc, nil
	}
	rpc, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, taken := c.conns[address]; taken {
		_ = rpc.Close()
		return other, nil
	}
	c.conns[address] = rpc
	return rpc, nil
}

func (c *Client) dial(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout.Duration(), KeepAlive: keepAlivePeriod.Duration()}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.New(fault.NotSent, "dial peer", address, err)
	}
	if c.options.TLS != nil {
		conn = tls.Client(conn, named(c.options.TLS, address))
	}
	// The connection outlives this call, so it must not end with its context.
	rpc := jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewBufferedStream(conn, boundedCodec{}), deaf{}, quiet)
	var answer Credentials
	err = rpc.Call(ctx, hello, Credentials{Token: c.options.Token, Name: c.options.Name}, &answer)
	if err != nil {
		_ = rpc.Close()
		return nil, fault.New(fault.NotRun, hello, address, err)
	}
	return rpc, nil
}

// named returns the TLS settings for one peer, whose certificate must name the
// IP address that was dialled.
func named(base *tls.Config, address string) *tls.Config {
	config := base.Clone()
	config.ServerName, _, _ = net.SplitHostPort(address) // dialled, so well formed
	return config
}

func (c *Client) drop(address string, rpc *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == rpc {
		delete(c.conns, address)
	}
	_ = rpc.Close()
}

// deaf ignores what a server would call on a client.
type deaf struct{}

// Handle implements jsonrpc2.Handler.
func (deaf) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
