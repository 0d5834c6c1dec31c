package peer

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
)

// Client calls other entries over connections that it keeps.
type Client struct {
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn // by address
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{conns: map[string]*jsonrpc2.Conn{}} }

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
func (c *Client) Lookup(ctx context.Context, address string, query JobQuery) (owner.Finding, error) {
	return call[owner.Finding](ctx, c, address, methodLookup, query)
}

// Waiting asks the owner for a queue's count.
func (c *Client) Waiting(ctx context.Context, address string, query QueueQuery) (WaitingAnswer, error) {
	return call[WaitingAnswer](ctx, c, address, methodWaiting, query)
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

// call sends one query and waits for its answer. Errors are *fault.Fault. After
// any error but an answered one the connection is dropped.
func call[Answer any](ctx context.Context, c *Client, address, method string, query any) (Answer, error) {
	var answer Answer
	rpc, err := c.conn(ctx, address)
	if err != nil {
		return answer, err
	}
	err = rpc.Call(ctx, method, query, &answer)
	if err == nil {
		return answer, nil
	}
	var refusal *jsonrpc2.Error
	if errors.As(err, &refusal) {
		return answer, fault.New(fault.NotRun, method, address, err)
	}
	c.drop(address, rpc)
	return answer, fault.New(fault.Unknown, method, address, err)
}

func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	rpc, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		return rpc, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout.Duration()}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.New(fault.NotSent, "dial peer", address, err)
	}
	// The connection outlives this call, so it must not end with its context.
	rpc = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewBufferedStream(conn, boundedCodec{}), deaf{}, quiet)
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, taken := c.conns[address]; taken {
		_ = rpc.Close()
		return other, nil
	}
	c.conns[address] = rpc
	return rpc, nil
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
