package linkshard

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// ErrSuperseded refuses a session to an owner of an earlier epoch.
var ErrSuperseded = errors.New("a newer owner has a session")

// ShardOptions configures a Shard.
type ShardOptions struct {
	Clock   clock.Clock // must include time for which the VM was suspended
	Calls   fleet.Calls
	Logger  zerolog.Logger
	Metrics *Metrics
}

// Shard executes orders: those of its own entry's pool, and as a link those of
// another entry's owner.
type Shard struct {
	options ShardOptions

	mu     sync.Mutex
	epoch  int64              // highest epoch served
	cancel context.CancelFunc // ends the session of that epoch
}

// NewShard returns a shard without sessions.
func NewShard(options ShardOptions) *Shard { return &Shard{options: options} }

// ServerConn is the link's end of a session's connection.
type ServerConn struct {
	In   <-chan []byte                // received batches
	Send func(batch []byte) error     // may block until the owner reads
	Open func(opening OpenReply) bool // answers the query; returns false if the connection has ended
}

// Serve executes the orders of one owner until the context ends or another session
// of the same or a higher epoch is opened.
func (s *Shard) Serve(ctx context.Context, query OpenRequest, line ServerConn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	admitted, previousEpoch := s.admitOwner(query.Epoch, cancel)
	if !admitted {
		line.Open(OpenReply{Refused: "a newer owner is known"})
		return ErrSuperseded
	}
	if !line.Open(OpenReply{Stamp: s.options.Clock.Now()}) {
		return nil
	}
	s.options.Logger.Info().Str("event", "link_serves").Int64("epoch", query.Epoch).Str("owner", query.Owner).
		Int64("epoch_before", previousEpoch).Send()
	executor := &executor{shard: s, results: make(chan executed, maxBatchResults)}
	group := new(errgroup.Group)
	group.Go(func() error { return executor.sendResults(ctx, line.Send) })
	err := executor.receiveOrders(ctx, group, line.In)
	cancel()
	sendErr := group.Wait()
	s.options.Logger.Info().Str("event", "link_ended").Int64("epoch", query.Epoch).Str("owner", query.Owner).
		AnErr("cause", err).AnErr("sending", sendErr).Int("dropped", executor.ordersDropped).Int("starts", executor.starts).
		Int("starts_unanswered", executor.starts-executor.startsAnswered).Int("starts_not_sent", executor.startsDropped).Send()
	return err
}

// admitOwner ends the current session in favor of a new one, and returns the highest
// epoch before. It admits no owner of a lower epoch.
func (s *Shard) admitOwner(epoch int64, cancel context.CancelFunc) (admitted bool, previousEpoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previousEpoch = s.epoch
	if epoch < previousEpoch {
		return false, previousEpoch
	}
	if s.cancel != nil {
		s.cancel()
	}
	s.epoch, s.cancel = epoch, cancel
	return true, previousEpoch
}

// execute executes one order by a call to its worker.
func (s *Shard) execute(ctx context.Context, o order) result {
	calls := s.options.Calls
	switch {
	case o.Start != nil:
		answer := calls.Start(ctx, *o.Start)
		return result{Number: o.Number, Answer: &answer}
	case o.Stop != nil:
		answer := calls.Stop(ctx, *o.Stop)
		return result{Number: o.Number, Answer: &answer}
	case o.Pace != nil:
		answer := calls.Pace(ctx, *o.Pace)
		return result{Number: o.Number, Answer: &answer}
	}
	report := calls.Hold(ctx, *o.Hold)
	return result{Number: o.Number, Report: &report}
}

// executor executes the orders of one session.
type executor struct {
	shard          *Shard
	results        chan executed
	ordersDropped  int // orders in batches older than maxBatchAge
	startsDropped  int // of these, start orders
	starts         int // start orders received, with those dropped
	startsAnswered int // start orders whose results were handed to the connection, with those dropped
}

// executed is an order with its result.
type executed struct {
	order  order
	result result
}

// receiveOrders executes each batch that arrives. A malformed batch ends the session,
// since its orders would never be answered.
func (s *executor) receiveOrders(ctx context.Context, group *errgroup.Group, in <-chan []byte) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case data := <-in:
			batch, err := decodeOrders(data)
			if err != nil {
				return err
			}
			s.executeBatch(ctx, group, batch)
		}
	}
}

func (s *executor) executeBatch(ctx context.Context, group *errgroup.Group, batch orders) {
	s.starts += batch.countStarts()
	if age := s.shard.options.Clock.Now() - batch.Echo; age > maxBatchAge {
		s.dropStale(ctx, batch, age)
		return
	}
	for _, o := range batch.List {
		group.Go(func() error {
			done := s.shard.execute(ctx, o)
			s.queueResult(ctx, executed{order: o, result: done})
			return nil
		})
	}
}

// dropStale answers the orders of a batch older than maxBatchAge as not sent,
// without executing them.
func (s *executor) dropStale(ctx context.Context, batch orders, age clock.Millis) {
	s.ordersDropped += len(batch.List)
	s.startsDropped += batch.countStarts()
	s.shard.options.Metrics.ordersDropped.Add(len(batch.List))
	s.shard.options.Logger.Warn().Str("event", "orders_dropped").Int("orders", len(batch.List)).
		Int("starts", batch.countStarts()).Int64("age_ms", int64(age)).Send()
	for _, o := range batch.List {
		s.queueResult(ctx, executed{order: o, result: failedResult(o, fleet.NotSent)})
	}
}

func (s *executor) queueResult(ctx context.Context, done executed) {
	select {
	case s.results <- done:
	case <-ctx.Done():
	}
}

// sendResults sends results in batches; an empty batch serves as heartbeat.
func (s *executor) sendResults(ctx context.Context, send func([]byte) error) error {
	for {
		batch, starts, ok := s.gatherResults(ctx)
		if !ok {
			return nil
		}
		batch.Stamp = s.shard.options.Clock.Now()
		data, err := encodeBatch(batch)
		if err != nil {
			return err
		}
		if err := send(data); err != nil {
			return err
		}
		s.startsAnswered += starts
	}
}

// gatherResults waits for a result, at most heartbeatPeriod, and then collects more
// results for resultBatchWindow. It also counts the start orders among them, and
// returns false when the session has ended.
func (s *executor) gatherResults(ctx context.Context) (batch results, starts int, ok bool) {
	add := func(done executed) {
		batch.List = append(batch.List, done.result)
		if done.order.Start != nil {
			starts++
		}
	}
	clk := s.shard.options.Clock
	heartbeat, cancel := context.WithTimeout(ctx, heartbeatPeriod.Duration())
	defer cancel()
	select {
	case first := <-s.results:
		add(first)
	case <-heartbeat.Done():
		return batch, starts, ctx.Err() == nil
	}
	if clk.Sleep(ctx, resultBatchWindow) != nil {
		return batch, starts, false
	}
	for len(batch.List) < maxBatchResults {
		select {
		case more := <-s.results:
			add(more)
		default:
			return batch, starts, true
		}
	}
	return batch, starts, true
}
