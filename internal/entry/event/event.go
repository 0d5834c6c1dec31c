// Package event is what the parts of an entry tell its control thread.
//
// Every part that runs on its own goroutine talks to the control thread by one
// of these types and by nothing else.
//
// # Usage
//
//	inbox := event.NewInbox()
//	err := inbox.Post(ctx, event.VMsRead{VMs: vms, At: now})
//
//	for { ev, err := inbox.Next(ctx); ... } // control thread
package event

import (
	"context"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/entry/member"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// inboxLength bounds events that wait for the control thread. A poster waits
// when it is full, which slows readers and never loses an event.
const inboxLength = 1024

// ReadOn tells a stream's reader what to read next.
type ReadOn struct {
	From  stream.Offset
	Pause clock.Millis // before a read at the stream's end, unless poked
}

// StreamRead is a page of a stream. Next gets exactly one answer.
type StreamRead struct {
	Stream string
	From   stream.Offset
	Page   stream.Page
	SentAt clock.Millis // when the read was begun
	Next   chan ReadOn
}

// StreamFailed says that a read of a stream did not succeed.
type StreamFailed struct {
	Stream string
	Err    error
}

// VMsRead is the VM list, from the platform or from a peer.
type VMsRead struct {
	VMs       []inventory.VM
	At        clock.Millis
	Unchanged bool // the last list still holds
	FromPeer  bool
}

// UsageRead is the usage reports of one failure domain.
type UsageRead struct {
	Domain string
	Usages []worker.Usage
}

// PeerHeard is a heartbeat, or the answer to one.
type PeerHeard struct {
	Beat member.Beat
	At   clock.Millis
}

// Done carries the rest of an asynchronous call back to the control thread.
type Done struct{ Run func() }

// Submit asks for a job to be accepted. Reply gets exactly one answer.
type Submit struct {
	Spec  job.Spec
	Reply chan Answer
}

// Cancel asks for a job to be cancelled.
type Cancel struct {
	ID    string
	Reply chan Answer
}

// Lookup asks for one job, when this entry follows its cell.
type Lookup struct {
	ID    string
	Reply chan Answer
}

// List asks for the jobs of a caller among the cells that this entry follows.
type List struct {
	Caller string
	Phase  job.Phase
	Limit  int
	Reply  chan Answer
}

// Answer is the outcome of Submit, Cancel, Lookup or List.
type Answer struct {
	Status  job.Status
	Jobs    []job.Status
	Known   bool // Lookup: the job exists
	Follows bool // Lookup: this entry follows its cell
	Err     error
}

// Inspect runs a function on the control thread, for dumps and peers.
type Inspect struct {
	Run  func()
	Done chan struct{}
}

// Drain begins a graceful shutdown of the control side. Done is closed when
// cells are handed over and nothing waits to be appended.
type Drain struct{ Done chan struct{} }

// Inbox is the queue in front of the control thread.
type Inbox struct{ events chan any }

// NewInbox returns an empty inbox.
func NewInbox() *Inbox { return &Inbox{events: make(chan any, inboxLength)} }

// Post hands over an event; it waits while the inbox is full and returns the
// context's error when that ends first.
func (i *Inbox) Post(ctx context.Context, ev any) error {
	select {
	case i.events <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// C is the channel that the control thread reads.
func (i *Inbox) C() <-chan any { return i.events }

// Call posts an event and waits for its reply.
func Call[T any](ctx context.Context, inbox *Inbox, ev any, reply <-chan T) (T, error) {
	var none T
	if err := inbox.Post(ctx, ev); err != nil {
		return none, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
