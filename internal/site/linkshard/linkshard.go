// Package linkshard spreads the calls to workers over the entries of a cell.
//
// The owner decides; entries near the workers make the calls. Each worker is
// assigned to one of them, its link. The owner's side is a [Pool], the link's
// side a [Shard], which every entry has. A pool without links, or one whose
// links have failed, makes its calls from its own process.
//
//	owner ──> Pool ──┬── session ──batches──> Shard of another entry ──> workers
//	                 └── Shard of this entry ──> workers
//
// What keeps promises when a link fails:
//
//   - A link decides nothing. Orders carry the owner's fencing token and, with a
//     start, the end of its lease, so a late one does nothing at the worker.
//   - A link carries out a batch only while it proves recent: each batch names
//     the newest reading of the link's own clock that the owner has seen. A link
//     that was frozen finds its own time ahead of that and drops the batch.
//   - A link serves the highest epoch that it has seen, and no lower one.
//   - An order whose session is lost counts as unanswered once it was handed to
//     the connection, and as not sent before.
//   - A link that cannot reach a worker is no sign that the worker is silent: the
//     owner's own entry asks once more before anything is concluded.
//
// # Usage
//
//	shard := linkshard.NewShard(linkshard.ShardOptions{Clock: clk, Calls: calls, Logger: logger, Counts: counts})
//	err := shard.Serve(ctx, query, line) // for each owner that opens a session
//
//	pool := linkshard.NewPool(options)
//	group.Go(func() error { return pool.Serve(ctx) })
//	pool.Start(order, func(answer fleet.Answer) { ... })
package linkshard

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Times of a session.
const (
	beatPeriod   clock.Millis = 150  // a link sends something at least so often
	silenceLimit clock.Millis = 600  // a link that sends nothing for so long is given up
	staleAfter   clock.Millis = 1000 // a batch that answers an older reading of the link's clock is dropped
	orderGather  clock.Millis = 3    // orders of so long go into one batch
	resultGather clock.Millis = 12   // results of so long go into one batch
	answerLimit  clock.Millis = 1200 // beyond the time that a worker may wait, an order is unanswered
)

// Bounds of one batch, so that a frame holds it whatever texts and ends it has.
const (
	maxBatchOrders  = 256 // starts of the longest text are 1 MB
	maxBatchResults = 64  // reports of the most ends are 2 MB
)

// Query opens a session.
type Query struct {
	Epoch int64  `json:"epoch"` // of the owner
	Owner string `json:"owner"` // name of its entry
}

// Opening answers a Query.
type Opening struct {
	Refused string       `json:"refused,omitempty"` // why the link does not serve this owner; empty: it does
	Stamp   clock.Millis `json:"stamp_ms"`          // reading of the link's clock
}
