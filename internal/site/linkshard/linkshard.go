// Package linkshard distributes the calls to workers over the entries of a cell.
//
// The owner makes all decisions; entries near the workers make the calls. Each
// worker is assigned to one entry, its link. The owner's side of a session is a
// [Pool]; the link's side is a [Shard], which every entry has. A pool without
// links, or whose links have failed, calls workers from its own process.
//
//	owner ──> Pool ──┬── session ──batches──> Shard of another entry ──> workers
//	                 └── Shard of this entry ──> workers
//
// Guarantees when a link fails:
//
//   - A link makes no decisions. Orders carry the owner's fencing token and, for a
//     start, the end of the lease, so a late order has no effect at the worker.
//   - A link executes only recent batches: each batch carries the newest reading of
//     the link's own clock that the owner has received. A link whose process was
//     suspended finds its clock too far ahead of that reading and drops the batch.
//   - A link serves the highest epoch that it has seen, and no lower one.
//   - When a session is lost, its pending starts, stops and paces count as unanswered
//     if they were handed to the connection, and as not sent otherwise. Its pending
//     holds are dispatched again.
//   - A link that cannot reach a worker does not prove the worker unresponsive: the
//     owner's entry calls the worker directly before it reports a miss, unless a
//     link failure of the worker is already recorded.
//
// # Usage
//
//	shard := linkshard.NewShard(linkshard.ShardOptions{Clock: clk, Calls: calls, Logger: logger, Metrics: metrics})
//	err := shard.Serve(ctx, query, line) // for each owner that opens a session
//
//	pool := linkshard.NewPool(options)
//	group.Go(func() error { return pool.Serve(ctx) })
//	pool.Dispatch().Start(order, func(answer fleet.Answer) { ... })
package linkshard

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Timeouts and periods of a session. linkTimeout and answerTimeout are scaled by
// clock.TimeoutFactor of the link's cores.
const (
	heartbeatPeriod   clock.Millis = 150  // a link sends a batch at least once per period, empty if it has no results
	linkTimeout       clock.Millis = 600  // a session is closed when its link sends nothing for this long
	maxBatchAge       clock.Millis = 1000 // a link drops batches whose reading of its clock is older
	orderBatchWindow  clock.Millis = 3    // orders issued within this time are sent in one batch
	resultBatchWindow clock.Millis = 12   // results produced within this time are sent in one batch
	answerTimeout     clock.Millis = 1200 // an order is unanswered this long after it was queued, plus the time that its worker may wait
)

// Bounds of one batch, so that the largest texts and reports fit into a frame.
const (
	maxBatchOrders  = 256 // 1 MB if all are starts with the longest text
	maxBatchResults = 64  // 2 MB if all are reports with the most ends
)

// OpenRequest is the owner's request to open a session.
type OpenRequest struct {
	Epoch int64  `json:"epoch"` // the owner's
	Owner string `json:"owner"` // name of the owner's entry
}

// OpenReply is the link's answer to an OpenRequest.
type OpenReply struct {
	Refused string       `json:"refused,omitempty"` // reason for a refusal; empty if the session is open
	Stamp   clock.Millis `json:"stamp_ms"`          // reading of the link's clock
}
