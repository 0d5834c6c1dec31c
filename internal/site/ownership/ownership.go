// Package ownership elects the entry that owns a cell.
//
// The newest record of the owners' topic decides. An entry claims the cell by
// appending a record with the next epoch, on the condition that the topic still
// ends where the entry read it, so one of several concurrent claims succeeds.
// Every later write and order of the owner carries its epoch. The store and the
// workers refuse lower epochs, which fences a previous owner that has not yet
// noticed the takeover.
//
// Correctness does not depend on when an entry claims; only the length of a
// takeover does. An entry claims when the cell was never owned or was
// released, when the owner's process has ended or refuses connections, when neither
// this entry nor any that it queries reaches the owner, when the owner does not load
// its state in time, or when the owner cannot reach the store although this entry
// can.
//
// # Usage
//
//	elector := ownership.New(options)
//	err := elector.Serve(ctx)
//	...
//	current := elector.Current()
package ownership

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/peer"
)

// Record names the owner of a cell, as stored in the owners' topic.
type Record struct {
	Epoch       int64  `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"` // entry name
	Address     string `cbor:"3,keyasint"` // address of the entry's peer server
	Incarnation string `cbor:"4,keyasint"` // incarnation of the entry: unique for each process
	Released    bool   `cbor:"5,keyasint"` // the owner released the cell itself
	// Boot is the id of the boot of the entry's VM; empty: unknown.
	Boot string `cbor:"6,keyasint,omitempty"`
	// RenewWindow is how long the owner renews leases after a proof that there is no later
	// owner; 0: unknown.
	RenewWindow clock.Millis `cbor:"7,keyasint,omitempty"`
}

// PreviousOwner describes the previous owner of a cell to the entry that took over.
type PreviousOwner struct {
	Name        string // entry name
	Incarnation string
	Stopped     owner.StopEvidence // what makes it certain that it sends no more orders; NotStopped if nothing does
	RenewWindow clock.Millis       // of its record, if it asks this entry for a later owner; 0: unknown, or it does not
}

// Options configures an Elector.
type Options struct {
	Cell        string
	Name        string
	Address     string
	Incarnation string // incarnation: unique for each process of an entry
	Topic       string
	Clock       clock.Clock
	Log         journal.Log
	Logger      zerolog.Logger
	// Boot and RenewWindow are written to the records of this entry's claims.
	Boot        string
	RenewWindow clock.Millis
	// Listening is closed once this process listens at Address. No other process of the VM
	// does then.
	Listening <-chan struct{}
	// Ping pings the owner.
	Ping func(ctx context.Context, address string, query peer.PingQuery) (peer.PingAnswer, error)
	// OwnerContact queries another entry for the time since the owner answered it.
	OwnerContact func(ctx context.Context, address string, query peer.OwnerContactQuery) (peer.OwnerContactAnswer, error)
	// OnOwnerAnswer is called with each successful ping answer of the owner.
	OnOwnerAnswer func(ctx context.Context, address string, answer peer.PingAnswer)
	// Rank, from 0 to below 1, sets the delay before a claim, so that entries do not
	// all claim at once.
	Rank float64
	// Cores is the number of processor cores of this entry. Entries with the
	// most cores are preferred as owners.
	Cores float64
	// RecentPeers lists the entries that pinged this one recently.
	RecentPeers func() []peer.Entry
	// RunOwnership is called after a successful claim, and returns when the ownership ends.
	RunOwnership func(ctx context.Context, epoch int64, former PreviousOwner) error
}

// Elector pings the owner of a cell and claims the cell when the owner has to
// be replaced. Every entry runs one. The watchers of packages tables and roster
// only read a topic; an Elector also writes to its topic.
type Elector struct {
	options        Options
	current        atomic.Pointer[Record]
	ownerContactAt atomic.Int64 // time of the current owner's last ping answer; 0: none
	peers          atomic.Pointer[[]peer.Entry]
	peersHash      uint64        // hash of peers, as sent by the owner
	refusedAt      clock.Millis  // time of the last refused connection to the owner
	storelessSince clock.Millis  // start of the time in which the store answers this entry but not the owner; 0: not the case
	timeoutFactor  float64       // scales timeouts of the owner by its cores; by this entry's until its first answer
	storeContactAt atomic.Int64  // time of the store's last answer to this entry
	claimedEpoch   atomic.Int64  // epoch that this process owns or is claiming; 0: none
	retired        chan struct{} // closed by Retire
	retire         sync.Once
}

