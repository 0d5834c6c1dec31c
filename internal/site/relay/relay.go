// Package relay brings callers' questions to the owner, wherever it is, and
// says truthfully what became of them.
//
// # Usage
//
//	desk := relay.New(options)
//	reply := desk.Submit(ctx, spec)
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

// Times of asking.
const (
	askAgain   clock.Millis = 60  // between two tries
	ownerGrace clock.Millis = 700 // a question waits so long for an owner before it is refused
)

// Outcome of a question.
type Outcome uint8

// The outcomes of a question.
const (
	Answered Outcome = iota
	NotRun           // the owner never had it
	Unknown          // the owner may have had it
)

// Reply to a question.
type Reply struct {
	Outcome Outcome
	Verdict owner.Verdict
	State   job.State
	Count   int
	Epoch   int64 // of the owner that answered
	Tries   int
}

// Local is the owner in this process, if there is one.
type Local struct {
	Submit  func(ctx context.Context, spec job.Spec) owner.Verdict
	Cancel  func(ctx context.Context, id job.ID) owner.Verdict
	Lookup  func(ctx context.Context, id job.ID) owner.Finding
	Waiting func(ctx context.Context, queue string) (int, bool)
}

// Options of a desk.
type Options struct {
	Clock   clock.Clock
	Current func() ownership.Record
	// Local returns the owner in this process, or nil.
	Local func() *Local
	Peers *peer.Client
}

// Desk asks the owner.
type Desk struct{ options Options }

// New returns a desk.
func New(options Options) Desk { return Desk{options: options} }

// question is one question, asked in this process or of a peer. An error says
// whether the owner may have had it.
type question struct {
	local  func(ctx context.Context, own *Local) (Reply, error)
	remote func(ctx context.Context, address string) (Reply, error)
}

// order is a question whose answer is a verdict alone.
func order(
	local func(ctx context.Context, own *Local) owner.Verdict,
	remote func(ctx context.Context, address string) (owner.Verdict, error),
) question {
	return question{
		local: func(ctx context.Context, own *Local) (Reply, error) { return Reply{Verdict: local(ctx, own)}, nil },
		remote: func(ctx context.Context, address string) (Reply, error) {
			verdict, err := remote(ctx, address)
			return Reply{Verdict: verdict}, err
		},
	}
}

// Submit hands a job in.
func (d Desk) Submit(ctx context.Context, spec job.Spec) Reply {
	return d.ask(ctx, order(
		func(ctx context.Context, own *Local) owner.Verdict { return own.Submit(ctx, spec) },
		func(ctx context.Context, address string) (owner.Verdict, error) {
			return d.options.Peers.Submit(ctx, address, peer.SubmitQuery{Spec: spec})
		},
	))
}

// Cancel cancels a job.
func (d Desk) Cancel(ctx context.Context, id job.ID) Reply {
	return d.ask(ctx, order(
		func(ctx context.Context, own *Local) owner.Verdict { return own.Cancel(ctx, id) },
		func(ctx context.Context, address string) (owner.Verdict, error) {
			return d.options.Peers.Cancel(ctx, address, peer.JobQuery{ID: id})
		},
	))
}

// Lookup asks for a job's state.
func (d Desk) Lookup(ctx context.Context, id job.ID) Reply {
	return d.ask(ctx, question{
		local: func(ctx context.Context, own *Local) (Reply, error) {
			finding := own.Lookup(ctx, id)
			return Reply{Verdict: finding.Verdict, State: finding.State}, nil
		},
		remote: func(ctx context.Context, address string) (Reply, error) {
			finding, err := d.options.Peers.Lookup(ctx, address, peer.JobQuery{ID: id})
			return Reply{Verdict: finding.Verdict, State: finding.State}, err
		},
	})
}

// Waiting counts the jobs of a queue that have not begun.
func (d Desk) Waiting(ctx context.Context, queue string) Reply {
	return d.ask(ctx, question{
		local: func(ctx context.Context, own *Local) (Reply, error) {
			count, ok := own.Waiting(ctx, queue)
			if !ok {
				return Reply{Verdict: owner.Verdict{Ruling: owner.Elsewhere}}, nil
			}
			return Reply{Count: count}, nil
		},
		remote: func(ctx context.Context, address string) (Reply, error) {
			answer, err := d.options.Peers.Waiting(ctx, address, peer.QueueQuery{Queue: queue})
			return Reply{Verdict: owner.Verdict{Ruling: answer.Ruling}, Count: answer.Count}, err
		},
	})
}

// ask asks until an owner has answered, until it is certain that none can soon,
// or until the context ends.
func (d Desk) ask(ctx context.Context, what question) Reply {
	started := d.options.Clock.Now()
	reached := false // an owner may have had the question
	tries := 0
	for ctx.Err() == nil {
		tries++
		epoch := d.options.Current().Epoch
		reply, err := d.once(ctx, what)
		switch {
		case err == nil && reply.Verdict.Ruling != owner.Elsewhere:
			reply.Epoch, reply.Tries = epoch, tries
			return reply
		case err == nil:
			// It had the question and gave up; the next owner knows what was recorded.
			reached = true
		case !fault.OutcomeOf(err).Certain():
			reached = true
		case !reached && d.options.Clock.Now()-started > ownerGrace:
			return Reply{Outcome: NotRun, Tries: tries}
		}
		if d.options.Clock.Sleep(ctx, askAgain) != nil {
			break
		}
	}
	if reached {
		return Reply{Outcome: Unknown, Tries: tries}
	}
	return Reply{Outcome: NotRun, Tries: tries}
}

func (d Desk) once(ctx context.Context, what question) (Reply, error) {
	if own := d.options.Local(); own != nil {
		return what.local(ctx, own)
	}
	record := d.options.Current()
	if record.Epoch == 0 || record.Released {
		return Reply{}, fault.New(fault.NotSent, "ask owner", "", nil)
	}
	return what.remote(ctx, record.Address)
}
