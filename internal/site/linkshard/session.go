package linkshard

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// completion is the final state of an order of a session.
type completion struct {
	result      result
	sessionLost bool // the session was lost; another link may reach the worker
}

// pendingOrder is an order without a result.
type pendingOrder struct {
	order    order
	deadline clock.Millis     // after it, the order counts as unanswered
	sent     bool             // handed to the connection
	done     func(completion) // called once
}

// session is the owner's side of one link.
type session struct {
	entry         Entry
	clock         clock.Clock
	timeoutFactor float64 // clock.TimeoutFactor of the link's cores

	mu         sync.Mutex
	pending    map[int64]*pendingOrder
	queue      []order // not handed to the connection yet
	lastNumber int64
	linkClock  clock.Millis // newest reading of the link's clock
	receivedAt clock.Millis // when the link last sent a batch
	closed     bool
	wake       chan struct{}

	retired   bool         // it is assigned no workers; guarded by the pool's mutex
	retiredAt clock.Millis // when the pool first checked it as retired; guarded by the pool's mutex
}

func newSession(entry Entry, clk clock.Clock, linkClock clock.Millis) *session {
	return &session{
		entry: entry, clock: clk, timeoutFactor: clock.TimeoutFactor(entry.Cores), pending: map[int64]*pendingOrder{},
		linkClock: linkClock, receivedAt: clk.Now(), wake: make(chan struct{}, 1),
	}
}

// enqueue queues an order for the link. It returns false if the session is closed;
// done is not called then.
func (s *session) enqueue(o order, done func(completion)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.lastNumber++
	o.Number = s.lastNumber
	s.pending[o.Number] = &pendingOrder{order: o, deadline: s.clock.Now() + o.workerWait() + answerTimeout.Scale(s.timeoutFactor), done: done}
	s.queue = append(s.queue, o)
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is pending
	}
	return true
}

// sendBatches sends queued orders until the context ends or the connection fails.
func (s *session) sendBatches(ctx context.Context, send func([]byte) error) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		}
		if err := s.clock.Sleep(ctx, orderBatchWindow); err != nil {
			return err
		}
		for batch := s.nextBatch(); len(batch.List) > 0; batch = s.nextBatch() {
			data, err := encodeBatch(batch)
			if err != nil {
				return err
			}
			if err := send(data); err != nil {
				return err
			}
		}
	}
}

// nextBatch removes up to maxBatchOrders orders from the queue, without those that
// were completed as overdue.
func (s *session) nextBatch() orders {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = slices.DeleteFunc(s.queue, func(o order) bool { return s.pending[o.Number] == nil })
	size := min(len(s.queue), maxBatchOrders)
	batch := orders{Echo: s.linkClock, List: s.queue[:size:size]}
	s.queue = s.queue[size:]
	for _, o := range batch.List {
		s.pending[o.Number].sent = true
	}
	return batch
}

// receiveResults decodes a batch of results and completes their orders.
func (s *session) receiveResults(data []byte) error {
	batch, err := decodeResults(data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.linkClock = max(s.linkClock, batch.Stamp)
	s.receivedAt = s.clock.Now()
	completed := make([]*pendingOrder, len(batch.List))
	for i, done := range batch.List {
		completed[i] = s.pending[done.Number]
		delete(s.pending, done.Number)
	}
	s.mu.Unlock()
	for i, known := range completed {
		if known != nil { // nil: the order has already timed out
			known.done(completion{result: batch.List[i]})
		}
	}
	return nil
}

// errLinkTimeout ends a session whose link has sent nothing for linkTimeout.
var errLinkTimeout = errors.New("link timed out")

// checkTimeouts completes overdue orders as unanswered. It returns an error if the
// link has sent nothing for linkTimeout.
func (s *session) checkTimeouts() error {
	now := s.clock.Now()
	var overdue []*pendingOrder
	s.mu.Lock()
	silence := now - s.receivedAt
	for number, known := range s.pending {
		if now > known.deadline {
			overdue = append(overdue, known)
			delete(s.pending, number)
		}
	}
	s.mu.Unlock()
	for _, known := range overdue {
		known.done(completion{result: failedResult(known.order, fleet.Unanswered)})
	}
	if silence > linkTimeout.Scale(s.timeoutFactor) {
		return errors.Wrapf(errLinkTimeout, "nothing received for %d ms", silence)
	}
	return nil
}

// status returns the number of pending orders and the time since the link last sent
// a batch.
func (s *session) status() (pending int, age clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending), s.clock.Now() - s.receivedAt
}

// abandonedOrders counts the orders of a session that had no result when it ended.
type abandonedOrders struct {
	all              int
	startsUnanswered int // start orders that the link may have executed
	startsNotSent    int // start orders that were not handed to the connection
}

// add counts an order.
func (a *abandonedOrders) add(known *pendingOrder) {
	a.all++
	switch {
	case known.order.Start == nil:
	case known.sent:
		a.startsUnanswered++
	default:
		a.startsNotSent++
	}
}

// MarshalZerologObject adds the counts to a log line.
func (a abandonedOrders) MarshalZerologObject(event *zerolog.Event) {
	event.Int("open_orders", a.all).Int("starts_unanswered", a.startsUnanswered).Int("starts_not_sent", a.startsNotSent)
}

// closeSession abandons all pending orders and counts them.
func (s *session) closeSession() abandonedOrders {
	s.mu.Lock()
	pending := s.pending
	s.pending, s.queue, s.closed = nil, nil, true
	s.mu.Unlock()
	var abandoned abandonedOrders
	for _, known := range pending {
		abandoned.add(known)
		outcome := fleet.NotSent
		if known.sent {
			outcome = fleet.Unanswered
		}
		known.done(completion{result: failedResult(known.order, outcome), sessionLost: true})
	}
	return abandoned
}
