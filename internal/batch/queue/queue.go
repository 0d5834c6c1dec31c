// Package queue orders the tasks that wait for a worker.
//
// Urgent tasks go first. Within a class teams go by their share of quota in
// use, lowest first, and within a team the oldest task goes first. A task that
// finds no room does not stop smaller ones behind it (backfill): a refusal is
// remembered for its lane and size, and what is no smaller is passed over until
// room is freed or a short time has passed.
//
//	Pick ─> urgent ─> batch
//	          │
//	          ├─> overdue sizes, longest refused first   (Overdue is set: hold a worker)
//	          └─> teams by share ─> oldest head of the sizes not refused ─> try
//
// Tasks wait in lines: one for each lane, team and size, where sizes within a
// quarter of an octave count as one. A call looks at lines, never at tasks, so
// that its cost is bounded by teams and sizes however many tasks wait.
//
// Large tasks are not starved by backfill: once nothing of a size has started
// for Options.Patience although it was offered, its next task is offered first
// with Overdue set, and the caller keeps a worker for it; see package placement.
//
// [Queue] is a mutable engine of the control thread and not safe for
// concurrent use.
//
// # Usage
//
//	waiting := queue.New(queue.Options{Limit: 100_000, Share: shares.Share})
//	err := waiting.Push(queue.Item{ID: id, Team: "forecast", Class: route.Batch, Size: size, Since: now})
//	item, ok := waiting.Pick(now, func(item queue.Item) bool { return place(item) })
//	waiting.FreedRoom(index.Room(vm)) // a worker has more room than before
package queue