// New returns an Elector without a known owner.
func New(options Options) *Elector {
	e := &Elector{options: options, retired: make(chan struct{})}
	e.current.Store(&Record{})
	e.peers.Store(&[]peer.Entry{})
	return e
}

// Current returns the newest known owner record.
func (e *Elector) Current() Record { return *e.current.Load() }

// Peers lists the entries that the owner reported in its last ping answer.
func (e *Elector) Peers() []peer.Entry { return *e.peers.Load() }

// ClaimedEpoch returns the epoch that this process owns, or is claiming and may own
// without knowing it yet; 0 if there is none.
func (e *Elector) ClaimedEpoch() int64 { return e.claimedEpoch.Load() }

// StoreAge returns how long ago the store last answered this entry.
func (e *Elector) StoreAge() clock.Millis {
	return e.options.Clock.Now() - clock.Millis(e.storeContactAt.Load())
}

// OwnerContactAge returns how long ago the owner of an epoch answered a ping, or a
// negative number if it has not answered any.
func (e *Elector) OwnerContactAge(epoch int64) clock.Millis {
	if e.Current().Epoch != epoch || e.ownerContactAt.Load() == 0 {
		return -1
	}
	return e.options.Clock.Now() - clock.Millis(e.ownerContactAt.Load())
}

// Retire ends an ownership and prevents further claims. The Elector goes on
// following the owner.
func (e *Elector) Retire() { e.retire.Do(func() { close(e.retired) }) }

func (e *Elector) isRetired() bool {
	select {
	case <-e.retired:
		return true
	default:
		return false
	}
}

// Serve follows the owner and claims the cell when due, until the context ends.
func (e *Elector) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		page := e.options.Log.Newest(ctx, e.options.Topic)
		if page.Outcome != journal.Done {
			if err := e.options.Clock.Sleep(ctx, storeRetry); err != nil {
				return err
			}
			continue
		}
		e.recordStoreContact()
		record, err := e.findRecord(page)
		if err != nil {
			return err
		}
		e.recordOwner(record)
		reason := e.watch(ctx, record)
		if reason == notDue || ctx.Err() != nil {
			continue
		}
		if e.isRetired() {
			if err := e.options.Clock.Sleep(ctx, storeRetry); err != nil {
				return err
			}
			continue
		}
		e.claim(ctx, record, page.End, reason)
	}
	return ctx.Err()
}

// findRecord returns the cell's record in a page, or the zero value if there is
// none.
func (e *Elector) findRecord(page journal.Page) (Record, error) {
	var found Record
	for _, stored := range page.Records {
		if stored.Key != e.options.Cell {
			continue
		}
		if err := codec.Unmarshal(stored.Value, &found); err != nil {
			return Record{}, errors.WithMessagef(err, "decode owner record of cell %s", e.options.Cell)
		}
	}
	return found, nil
}

// recordOwner replaces the known owner record by a newer one.
func (e *Elector) recordOwner(record Record) {
	previous := e.Current()
	if record.Epoch <= previous.Epoch && record.Released == previous.Released {
		return
	}
	e.current.Store(&record)
	e.ownerContactAt.Store(0)
	e.options.Logger.Info().Str("event", "owner_known").Str("cell", e.options.Cell).Int64("epoch", record.Epoch).
		Str("owner", record.Name).Str("address", record.Address).Bool("released", record.Released).
		Int64("epoch_before", previous.Epoch).Send()
}

func (e *Elector) recordStoreContact() { e.storeContactAt.Store(int64(e.options.Clock.Now())) }

