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

// ErrSuperseded ends a session whose owner was followed by another.
var ErrSuperseded = errors.New("a newer owner has a session")

// ShardOptions are what a shard works with.
type ShardOptions struct {
	Clock  clock.Clock // must also count suspended time
	Calls  fleet.Calls
	Logger zerolog.Logger
	Counts *Counts
}

// Shard carries out the orders of owners elsewhere.
type Shard struct {
	options ShardOptions

	mu    sync.Mutex
	epoch int64              // the highest that was served
	end   context.CancelFunc // ends the newest session
}

// NewShard returns a shard that serves no owner yet.
func NewShard(options ShardOptions) *Shard { return &Shard{options: options} }

// Line is one end of a session's connection.
type Line struct {
	In   <-chan []byte              // batches that arrived
	Send func(batch []byte) error   // may wait for the other side
	Open func(opening Opening) bool // answers the query; false: the other side has gone
}

// Serve carries out the orders of one owner until the context ends or a newer
// owner opens a session.
func (s *Shard) Serve(ctx context.Context, query Query, line Line) error {
	ctx, end := context.WithCancel(ctx)
	defer end()
	if !s.admit(query.Epoch, end) {
		line.Open(Opening{Refused: "a newer owner is known"})
		return ErrSuperseded
	}
	if !line.Open(Opening{Stamp: s.options.Clock.Now()}) {
		return nil
	}
	s.options.Logger.Info().Str("event", "link_serves").Int64("epoch", query.Epoch).Str("owner", query.Owner).Send()
	work := &work{shard: s, results: make(chan result, maxBatchResults)}
	group := new(errgroup.Group)
	group.Go(func() error { return work.report(ctx, line.Send) })
	err := work.serve(ctx, group, line.In)
	end()
	sent := group.Wait()
	s.options.Logger.Info().Str("event", "link_ended").Int64("epoch", query.Epoch).Str("owner", query.Owner).
		AnErr("cause", err).AnErr("sending", sent).Int("dropped", work.dropped).Send()
	return err
}

// admit makes an owner the one that is served, if it is not an earlier one.
func (s *Shard) admit(epoch int64, end context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch < s.epoch {
		return false
	}
	if s.end != nil {
		s.end()
	}
	s.epoch, s.end = epoch, end
	return true
}

// carryOut makes one call to a worker.
func (s *Shard) carryOut(ctx context.Context, o order) result {
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

// work is what one session does.
type work struct {
	shard   *Shard
	results chan result
	dropped int // orders that came too late
}

// serve starts the calls of each batch that arrives. A malformed batch ends the
// session, since its orders would never be answered.
func (w *work) serve(ctx context.Context, group *errgroup.Group, in <-chan []byte) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case data := <-in:
			batch, err := decodeOrders(data)
			if err != nil {
				return err
			}
			w.take(ctx, group, batch)
		}
	}
}

func (w *work) take(ctx context.Context, group *errgroup.Group, batch orders) {
	if age := w.shard.options.Clock.Now() - batch.Echo; age > staleAfter {
		w.drop(ctx, batch, age)
		return
	}
	for _, o := range batch.List {
		group.Go(func() error {
			done := w.shard.carryOut(ctx, o)
			w.put(ctx, done)
			return nil
		})
	}
}

// drop answers orders that may be out of date by now, and does not carry them out.
func (w *work) drop(ctx context.Context, batch orders, age clock.Millis) {
	w.dropped += len(batch.List)
	w.shard.options.Counts.dropped.Add(len(batch.List))
	w.shard.options.Logger.Warn().Str("event", "orders_dropped").Int("orders", len(batch.List)).
		Int64("age_ms", int64(age)).Send()
	for _, o := range batch.List {
		w.put(ctx, failed(o, fleet.NotSent))
	}
}

func (w *work) put(ctx context.Context, done result) {
	select {
	case w.results <- done:
	case <-ctx.Done():
	}
}

// report sends results in batches, and an empty one as a sign of life.
func (w *work) report(ctx context.Context, send func([]byte) error) error {
	for {
		batch, ok := w.gather(ctx)
		if !ok {
			return nil
		}
		batch.Stamp = w.shard.options.Clock.Now()
		data, err := pack(batch)
		if err != nil {
			return err
		}
		if err := send(data); err != nil {
			return err
		}
	}
}

// gather waits for results, and a little longer for more of them. It reports
// false when the session has ended.
func (w *work) gather(ctx context.Context) (results, bool) {
	var batch results
	clk := w.shard.options.Clock
	beat, cancel := context.WithTimeout(ctx, beatPeriod.Duration())
	defer cancel()
	select {
	case first := <-w.results:
		batch.List = append(batch.List, first)
	case <-beat.Done():
		return batch, ctx.Err() == nil
	}
	if clk.Sleep(ctx, resultGather) != nil {
		return batch, false
	}
	for len(batch.List) < maxBatchResults {
		select {
		case more := <-w.results:
			batch.List = append(batch.List, more)
		default:
			return batch, true
		}
	}
	return batch, true
}
