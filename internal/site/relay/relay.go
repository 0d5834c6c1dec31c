// Package relay sends callers' queries to the owner, in this process or another
// entry, retries them during a takeover, and returns whether they took effect.
//
// # Usage
//
//	client := relay.New(options)
//	reply := client.Submit(ctx, spec)
//	switch reply.Outcome {
//	case relay.Answered: // reply.Verdict holds
//	case relay.NotRun: // nothing was recorded, and nothing will be
//	case relay.Unknown: // it may have been recorded
//	}
package relay

import (
	"context"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/ownership"
	"github.com/oriolepier/oriolepier/internal/site/peer"
)

// Time limits of a query.
const (
	retryPeriod  clock.Millis = 60  // between two tries
	maxOwnerWait clock.Millis = 700 // without an owner for this long, a query is refused
)

// Outcome of a query.
type Outcome uint8

// The outcomes of a query.
const (
	Answered Outcome = iota // the owner's verdict is in the reply
	NotRun                  // the query did not take effect and will not
	Unknown                 // the query may have taken effect
)

// Reply to a query.
type Reply struct {
	Outcome Outcome
	Verdict owner.Verdict
	State   job.State
	Count   int
	Epoch   int64 // owner epoch known when the answered try was sent; 0 unless Answered
	Tries   int
}

// LocalOwner holds the calls of the owner in this process.
type LocalOwner struct {
	// Submit submits a job that this entry has held for a time.
	Submit       func(ctx context.Context, spec job.Spec, held clock.Millis) owner.Verdict
	Cancel       func(ctx context.Context, ref owner.JobRef) owner.Verdict
	Lookup       func(ctx context.Context, ref owner.JobRef) owner.LookupResult
	CountWaiting func(ctx context.Context, queue string) (int, bool)
}

// Options configures a Client.
type Options struct {
	Clock   clock.Clock
	Current func() ownership.Record
	// LocalOwner returns the owner in this process, or nil.
	LocalOwner func() *LocalOwner
	Peers      *peer.Client
}

// Client is the client that sends callers' queries to the owner. It makes no
// scheduling decisions.
type Client struct{ options Options }

// New returns a Client.
func New(options Options) Client { return Client{options: options} }

// ownerQuery is a query that can be sent to the owner in this process or to the
// owner's entry. The outcome of an error (fault.OutcomeOf) says whether the query may
// have taken effect.
type ownerQuery struct {
	local  func(ctx context.Context, localOwner *LocalOwner) (Reply, error)
	remote func(ctx context.Context, address string) (Reply, error)
}

// verdictQuery returns a query whose reply holds only a verdict.
func verdictQuery(
	local func(ctx context.Context, localOwner *LocalOwner) owner.Verdict,
	remote func(ctx context.Context, address string) (owner.Verdict, error),
) ownerQuery {
	return ownerQuery{
		local: func(ctx context.Context, localOwner *LocalOwner) (Reply, error) {
			return Reply{Verdict: local(ctx, localOwner)}, nil
		},
		remote: func(ctx context.Context, address string) (Reply, error) {
			verdict, err := remote(ctx, address)
			return Reply{Verdict: verdict}, err
		},
	}
}

// Submit submits a job.
func (d Client) Submit(ctx context.Context, spec job.Spec) Reply {
	heldSince := d.options.Clock.Now()
	held := func() clock.Millis { return d.options.Clock.Now() - heldSince }
	return d.send(ctx, verdictQuery(
		func(ctx context.Context, localOwner *LocalOwner) owner.Verdict {
			return localOwner.Submit(ctx, spec, held())
		},
		func(ctx context.Context, address string) (owner.Verdict, error) {
			return d.options.Peers.Submit(ctx, address, peer.SubmitQuery{Spec: spec, Held: held()})
		},
	))
}

// Cancel cancels a job.
func (d Client) Cancel(ctx context.Context, ref owner.JobRef) Reply {
	return d.send(ctx, verdictQuery(
		func(ctx context.Context, localOwner *LocalOwner) owner.Verdict { return localOwner.Cancel(ctx, ref) },
		func(ctx context.Context, address string) (owner.Verdict, error) {
			return d.options.Peers.Cancel(ctx, address, ref)
		},
	))
}

// Lookup queries a job's state.
func (d Client) Lookup(ctx context.Context, ref owner.JobRef) Reply {
	return d.send(ctx, ownerQuery{
		local: func(ctx context.Context, localOwner *LocalOwner) (Reply, error) {
			finding := localOwner.Lookup(ctx, ref)
			return Reply{Verdict: finding.Verdict, State: finding.State}, nil
		},
		remote: func(ctx context.Context, address string) (Reply, error) {
			finding, err := d.options.Peers.Lookup(ctx, address, ref)
			return Reply{Verdict: finding.Verdict, State: finding.State}, err
		},
	})
}

// CountWaiting counts the jobs of a queue that have not begun.
func (d Client) CountWaiting(ctx context.Context, queue string) Reply {
	return d.send(ctx, ownerQuery{
		local: func(ctx context.Context, localOwner *LocalOwner) (Reply, error) {
			count, ok := localOwner.CountWaiting(ctx, queue)
			if !ok {
				return Reply{Verdict: owner.Verdict{Ruling: owner.NotOwner}}, nil
			}
			return Reply{Count: count}, nil
		},
		remote: func(ctx context.Context, address string) (Reply, error) {
			answer, err := d.options.Peers.CountWaiting(ctx, address, peer.QueueQuery{Queue: queue})
			return Reply{Verdict: owner.Verdict{Ruling: answer.Ruling}, Count: answer.Count}, err
		},
	})
}

// send retries a query until an owner has answered, until no owner was reached
// for maxOwnerWait, or until the context ends. A refusal counts only if no try before it
// may still be handled by the same owner, which might accept it then.
func (d Client) send(ctx context.Context, query ownerQuery) Reply {
	started := d.options.Clock.Now()
	maybeReceived := false  // an owner may have received the query
	unanswered := int64(-1) // epoch of the newest owner that left a try unanswered
	tries := 0
	for ctx.Err() == nil {
		tries++
		epoch := d.options.Current().Epoch
		reply, err := d.sendOnce(ctx, query)
		switch {
		case err == nil && reply.Verdict.Ruling == owner.Refused && unanswered >= epoch:
			return Reply{Outcome: Unknown, Tries: tries}
		case err == nil && reply.Verdict.Ruling != owner.NotOwner:
			reply.Epoch, reply.Tries = epoch, tries
			return reply
		case err == nil:
			// The owner received the query and lost the cell. The next owner
			// knows whether anything was recorded.
			maybeReceived = true
		case !fault.OutcomeOf(err).DidNotRun():
			maybeReceived = true
			unanswered = max(unanswered, epoch)
		case !maybeReceived && d.options.Clock.Now()-started > maxOwnerWait:
			return Reply{Outcome: NotRun, Tries: tries}
		}
		if d.options.Clock.Sleep(ctx, retryPeriod) != nil {
			break
		}
	}
	if maybeReceived {
		return Reply{Outcome: Unknown, Tries: tries}
	}
	return Reply{Outcome: NotRun, Tries: tries}
}

// sendOnce sends a query to the owner in this process, or else to the known
// owner's entry.
func (d Client) sendOnce(ctx context.Context, query ownerQuery) (Reply, error) {
	if localOwner := d.options.LocalOwner(); localOwner != nil {
		return query.local(ctx, localOwner)
	}
	record := d.options.Current()
	if record.Epoch == 0 || record.Released {
		return Reply{}, fault.New(fault.NotSent, "query owner", "", nil)
	}
	return query.remote(ctx, record.Address)
}
