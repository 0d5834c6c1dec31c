package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/base/socket"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
)

// Client calls other entries over connections that it keeps.
type Client struct {
	security Security

	mu    sync.Mutex
	conns map[string]*connection // by address
}

// connection is an open connection to another entry.
type connection struct {
	rpc *jsonrpc2.Conn
	tcp net.Conn
}

// close ends a connection. The library's own way waits for a send that is
// under way, which may be stuck for as long as the other side is silent; so
// the socket is closed first.
func (c *connection) close() {
	_ = c.tcp.Close()
	_ = c.rpc.Close()
}

// NewClient returns a client without connections.
func NewClient(security Security) *Client {
	return &Client{security: security, conns: map[string]*connection{}}
}

// Ping asks an entry for a sign of life.
func (c *Client) Ping(ctx context.Context, address string, query PingQuery) (PingAnswer, error) {
	return call[PingAnswer](ctx, c, address, methodPing, query)
}

// Heard asks an entry when it last heard the owner.
func (c *Client) Heard(ctx context.Context, address string, query HeardQuery) (HeardAnswer, error) {
	return call[HeardAnswer](ctx, c, address, methodHeard, query)
}

// Submit hands a job to the owner.
func (c *Client) Submit(ctx context.Context, address string, query SubmitQuery) (owner.Verdict, error) {
	return call[owner.Verdict](ctx, c, address, methodSubmit, query)
}

// Cancel asks the owner to cancel a job.
func (c *Client) Cancel(ctx context.Context, address string, query JobQuery) (owner.Verdict, error) {
	return call[owner.Verdict](ctx, c, address, methodCancel, query)
}

// Lookup asks the owner for a job's state.
func (c *Client) Lookup(ctx context.Context, address string, query JobQuery) (owner.LookupResult, error) {
	return call[owner.LookupResult](ctx, c, address, methodLookup, query)
}

// Waiting asks the owner for a queue's count.
func (c *Client) Waiting(ctx context.Context, address string, query QueueQuery) (WaitingAnswer, error) {
	return call[WaitingAnswer](ctx, c, address, methodWaiting, query)
}

// Tables asks an entry for what it knows of the operators' topic.
func (c *Client) Tables(ctx context.Context, address string) (TablesAnswer, error) {
	return call[TablesAnswer](ctx, c, address, methodTables, struct{}{})
}

// Close drops all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, open := range c.conns {
		open.close()
	}
	clear(c.conns)
}

// call sends one query and waits for its answer. Errors are *fault.Fault. After
// any error but an answered one the connection is dropped.
func call[Answer any](ctx context.Context, c *Client, address, method string, query any) (Answer, error) {
	var answer Answer
	open, err := c.conn(ctx, address)
	if err != nil {
		return answer, err
	}
	// A call can be stuck in sending, where the library does not heed the
	// context; closing the connection ends that.
	stop := context.AfterFunc(ctx, func() { c.drop(address, open) })
	err = open.rpc.Call(ctx, method, query, &answer)
	stop()
	if err == nil {
		return answer, nil
	}
	var refusal *jsonrpc2.Error
	if errors.As(err, &refusal) {
		return answer, fault.New(fault.NotRun, method, address, err)
	}
	c.drop(address, open)
	return answer, fault.New(fault.Unknown, method, address, err)
}

func (c *Client) conn(ctx context.Context, address string) (*connection, error) {
	c.mu.Lock()
	known, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		return known, nil
	}
	open, err := c.dial(ctx, address, deaf{})
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, taken := c.conns[address]; taken {
		open.close()
		return other, nil
	}
	c.conns[address] = open
	return open, nil
}

// dial opens a connection and shows the token.
func (c *Client) dial(ctx context.Context, address string, handler jsonrpc2.Handler) (*connection, error) {
	tcp, err := socket.Dial(ctx, address, dialTimeout)
	if err != nil {
		return nil, fault.New(fault.NotSent, "dial peer", address, err)
	}
	if c.security.Client != nil {
		tcp = tls.Client(tcp, named(c.security.Client, address))
	}
	// The connection outlives this call, so it must not end with its context.
	stream := jsonrpc2.NewBufferedStream(tcp, boundedCodec{})
	open := &connection{tcp: tcp, rpc: jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, handler, quiet)}
	if err := c.greet(ctx, open, address); err != nil {
		return nil, err
	}
	return open, nil
}

// greet shows the token, where there is one.
func (c *Client) greet(ctx context.Context, open *connection, address string) error {
	if c.security.Token == "" {
		return nil
	}
	var answer credentials
	stop := context.AfterFunc(ctx, open.close)
	err := open.rpc.Call(ctx, methodHello, credentials{Token: c.security.Token}, &answer)
	stop()
	if err != nil {
		open.close()
		return fault.New(fault.NotRun, methodHello, address, err)
	}
	return nil
}

// named returns the TLS settings for one peer, whose certificate must name the
// IP address that was dialled.
func named(base *tls.Config, address string) *tls.Config {
	config := base.Clone()
	config.ServerName, _, _ = net.SplitHostPort(address) // dialled, so well formed
	return config
}

func (c *Client) drop(address string, open *connection) {
	c.mu.Lock()
	if c.conns[address] == open {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	open.close()
}

// deaf ignores what a server would call on a client.
type deaf struct{}

// Handle implements jsonrpc2.Handler.
func (deaf) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
