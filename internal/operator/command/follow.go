package command

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

const pageRecords = 500 // asked for in one read

// Pauses between tries while the log is away.
const (
	firstPause clock.Millis = 50
	lastPause  clock.Millis = 1000
)

// Least time that one call to the log gets; a longer one is tried again.
const callTimeout = 2 * clock.Second

// follower reads the config stream and appends to it under a name of its own.
//
//	append ──acknowledged──────> read on ──own record found──> its verdict
//	   │                            │
//	   ├──certainly not appended──> append again
//	   └──unknown───────────────> read to the end ──not found──> append again
type follower struct {
	log      stream.Log
	state    ledger.State
	writer   string
	sequence uint64
	wanted   map[name]ledger.Verdict // first verdict of each change asked for
}

// name is a change's writer and sequence.
type name struct {
	writer   string
	sequence uint64
}

func newFollower(log stream.Log) *follower {
	return &follower{log: log, state: ledger.New(), writer: ulid.Make().String(), wanted: map[name]ledger.Verdict{}}
}

// Reads to the end of the stream.
func (follow *follower) catchUp(ctx context.Context) error {
	for {
		page, err := follow.read(ctx)
		if err != nil {
			return err
		}
		from := follow.state.Next()
		follow.state = follow.state.WithFirst(page.First)
		for _, record := range page.Records {
			follow.take(record)
		}
		if len(page.Records) == 0 || page.AtEnd(from) {
			return nil
		}
	}
}

func (follow *follower) read(ctx context.Context) (stream.Page, error) {
	return retry(ctx, func(ctx context.Context) (stream.Page, error) {
		return follow.log.Read(ctx, ledger.Stream, follow.state.Next(), pageRecords)
	})
}

func (follow *follower) take(record stream.Record) {
	next, verdict := follow.state.With(record)
	follow.state = next
	key := name{verdict.Writer, verdict.Sequence}
	// A copy that comes later changes nothing about what became of the first.
	if _, known := follow.wanted[key]; !known && verdict.Kind != ledger.Part {
		follow.wanted[key] = verdict
	}
}

// Reads to the end and refuses to go on without the state in force.
func (follow *follower) begin(ctx context.Context) error {
	if err := follow.catchUp(ctx); err != nil {
		return errors.Wrap(err, "read the config stream")
	}
	if !follow.state.Complete() {
		return errors.New("the log has lost its oldest records and holds no whole snapshot yet; entries write one, try again soon")
	}
	return nil
}

// Appends edits as one change and finds out what became of it. An error means
// that the outcome is not known, unless it is certain that nothing was
// appended.
func (follow *follower) append(ctx context.Context, base int64, edits []ledger.Edit) (ledger.Verdict, error) {
	follow.sequence++
	key := name{follow.writer, follow.sequence}
	data, err := ledger.Encode(ledger.Change{Writer: follow.writer, Sequence: follow.sequence, Base: base, Edits: edits})
	if err != nil {
		return ledger.Verdict{}, fault.New(fault.NotSent, "encode", "", err)
	}
	maybe := false // whether a copy may be in the log, or on its way
	verdict, err := retry(ctx, func(ctx context.Context) (ledger.Verdict, error) {
		_, failure := follow.log.Append(ctx, ledger.Stream, data)
		if failure != nil && fault.OutcomeOf(failure).Certain() {
			return ledger.Verdict{}, failure
		}
		maybe = true
		return follow.find(ctx, key, failure)
	})
	if err == nil {
		return verdict, nil
	}
	return verdict, settled(err, maybe)
}

// Returns the log's error with the outcome of all tries together.
func settled(err error, maybe bool) error {
	outcome := fault.NotRun
	if maybe {
		outcome = fault.Unknown
	}
	var last *fault.Fault
	if errors.As(err, &last) {
		return &fault.Fault{Outcome: outcome, Step: last.Step, Peer: last.Peer, Cause: last.Cause}
	}
	return fault.New(outcome, "append", ledger.Stream, err)
}

// Appends records one after the other, each until the log has taken it.
func (follow *follower) appendAll(ctx context.Context, records [][]byte) error {
	for _, data := range records {
		_, err := retry(ctx, func(ctx context.Context) (stream.Offset, error) { return follow.log.Append(ctx, ledger.Stream, data) })
		if err != nil {
			return err
		}
	}
	return nil
}

var errNotFound = errors.New("the change is not in the log so far")

// Reads on for the verdict of a change.
func (follow *follower) find(ctx context.Context, key name, failure error) (ledger.Verdict, error) {
	if err := follow.catchUp(ctx); err != nil {
		return ledger.Verdict{}, err
	}
	if verdict, ok := follow.wanted[key]; ok {
		return verdict, nil
	}
	if failure != nil {
		return ledger.Verdict{}, failure
	}
	return ledger.Verdict{}, errNotFound
}

// Calls the log until it answers or the context ends. The last error of the
// log is returned rather than the context's.
func retry[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	var last error
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause.Duration()
	pauses.MaxInterval = lastPause.Duration()
	value, err := backoff.Retry(ctx, func() (T, error) {
		limited, stop := context.WithTimeout(ctx, share(ctx))
		defer stop()
		value, err := call(limited)
		if err == nil {
			return value, nil
		}
		if ctx.Err() == nil || last == nil {
			last = err
		}
		return value, err
	}, backoff.WithBackOff(pauses), backoff.WithMaxElapsedTime(0))
	if err != nil && last != nil {
		return value, last
	}
	return value, err
}

// Returns half of the time left, so that a slow log is waited for and a call
// that hangs leaves time for another.
func share(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return callTimeout.Duration()
	}
	return max(time.Until(deadline)/2, callTimeout.Duration())
}
