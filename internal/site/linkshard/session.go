package linkshard

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// ending is what became of a session's order.
type ending struct {
	result  result
	dropped bool // the session was lost, so another link may do better
}

// waiting is an order that was not answered yet.
type waiting struct {
	order order
	due   clock.Millis // when it counts as unanswered
	sent  bool         // handed to the connection
	done  func(ending)
}

// session is the owner's side of one link.
type session struct {
	entry Entry
	clock clock.Clock
	limit float64 // by which limits are stretched for this link

	mu      sync.Mutex
	open    map[int64]*waiting
	queue   []order // not handed to the connection yet
	number  int64
	stamp   clock.Millis // newest reading of the link's clock
	heardAt clock.Millis
	lost    bool
	wake    chan struct{}

	retired   bool         // it gets no new orders; guarded by the pool
	retiredAt clock.Millis // when that was noticed; likewise
}

func newSession(entry Entry, clk clock.Clock, stamp clock.Millis) *session {
	return &session{
		entry: entry, clock: clk, limit: clock.Patience(entry.Cores), open: map[int64]*waiting{},
		stamp: stamp, heardAt: clk.Now(), wake: make(chan struct{}, 1),
	}
}

// carry hands an order to the link. It reports false when the session is lost,
// and then done is not called.
func (s *session) carry(o order, done func(ending)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return false
	}
	s.number++
	o.Number = s.number
	s.open[o.Number] = &waiting{order: o, due: s.clock.Now() + o.wait() + answerLimit.Stretch(s.limit), done: done}
	s.queue = append(s.queue, o)
	select {
	case s.wake <- struct{}{}:
	default: // the sender is awake already
	}
	return true
}

// send sends what is queued until the context ends or the connection fails.
func (s *session) send(ctx context.Context, out func([]byte) error) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		}
		if err := s.clock.Sleep(ctx, orderGather); err != nil {
			return err
		}
		for batch := s.next(); len(batch.List) > 0; batch = s.next() {
			data, err := pack(batch)
			if err != nil {
				return err
			}
			if err := out(data); err != nil {
				return err
			}
		}
	}
}

// next takes a batch off the queue.
func (s *session) next() orders {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := min(len(s.queue), maxBatchOrders)
	batch := orders{Echo: s.stamp, List: s.queue[:size:size]}
	s.queue = s.queue[size:]
	for _, o := range batch.List {
		if known := s.open[o.Number]; known != nil {
			known.sent = true
		}
	}
	return batch
}

// receive takes a batch of results.
func (s *session) receive(data []byte) error {
	batch, err := decodeResults(data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.stamp = max(s.stamp, batch.Stamp)
	s.heardAt = s.clock.Now()
	answered := make([]*waiting, len(batch.List))
	for i, done := range batch.List {
		answered[i] = s.open[done.Number]
		delete(s.open, done.Number)
	}
	s.mu.Unlock()
	for i, known := range answered {
		if known != nil { // else it counts as unanswered already
			known.done(ending{result: batch.List[i]})
		}
	}
	return nil
}

// errSilent ends a session whose link sends nothing.
var errSilent = errors.New("the link is silent")

// check gives up orders that are overdue. It returns an error when the link
// itself has been silent for too long.
func (s *session) check() error {
	now := s.clock.Now()
	var overdue []*waiting
	s.mu.Lock()
	silence := now - s.heardAt
	for number, known := range s.open {
		if now > known.due {
			overdue = append(overdue, known)
			delete(s.open, number)
		}
	}
	s.mu.Unlock()
	for _, known := range overdue {
		known.done(ending{result: failed(known.order, fleet.Unanswered)})
	}
	if silence > silenceLimit.Stretch(s.limit) {
		return errors.Wrapf(errSilent, "for %d ms", silence)
	}
	return nil
}

// state returns how many orders are open, and how long ago the link was heard.
func (s *session) state() (open int, age clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open), s.clock.Now() - s.heardAt
}

// lose ends the session and gives up all that is open. It returns how much that was.
func (s *session) lose() int {
	s.mu.Lock()
	open := s.open
	s.open, s.queue, s.lost = nil, nil, true
	s.mu.Unlock()
	for _, known := range open {
		outcome := fleet.NotSent
		if known.sent {
			outcome = fleet.Unanswered
		}
		known.done(ending{result: failed(known.order, outcome), dropped: true})
	}
	return len(open)
}
