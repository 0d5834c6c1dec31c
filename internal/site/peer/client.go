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

// Client calls other entries and reuses one connection for each address.
type Client struct {
	security Security

	mu          sync.Mutex
	connections map[string]*connection // by address
}

// connection is an open connection to another entry.
type connection struct {
	rpc *jsonrpc2.Conn
	tcp net.Conn
}

// close closes the connection. The socket is closed first, because rpc.Close waits
// for a send in progress, which blocks while the other side does not read.
func (c *connection) close() {
	_ = c.tcp.Close()
	_ = c.rpc.Close()
}

// NewClient returns a client without connections.
func NewClient(security Security) *Client {
	return &Client{security: security, connections: map[string]*connection{}}
}

// Ping queries an entry's state and reports this entry's.
func (c *Client) Ping(ctx context.Context, address string, query PingQuery) (PingAnswer, error) {
	return call[PingAnswer](ctx, c, address, methodPing, query)
}

// OwnerContact queries how long ago the owner last answered a ping of the entry at the
// address.
func (c *Client) OwnerContact(ctx context.Context, address string, query OwnerContactQuery) (OwnerContactAnswer, error) {
	return call[OwnerContactAnswer](ctx, c, address, methodHeard, query)
}

// Submit submits a job to the owner.
func (c *Client) Submit(ctx context.Context, address string, query SubmitQuery) (owner.Verdict, error) {
	return call[owner.Verdict](ctx, c, address, methodSubmit, query)
}

// Cancel sends the owner a request to cancel a job.
func (c *Client) Cancel(ctx context.Context, address string, query owner.JobRef) (owner.Verdict, error) {
	return call[owner.Verdict](ctx, c, address, methodCancel, query)
}

// Lookup queries a job's state from the owner.
func (c *Client) Lookup(ctx context.Context, address string, query owner.JobRef) (owner.LookupResult, error) {
	return call[owner.LookupResult](ctx, c, address, methodLookup, query)
}

// CountWaiting queries how many jobs of a queue have not begun.
func (c *Client) CountWaiting(ctx context.Context, address string, query QueueQuery) (WaitingAnswer, error) {
	return call[WaitingAnswer](ctx, c, address, methodWaiting, query)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, open := range c.connections {
		open.close()
	}
	clear(c.connections)
}

// call sends one query and waits for its answer. Errors are *fault.Fault. Unless
// the peer answered with the error, the connection is dropped.
func call[Answer any](ctx context.Context, c *Client, address, method string, query any) (Answer, error) {
	var answer Answer
	open, err := c.connect(ctx, address)
	if err != nil {
		return answer, err
	}
	// The library ignores the context while it sends, so a call can block there;
	// closing the connection ends the send.
	stop := context.AfterFunc(ctx, func() { c.dropConnection(address, open) })
	err = open.rpc.Call(ctx, method, query, &answer)
	stop()
	if err == nil {
		return answer, nil
	}
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return answer, fault.New(fault.NotRun, method, address, err)
	}
	c.dropConnection(address, open)
	return answer, fault.New(fault.Unknown, method, address, err)
}

// connect returns the open connection to an address, or opens one.
func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	c.mu.Lock()
	known, ok := c.connections[address]
	c.mu.Unlock()
	if ok {
		return known, nil
	}
	open, err := c.dial(ctx, address, noopHandler{})
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, taken := c.connections[address]; taken {
		open.close()
		return other, nil
	}
	c.connections[address] = open
	return open, nil
}

// dial opens a connection and authenticates.
func (c *Client) dial(ctx context.Context, address string, handler jsonrpc2.Handler) (*connection, error) {
	tcp, err := socket.Dial(ctx, address, dialTimeout)
	if err != nil {
		return nil, fault.New(fault.NotSent, "dial peer", address, err)
	}
	if c.security.Client != nil {
		tcp = tls.Client(tcp, tlsConfigFor(c.security.Client, address))
	}
	// The connection is reused after this call, so it must not end with the call's context.
	stream := jsonrpc2.NewBufferedStream(tcp, boundedCodec{})
	open := &connection{tcp: tcp, rpc: jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, handler, discardLog)}
	if err := c.authenticate(ctx, open, address); err != nil {
		return nil, err
	}
	return open, nil
}

// authenticate presents the token, if one is set, and closes the connection on failure.
func (c *Client) authenticate(ctx context.Context, open *connection, address string) error {
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

// tlsConfigFor returns the TLS settings for one peer. Its certificate must name the
// IP address that is dialed.
func tlsConfigFor(base *tls.Config, address string) *tls.Config {
	config := base.Clone()
	config.ServerName, _, _ = net.SplitHostPort(address) // well formed, since the address was dialed
	return config
}

// dropConnection closes a connection and stops reusing it.
func (c *Client) dropConnection(address string, open *connection) {
	c.mu.Lock()
	if c.connections[address] == open {
		delete(c.connections, address)
	}
	c.mu.Unlock()
	open.close()
}

// noopHandler ignores requests from the server side of a connection.
type noopHandler struct{}

// Handle implements jsonrpc2.Handler.
func (noopHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