// claim tries to become the owner of the next epoch, and on success runs the
// ownership until it ends. Losing to another claim is not an error: the next
// read of the topic returns the winner.
func (e *Elector) claim(ctx context.Context, previous Record, end int64, reason claimReason) {
	record := Record{
		Epoch: previous.Epoch + 1, Name: e.options.Name, Address: e.options.Address, Incarnation: e.options.Incarnation,
		Boot: e.options.Boot, RenewWindow: e.options.RenewWindow,
	}
	asked := e.isAskedBy(previous)
	// Other entries may read the record before its answer arrives here, and ping.
	e.claimedEpoch.Store(record.Epoch)
	defer e.claimedEpoch.Store(0)
	started := e.options.Clock.Now()
	answer := e.appendRecord(ctx, record, end)
	e.options.Logger.Info().Str("event", "cell_claimed").Str("cell", e.options.Cell).Int64("epoch", record.Epoch).
		Str("reason", string(reason)).Str("owner_before", previous.Name).Str("outcome", answer.Outcome.String()).
		Int64("took_ms", int64(e.options.Clock.Now()-started)).Send()
	if answer.Outcome != journal.Done {
		return
	}
	e.recordOwner(record)
	former := PreviousOwner{Name: previous.Name, Incarnation: previous.Incarnation, Stopped: reason.stopEvidence()}
	if asked {
		former.RenewWindow = previous.RenewWindow
	}
	e.runOwnership(ctx, record, answer.End, former, e.tenureFor(reason))
}

// AskedFor is how long after an owner's last answer to a ping an entry relies on being
// asked by it. Owners ask for longer.
const AskedFor clock.Millis = 5 * clock.Minute

// isAskedBy reports whether the owner of a record asks this entry before it concludes that
// there is no later owner. It asks each entry whose ping it has answered.
func (e *Elector) isAskedBy(record Record) bool {
	age := e.OwnerContactAge(record.Epoch)
	return age >= 0 && age < AskedFor
}

// runOwnership runs an ownership until it ends, and then appends its release. It
// does not hand over to a stronger entry before the tenure is over.
func (e *Elector) runOwnership(ctx context.Context, record Record, end int64, previous PreviousOwner, tenure clock.Millis) {
	owning, stop := context.WithCancel(ctx)
	group := new(errgroup.Group)
	group.Go(func() error {
		e.awaitHandover(owning, tenure)
		stop()
		return nil
	})
	err := e.options.RunOwnership(owning, record.Epoch, previous)
	stop()
	_ = group.Wait() // the goroutine returns no error
	e.claimedEpoch.Store(0)
	e.options.Logger.Info().Str("event", "ownership_ended").Str("cell", e.options.Cell).
		Int64("epoch", record.Epoch).AnErr("cause", err).Send()
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout.Duration())
	defer cancel()
	record.Released = true
	if answer := e.appendRecord(releaseCtx, record, end); answer.Outcome == journal.Done {
		e.recordOwner(record)
	}
}

// appendRecord appends a record on the condition that the topic ends at an
// offset. The condition can hold only once, so after a lost answer a read of the
// topic decides whether the append took effect.
func (e *Elector) appendRecord(ctx context.Context, record Record, end int64) journal.Answer {
	data, err := codec.Marshal(record)
	if err != nil {
		e.options.Logger.Error().Err(err).Msg("cannot encode owner record")
		return journal.Answer{Outcome: journal.NotDone}
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout.Duration())
	defer cancel()
	answer := e.options.Log.Append(ctx, journal.Append{
		Topic: e.options.Topic, ExpectedEnd: end, Records: []journal.Record{{Key: e.options.Cell, Value: data}},
	})
	if answer.Outcome == journal.Unknown {
		return e.resolveUnknownAppend(ctx, record)
	}
	return answer
}

// resolveUnknownAppend reads the topic to find out whether an append without an
// answer took effect.
func (e *Elector) resolveUnknownAppend(ctx context.Context, record Record) journal.Answer {
	page := e.options.Log.Newest(context.WithoutCancel(ctx), e.options.Topic)
	if page.Outcome != journal.Done {
		return journal.Answer{Outcome: journal.Unknown}
	}
	if found, err := e.findRecord(page); err == nil && found == record {
		return journal.Answer{Outcome: journal.Done, End: page.End}
	}
	return journal.Answer{Outcome: journal.Unknown}
}
