package peer

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/site/linkshard"
)

// A link's session has a connection of its own. The owner opens it by a call;
// after that both sides send batches as notifications, whose content is for
// package linkshard alone.

// frame carries a batch.
type frame struct {
	Data []byte `json:"data"`
}

// batchesWaiting bounds the batches of a session that wait to be taken.
const batchesWaiting = 16

// Link opens a link's session at an entry. Received is called with each batch
// of results, from one goroutine.
func (c *Client) Link(ctx context.Context, entry linkshard.Entry, query linkshard.Query, received func([]byte)) (linkshard.Connection, error) {
	open, err := c.dial(ctx, entry.Address, listener{received: received})
	if err != nil {
		return linkshard.Connection{}, err
	}
	connection := linkshard.Connection{
		Send: func(batch []byte) error {
			return open.rpc.Notify(context.Background(), methodOrders, frame{Data: batch})
		},
		Done:  open.rpc.DisconnectNotify(),
		Close: open.close,
	}
	stop := context.AfterFunc(ctx, open.close)
	defer stop()
	if err := open.rpc.Call(ctx, methodLink, query, &connection.Opening); err != nil {
		open.close()
		return linkshard.Connection{}, fault.New(fault.NotRun, methodLink, entry.Address, err)
	}
	return connection, nil
}

// listener takes the batches of a link.
type listener struct{ received func([]byte) }

// Handle implements jsonrpc2.Handler. The library calls it from one goroutine.
func (l listener) Handle(_ context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if request.Method != methodResults {
		return // of a newer version
	}
	batch, err := decode[frame](request.Params)
	if err != nil {
		_ = rpc.Close() // the session cannot go on; the owner sees that it has ended
		return
	}
	l.received(batch.Data)
}

// serveLink runs a link's session on the connection that asked for it.
func (s *session) serveLink(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) error {
	query, err := decode[linkshard.Query](request.Params)
	if err != nil {
		return err
	}
	if s.handlers.Link == nil || !s.linked.CompareAndSwap(false, true) {
		return errors.New("no session can be opened here")
	}
	err = s.handlers.Link(ctx, query, linkshard.Line{
		In:   s.batches,
		Send: func(batch []byte) error { return rpc.Notify(ctx, methodResults, frame{Data: batch}) },
		Open: func(opening linkshard.Opening) bool { return rpc.Reply(ctx, request.ID, opening) == nil },
	})
	_ = rpc.Close() // the owner sees by it that the session has ended
	return err
}

// takeOrders hands a batch to the session. One without a session is dropped.
func (s *session) takeOrders(ctx context.Context, request *jsonrpc2.Request) error {
	batch, err := decode[frame](request.Params)
	if err != nil || !s.linked.Load() {
		return errors.Wrap(err, "batch without a session")
	}
	select {
	case s.batches <- batch.Data:
	case <-ctx.Done():
	}
	return nil
}
