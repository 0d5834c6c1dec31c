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

// Timing and limits of appends.
const (
	retryDelay         clock.Millis = 50   // after a failed append or read
	minHedgeDelay      clock.Millis = 150  // least time before an unanswered append is sent again in parallel; the store applies it once
	maxHedgeDelay      clock.Millis = 500  // bounds the doubling time between attempts, so that a recovered store is noticed
	hedgeLatencyFactor              = 3    // both hedge delays are at least this multiple of the typical latency
	appendTimeout      clock.Millis = 4000 // for one call of appendHedged, with all its attempts
	maxAttempts                     = 10   // parallel attempts of one call of appendHedged
	latencySmoothing                = 8    // divides the difference by which each append moves the typical latency
)

// keyEpoch is the key of the record by which an owner fences previous owners.
const keyEpoch = "epoch"

// maxAppendBytes bounds the records of one append where the store's limit is higher.
const maxAppendBytes = 1 << 20

// writerName is the writer name of a cell's owners. All owners share it, so that
// the store compares their epochs.
const writerName = "owner"

// completion is called after each enqueued append, unless the context has ended. It
// gets the keys of the records that the store has refused for their form; all others
// have been appended if the outcome is Done.
type completion func(outcome journal.Outcome, refused []string)

// writer appends the owner's records in order. Each append is repeated with the
// same sequence number until the store confirms or rejects it.
type writer struct {
	options        Options
	spawn          func(func()) // starts a goroutine in the runtime's group
	complete       completion
	pending        chan []journal.Record
	sequence       int64
	attempts       int          // attempts of the newest append, those in parallel included
	typicalLatency clock.Millis // moving average of append latencies
	lastConfirmed  atomic.Int64 // time at which the newest confirmed append was first sent
}

func newWriter(options Options, spawn func(func()), complete completion) *writer {
	options.Limits = options.Limits.OrDefault()
	w := &writer{
		options: options, spawn: spawn, complete: complete,
		pending: make(chan []journal.Record, 1), typicalLatency: minHedgeDelay / hedgeLatencyFactor,
	}
	w.lastConfirmed.Store(int64(options.Clock.Now()))
	return w
}

// enqueue queues records for serve. The owner has at most one append in progress.
func (w *writer) enqueue(records []journal.Record) { w.pending <- records }

// confirmedAt returns the time at which the newest confirmed append was first sent.
func (w *writer) confirmedAt() clock.Millis { return clock.Millis(w.lastConfirmed.Load()) }

// fence appends the owner's epoch, after which the store rejects appends of earlier
// epochs. It returns the number of attempts.
func (w *writer) fence(ctx context.Context) (attempts int, err error) {
	outcome := w.append(ctx, []journal.Record{w.epochRecord()})
	if outcome != journal.Done {
		return w.attempts, errors.WithMessage(ErrOwnershipLost, "fence: "+outcome.String())
	}
	return w.attempts, ctx.Err()
}

// serve appends queued records until the context ends.
func (w *writer) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case records := <-w.pending:
			outcome, refused := w.appendAll(ctx, records)
			if ctx.Err() == nil {
				w.complete(outcome, refused)
			}
		}
	}
}

// appendAll appends records in calls of at most maxAppendBytes and the store's limit,
// or of one larger record. Records that the store refuses for their form are left out.
// If it refused all of them, the epoch is appended again, since only a confirmed append
// shows that the ownership still holds.
func (w *writer) appendAll(ctx context.Context, records []journal.Record) (outcome journal.Outcome, refused []string) {
	total := len(records)
	limit := min(maxAppendBytes, w.options.Limits.RequestBytes)
	for len(records) > 0 {
		count, size := 0, 0
		for count < len(records) && (count == 0 || size+records[count].Bytes() <= limit) {
			size += records[count].Bytes()
			count++
		}
		outcome, leftOut := w.appendIsolating(ctx, records[:count])
		refused = append(refused, leftOut...)
		if outcome != journal.Done {
			return outcome, refused
		}
		records = records[count:]
	}
	if len(refused) == total {
		return w.append(ctx, []journal.Record{w.epochRecord()}), refused
	}
	return journal.Done, refused
}

