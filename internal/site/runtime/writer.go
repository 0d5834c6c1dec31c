package runtime

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// Times of appends.
const (
	retryPeriod clock.Millis = 50   // between tries that the store refused
	hedgeAfter  clock.Millis = 150  // an append without an answer is repeated beside the first, which is harmless
	mostHedge   clock.Millis = 500  // tries follow at least so often, so that a store's return is noticed
	hedgeFactor              = 3    // ... or after so many times the usual length
	tryTimeout  clock.Millis = 4000 // of a single try
	maxTries                 = 10   // tries of one append under way at once
	lengthRate               = 8    // an append's length moves the usual length by one part in so many
)

// keyEpoch is the key of the record by which an owner shuts former ones out.
const keyEpoch = "epoch"

// maxAppendBytes bounds the records of one call, well under the store's limit.
const maxAppendBytes = 1 << 20

// ownerWriter names the writer of a cell. All owners share the name, so that
// the store compares their epochs.
const ownerWriter = "owner"

// writer appends the owner's records in order. Each append is repeated, with
// its sequence number, until the store has answered for it.
type writer struct {
	options   Options
	spawn     func(func()) // starts a goroutine of the runtime's group
	complete  func(outcome journal.Outcome)
	pending   chan []journal.Record
	sequence  int64
	usual     clock.Millis // length of an append
	confirmed atomic.Int64
}

func newWriter(options Options, spawn func(func()), complete func(journal.Outcome)) *writer {
	w := &writer{
		options: options, spawn: spawn, complete: complete,
		pending: make(chan []journal.Record, 1), usual: hedgeAfter / hedgeFactor,
	}
	w.confirmed.Store(int64(options.Clock.Now()))
	return w
}

// write hands records over; the owner has one append under way at a time.
func (w *writer) write(records []journal.Record) { w.pending <- records }

// confirmedAt is when the newest confirmed append was sent.
func (w *writer) confirmedAt() clock.Millis { return clock.Millis(w.confirmed.Load()) }

// fence makes the store refuse every owner before this one.
func (w *writer) fence(ctx context.Context) error {
	outcome := w.append(ctx, []journal.Record{{Key: keyEpoch, Value: strconv.AppendInt(nil, w.options.Epoch, 10)}})
	if outcome != journal.Done {
		return errors.WithMessage(ErrOwnershipLost, "fence: "+outcome.String())
	}
	return ctx.Err()
}

// serve appends what is handed over until the context ends.
func (w *writer) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case records := <-w.pending:
			outcome := w.appendAll(ctx, records)
			if ctx.Err() == nil {
				w.complete(outcome)
			}
		}
	}
}

// appendAll appends records in as many calls as their size needs.
func (w *writer) appendAll(ctx context.Context, records []journal.Record) journal.Outcome {
	for len(records) > 0 {
		count, size := 0, 0
		for count < len(records) && (count == 0 || size+len(records[count].Value) < maxAppendBytes) {
			size += len(records[count].Value)
			count++
		}
		if outcome := w.append(ctx, records[:count]); outcome != journal.Done {
			return outcome
		}
		records = records[count:]
	}
	return journal.Done
}

// append sends one append until its outcome is settled.
func (w *writer) append(ctx context.Context, records []journal.Record) journal.Outcome {
	w.sequence++
	call := journal.Append{
		Topic:   w.options.Topic,
		Writer:  journal.Writer{Name: ownerWriter, Epoch: w.options.Epoch, Sequence: w.sequence},
		At:      -1,
		Records: records,
	}
	started := w.options.Clock.Now()
	for ctx.Err() == nil {
		sent := w.options.Clock.Now()
		answer := w.hedged(ctx, call)
		switch answer.Outcome {
		case journal.Done:
			length := w.options.Clock.Now() - sent
			w.usual += (length - w.usual) / lengthRate
			w.confirmed.Store(int64(started))
			return journal.Done
		case journal.Superseded, journal.OutOfOrder:
			return answer.Outcome
		}
		if err := w.options.Clock.Sleep(ctx, retryPeriod); err != nil {
			break
		}
	}
	return journal.Unknown
}

// hedged sends an append, and sends it again beside itself while no answer has
// come. Repeats have the same sequence number, so it is carried out once.
func (w *writer) hedged(ctx context.Context, call journal.Append) journal.Answer {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout.Duration())
	defer cancel()
	answers := make(chan journal.Answer, maxTries)
	wait := max(hedgeAfter, hedgeFactor*w.usual)
	open := 0
	for range maxTries {
		open++
		w.spawn(func() { answers <- w.options.Log.Append(ctx, call) })
		timer := time.NewTimer(wait.Duration())
		for open > 0 {
			answer, ok := next(ctx, answers, timer.C)
			if !ok {
				break
			}
			open--
			if answer.Outcome != journal.Unknown {
				timer.Stop()
				return answer
			}
		}
		timer.Stop()
		if open == 0 || ctx.Err() != nil {
			break
		}
		wait = min(2*wait, max(mostHedge, hedgeFactor*w.usual))
	}
	for ; open > 0; open-- {
		answer, ok := next(ctx, answers, nil)
		if !ok || answer.Outcome != journal.Unknown {
			return answer
		}
	}
	return journal.Answer{Outcome: journal.Unknown}
}

// next waits for an answer until the timer fires or the context ends.
func next(ctx context.Context, answers <-chan journal.Answer, timer <-chan time.Time) (journal.Answer, bool) {
	select {
	case answer := <-answers:
		return answer, true
	case <-timer:
	case <-ctx.Done():
	}
	return journal.Answer{Outcome: journal.Unknown}, false
}