import (
	"math"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Defaults of Options.
const (
	// Shorter than a task's usual run, longer than the gaps between starts.
	defaultPatience clock.Millis = 30 * clock.Second
	// Bounds the wait of a task if the caller misses a call of Freed.
	defaultRetryAfter clock.Millis = clock.Second
	// Bounds one call; the next one goes on where refusals were remembered.
	defaultMaxTries = 64
	// Tasks offered with Overdue set in one call.
	maxOverdue = 4
)

// anything fits into this.
var anything = amount.Amount{MilliCores: math.MaxInt64, MemoryMB: math.MaxInt64, Accelerators: math.MaxInt64}

// Errors of Push.
var (
	ErrFull  = errors.New("the queue is at its limit")
	ErrTwice = errors.New("the task is in the queue already")
)

// Item is a waiting task.
type Item struct {
	ID    string
	Team  string
	Class route.Class
	// Lane names the workers that the task may use, such as its pools joined
	// by commas. Tasks of one lane and class must be able to use the same
	// workers: a refusal of one passes over those no smaller.
	Lane    string
	Size    amount.Amount
	Since   clock.Millis // when the wait began
	Overdue bool         // set by Pick: its size waits too long, hold a worker for it
}

// Options are the limits of a queue. Zero values give the defaults.
type Options struct {
	Limit      int                       // tasks that may wait; 0 for no limit
	Share      func(team string) float64 // of quota in use; nil makes all teams equal
	Patience   clock.Millis              // refusals of a size before it is overdue
	RetryAfter clock.Millis              // life of a remembered refusal
	MaxTries   int                       // calls of try in one Pick
}

// Queue is the waiting tasks of a cell.
type Queue struct {
	options Options
	entries map[string]*entry
	urgent  *ranks
	batch   *ranks
	serial  uint64
	fresh   clock.Millis // when refusals were last dropped
	stale   bool         // room was freed since

	standings []standing // of the teams in the running call
}

// New returns an empty queue.
func New(options Options) *Queue {
	if options.Share == nil {
		options.Share = func(string) float64 { return 0 }
	}
	if options.Patience == 0 {
		options.Patience = defaultPatience
	}
	if options.RetryAfter == 0 {
		options.RetryAfter = defaultRetryAfter
	}
	if options.MaxTries == 0 {
		options.MaxTries = defaultMaxTries
	}
	return &Queue{
		options: options,
		entries: map[string]*entry{},
		urgent:  newRanks(),
		batch:   newRanks(),
	}
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return len(q.entries) }

// Push adds a new task. At the limit it returns a fault with ErrFull, whose
// outcome is not_run.
func (q *Queue) Push(item Item) error {
	if q.options.Limit > 0 && len(q.entries) >= q.options.Limit {
		return fault.New(fault.NotRun, "queue", item.Team, ErrFull)
	}
	return q.Restore(item)
}

// Restore adds a task that was accepted before, such as an evicted one; the
// limit does not apply to it.
func (q *Queue) Restore(item Item) error {
	if _, twice := q.entries[item.ID]; twice {
		return fault.New(fault.NotRun, "queue", item.ID, ErrTwice)
	}
	q.serial++
	added := &entry{Item: item, serial: q.serial}
	q.entries[item.ID] = added
	q.ranks(item.Class).add(added)
	return nil
}

// Remove takes a task out and reports whether it was in. The cost does not
// depend on how many wait.
func (q *Queue) Remove(id string) bool {
	gone, known := q.entries[id]
	if !known {
		return false
	}
	delete(q.entries, id)
	q.ranks(gone.Class).remove(gone)
	return true
}

// Freed says that some worker has more room than before, so that all refused
// sizes are offered again.
func (q *Queue) Freed() { q.stale = true }

// FreedRoom says how much a worker has free now, for batch and for urgent
// tasks, after it got more: only refused sizes that fit there are offered
// again. It saves most of the futile offers that Freed causes in a full cell.
func (q *Queue) FreedRoom(batch, urgent amount.Amount) {
	q.batch.forget(batch)
	q.urgent.forget(urgent)
}

// Pick offers tasks in order until try accepts one, which leaves the queue. It
// returns false when none was accepted within the bound of tries.
func (q *Queue) Pick(now clock.Millis, try func(Item) bool) (Item, bool) {
	q.forget(now)
	turn := &turn{now: now, try: try, left: q.options.MaxTries, patience: q.options.Patience}
	for _, ranks := range []*ranks{q.urgent, q.batch} {
		chosen := q.offer(turn, ranks)
		if chosen != nil {
			q.Remove(chosen.ID)
			return chosen.Item, true
		}
	}
	return Item{}, false
}

// forget drops remembered refusals that may no longer hold.
func (q *Queue) forget(now clock.Millis) {
	if !q.stale && now-q.fresh < q.options.RetryAfter {
		return
	}
	q.stale, q.fresh = false, now
	q.urgent.forget(anything)
	q.batch.forget(anything)
}

func (q *Queue) ranks(class route.Class) *ranks {
	if class == route.Urgent {
		return q.urgent
	}
	return q.batch
}

// turn is one call of Pick.
type turn struct {
	now      clock.Millis
	patience clock.Millis
	left     int // tries
	try      func(Item) bool
}

// offer tries the tasks of one class in order.
func (q *Queue) offer(turn *turn, ranks *ranks) *entry {
	q.standings = ranks.standings(q.standings[:0], q.options.Share)
	if chosen := q.offerOverdue(turn, ranks); chosen != nil {
		return chosen
	}
	for turn.left > 0 {
		head := q.next()
		if head == nil {
			return nil
		}
		if turn.offer(head, false) {
			return head
		}
	}
	return nil
}

// offerOverdue offers the next task of the sizes that wait too long.
func (q *Queue) offerOverdue(turn *turn, ranks *ranks) *entry {
	for _, size := range ranks.overdue(turn.now, turn.patience) {
		if turn.left == 0 {
			return nil
		}
		first := size.first(q.standings)
		if first == nil {
			continue
		}
		if head := first.head(); turn.offer(head, true) {
			return head
		}
	}
	return nil
}

// next returns the oldest task that is not refused of the team that comes
// first, or nil.
func (q *Queue) next() *entry {
	var first *standing
	for at := range q.standings {
		standing := &q.standings[at]
		if standing.team.open > 0 && (first == nil || standing.before(first)) {
			first = standing
		}
	}
	if first == nil {
		return nil
	}
	return first.team.oldest()
}

// offer tries one task and remembers a refusal or a start.
func (t *turn) offer(head *entry, overdue bool) bool {
	t.left--
	item := head.Item
	item.Overdue = overdue
	if t.try(item) {
		head.line.size.refusedSince = never
		return true
	}
	head.line.size.lane.refuse(head.line.size, t.now)
	return false
}