// appendIsolating appends records. If the store refuses them for their form, it appends
// the first half and then the second one, until each refused record is found. A refused
// append is not repeated with the same records, and the other records keep their order.
func (w *writer) appendIsolating(ctx context.Context, records []journal.Record) (outcome journal.Outcome, refused []string) {
	outcome = w.append(ctx, records)
	if outcome != journal.Refused {
		return outcome, nil
	}
	if len(records) == 1 {
		w.options.Logger.Error().Str("event", "record_refused").Str("key", records[0].Key).Int("bytes", records[0].Bytes()).
			Int64("epoch", w.options.Epoch).Int("record_bytes", w.options.Limits.RecordBytes).Send()
		return journal.Done, []string{records[0].Key}
	}
	middle := len(records) / 2
	outcome, refused = w.appendIsolating(ctx, records[:middle])
	if outcome != journal.Done {
		return outcome, refused
	}
	outcome, rest := w.appendIsolating(ctx, records[middle:])
	return outcome, append(refused, rest...)
}

// epochRecord is the record that fences previous owners.
func (w *writer) epochRecord() journal.Record {
	return journal.Record{Key: keyEpoch, Value: strconv.AppendInt(nil, w.options.Epoch, 10)}
}

// append repeats one append until the store confirms, rejects or refuses it, or the
// context ends.
func (w *writer) append(ctx context.Context, records []journal.Record) journal.Outcome {
	w.sequence++
	w.attempts = 0
	call := journal.Append{
		Topic:       w.options.Topic,
		Writer:      journal.Writer{Name: writerName, Epoch: w.options.Epoch, Sequence: w.sequence},
		ExpectedEnd: -1,
		Records:     records,
	}
	started := w.options.Clock.Now()
	for ctx.Err() == nil {
		sent := w.options.Clock.Now()
		answer := w.appendHedged(ctx, call)
		switch answer.Outcome {
		case journal.Done:
			latency := w.options.Clock.Now() - sent
			w.typicalLatency += (latency - w.typicalLatency) / latencySmoothing
			w.lastConfirmed.Store(int64(started))
			return journal.Done
		case journal.Superseded, journal.OutOfOrder:
			return answer.Outcome
		case journal.Refused:
			w.sequence-- // the store has not counted it
			return answer.Outcome
		}
		if err := w.options.Clock.Sleep(ctx, retryDelay); err != nil {
			break
		}
	}
	return journal.Unknown
}

// appendHedged sends an append, and sends it again in parallel while it is
// unanswered. All attempts have the same sequence number, so the store applies the
// append once.
func (w *writer) appendHedged(ctx context.Context, call journal.Append) journal.Answer {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	answers := make(chan journal.Answer, maxAttempts)
	delay := max(minHedgeDelay, hedgeLatencyFactor*w.typicalLatency)
	outstanding := 0
	for range maxAttempts {
		outstanding++
		w.attempts++
		w.spawn(func() { answers <- w.options.Log.Append(ctx, call) })
		timer := time.NewTimer(delay.Duration())
		for outstanding > 0 {
			answer, ok := nextAnswer(ctx, answers, timer.C)
			if !ok {
				break
			}
			outstanding--
			if answer.Outcome != journal.Unknown {
				timer.Stop()
				return answer
			}
		}
		timer.Stop()
		if outstanding == 0 || ctx.Err() != nil {
			break
		}
		delay = min(2*delay, max(maxHedgeDelay, hedgeLatencyFactor*w.typicalLatency))
	}
	for ; outstanding > 0; outstanding-- {
		answer, ok := nextAnswer(ctx, answers, nil)
		if !ok || answer.Outcome != journal.Unknown {
			return answer
		}
	}
	return journal.Answer{Outcome: journal.Unknown}
}

// nextAnswer waits for an answer. It returns false if the timer fires or the context
// ends first.
func nextAnswer(ctx context.Context, answers <-chan journal.Answer, timer <-chan time.Time) (journal.Answer, bool) {
	select {
	case answer := <-answers:
		return answer, true
	case <-timer:
	case <-ctx.Done():
	}
	return journal.Answer{Outcome: journal.Unknown}, false
}
