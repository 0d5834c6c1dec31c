package peer

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/site/linkshard"
)

// Each link session has its own connection. The owner opens the session by a call;
// then both sides send batches as notifications. Package linkshard encodes and
// decodes the batches.

// batchParams is a notification's parameter and carries one batch.
type batchParams struct {
	Data []byte `json:"data"`
}

// maxQueuedBatches bounds a session's received batches that are not yet processed.
const maxQueuedBatches = 16

// OpenLink opens a link session at an entry. Received is called with each batch of
// results, from one goroutine.
func (c *Client) OpenLink(ctx context.Context, entry linkshard.Entry, query linkshard.OpenRequest, received func([]byte)) (linkshard.Connection, error) {
	open, err := c.dial(ctx, entry.Address, resultHandler{received: received})
	if err != nil {
		return linkshard.Connection{}, err
	}
	connection := linkshard.Connection{
		Send: func(batch []byte) error {
			return open.rpc.Notify(context.Background(), methodOrders, batchParams{Data: batch})
		},
		Done:  open.rpc.DisconnectNotify(),
		Close: open.close,
	}
	stop := context.AfterFunc(ctx, open.close)
	defer stop()
	if err := open.rpc.Call(ctx, methodLink, query, &connection.OpenReply); err != nil {
		open.close()
		return linkshard.Connection{}, fault.New(fault.NotRun, methodLink, entry.Address, err)
	}
	return connection, nil
}

// resultHandler receives the batches of results from a link.
type resultHandler struct{ received func([]byte) }

// Handle implements jsonrpc2.Handler. The library calls it from one goroutine.
func (h resultHandler) Handle(_ context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Method != methodResults {
		return // a method of a newer version
	}
	batch, err := decode[batchParams](request.Params)
	if err != nil {
		_ = rpc.Close() // a lost batch cannot be recovered; the pool gets the end through Connection.Done
		return
	}
	h.received(batch.Data)
}

// serveLink serves a link session on the connection of its request, until it ends.
func (s *session) serveLink(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) error {
	query, err := decode[linkshard.OpenRequest](request.Params)
	if err != nil {
		return err
	}
	if s.handlers.OpenLink == nil || !s.linkOpened.CompareAndSwap(false, true) {
		return errors.New("no session can be opened here")
	}
	err = s.handlers.OpenLink(ctx, query, linkshard.ServerConn{
		In:   s.orderBatches,
		Send: func(batch []byte) error { return rpc.Notify(ctx, methodResults, batchParams{Data: batch}) },
		Open: func(opening linkshard.OpenReply) bool { return rpc.Reply(ctx, request.ID, opening) == nil },
	})
	_ = rpc.Close() // signals the end of the session to the owner
	return err
}

// queueOrders queues a batch of orders for the session. Without a session, the batch
// is dropped.
func (s *session) queueOrders(ctx context.Context, request *jsonrpc2.Request) error {
	batch, err := decode[batchParams](request.Params)
	if err != nil || !s.linkOpened.Load() {
		return errors.Wrap(err, "batch without a session")
	}
	select {
	case s.orderBatches <- batch.Data:
	case <-ctx.Done():
	}
	return nil
}
