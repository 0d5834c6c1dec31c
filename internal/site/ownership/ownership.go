// Package ownership settles which entry owns a cell.
//
// The newest record of the owners' topic decides. An entry claims by appending
// the next epoch on the condition that the topic still ends where it was read,
// so of several claims one succeeds. Everything that the owner does later
// carries its epoch, and the store and the workers refuse a lower one, so a
// former owner that does not know yet can do no harm.
//
// When to claim is only a matter of speed: an entry does so when there is no
// owner, when the owner's process is gone, when nobody hears the owner, or when
// the owner cannot reach the store although the entry can.
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
	"github.com/oriolepier/oriolepier/internal/site/peer"
)

// Record of a cell's owner.
type Record struct {
	Epoch    int64  `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"` // of the entry
	Address  string `cbor:"3,keyasint"` // at which it answers peers
	Life     string `cbor:"4,keyasint"` // of the entry's process
	Released bool   `cbor:"5,keyasint"` // the owner gave up on purpose
}

// Former is the owner before.
type Former struct {
	Name string // of its entry
	Gone bool   // it certainly does nothing more
}

// Options of an elector.
type Options struct {
	Cell    string
	Name    string
	Address string
	Life    string // differs between processes of one name
	Topic   string
	Clock   clock.Clock
	Log     journal.Log
	Logger  zerolog.Logger
	Ping    func(ctx context.Context, address string, query peer.PingQuery) (peer.PingAnswer, error)
	Heard   func(ctx context.Context, address string, query peer.HeardQuery) (peer.HeardAnswer, error)
	// Answered is told of each sign of life of the owner.
	Answered func(ctx context.Context, address string, answer peer.PingAnswer)
	// Rank spreads the claims of several entries, 0 to 1.
	Rank float64
	// Cores are the processor cores of this entry: the strongest should own.
	Cores float64
	// Callers lists the entries that asked this one for a sign of life recently.
	Callers func() []peer.Entry
	// Own is called after a claim was won, and returns when the ownership ends.
	Own func(ctx context.Context, epoch int64, former Former) error
}

// Elector follows the owner of a cell, and claims the cell when it must.
type Elector struct {
	options   Options
	current   atomic.Pointer[Record]
	heardAt   atomic.Int64 // when the current owner last gave a sign of life
	peers     atomic.Pointer[[]peer.Entry]
	known     uint64       // hash of that list, as the owner named it
	refused   clock.Millis // when the owner's address could last not be reached
	answering clock.Millis // since when the store answers this entry but does not confirm the owner; 0: not so
	patience  float64      // by which limits are stretched for the owner that is watched
	storeAt   atomic.Int64 // when the store last answered this entry
	owning    atomic.Bool
	retired   chan struct{} // closed once this entry wants to own nothing
	retire    sync.Once
}

// New returns an elector that knows no owner.
func New(options Options) *Elector {
	e := &Elector{options: options, retired: make(chan struct{})}
	e.current.Store(&Record{})
	e.peers.Store(&[]peer.Entry{})
	return e
}

// Current returns the newest known record of the owner.
func (e *Elector) Current() Record { return *e.current.Load() }

// Peers lists the entries that the owner knew at its last sign of life.
func (e *Elector) Peers() []peer.Entry { return *e.peers.Load() }

// Owning reports whether this process owns the cell.
func (e *Elector) Owning() bool { return e.owning.Load() }

// StoreAge returns how long ago the store last answered this entry.
func (e *Elector) StoreAge() clock.Millis {
	return e.options.Clock.Now() - clock.Millis(e.storeAt.Load())
}

// HeardAge returns how long ago the owner of an epoch gave a sign of life, or
// a negative number when it gave none.
func (e *Elector) HeardAge(epoch int64) clock.Millis {
	if e.Current().Epoch != epoch || e.heardAt.Load() == 0 {
		return -1
	}
	return e.options.Clock.Now() - clock.Millis(e.heardAt.Load())
}

// Retire ends an ownership and claims nothing more; the owner is still followed.
func (e *Elector) Retire() { e.retire.Do(func() { close(e.retired) }) }

func (e *Elector) isRetired() bool {
	select {
	case <-e.retired:
		return true
	default:
		return false
	}
}

// Serve follows and claims until the context ends.
func (e *Elector) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		page := e.options.Log.Newest(ctx, e.options.Topic)
		if page.Outcome != journal.Done {
			if err := e.options.Clock.Sleep(ctx, storeRetry); err != nil {
				return err
			}
			continue
		}
		e.noteStore()
		record, err := e.find(page)
		if err != nil {
			return err
		}
		e.note(record)
		why := e.watch(ctx, record)
		if why == notDue || ctx.Err() != nil {
			continue
		}
		if e.isRetired() {
			if err := e.options.Clock.Sleep(ctx, storeRetry); err != nil {
				return err
			}
			continue
		}
		e.claim(ctx, record, page.End, why)
	}
	return ctx.Err()
}

// find returns the cell's record among those of a page; its zero value when
// there is none.
func (e *Elector) find(page journal.Page) (Record, error) {
	var found Record
	for _, stored := range page.Records {
		if stored.Key != e.options.Cell {
			continue
		}
		if err := codec.Unmarshal(stored.Value, &found); err != nil {
			return Record{}, errors.WithMessagef(err, "owner of cell %s", e.options.Cell)
		}
	}
	return found, nil
}

// note takes a newer record of the owner.
func (e *Elector) note(record Record) {
	before := e.Current()
	if record.Epoch <= before.Epoch && record.Released == before.Released {
		return
	}
	e.current.Store(&record)
	e.heardAt.Store(0)
	e.options.Logger.Info().Str("event", "owner_known").Str("cell", e.options.Cell).Int64("epoch", record.Epoch).
		Str("owner", record.Name).Str("address", record.Address).Bool("released", record.Released).
		Int64("epoch_before", before.Epoch).Send()
}

func (e *Elector) noteStore() { e.storeAt.Store(int64(e.options.Clock.Now())) }

// claim tries to become the owner of the next epoch, and owns the cell while
// it is one. Losing to another claim is no error: the next read shows it.
func (e *Elector) claim(ctx context.Context, before Record, end int64, why reason) {
	record := Record{
		Epoch: before.Epoch + 1, Name: e.options.Name, Address: e.options.Address, Life: e.options.Life,
	}
	answer := e.write(ctx, record, end)
	e.options.Logger.Info().Str("event", "cell_claimed").Str("cell", e.options.Cell).Int64("epoch", record.Epoch).
		Str("reason", string(why)).Str("owner_before", before.Name).Str("outcome", answer.Outcome.String()).Send()
	if answer.Outcome != journal.Done {
		return
	}
	e.note(record)
	e.own(ctx, record, answer.End, Former{Name: before.Name, Gone: why.proves()}, e.tenure(why))
}

// own runs the ownership until it ends, and gives it up in the record. It is
// not left to a stronger entry before the tenure is over.
func (e *Elector) own(ctx context.Context, record Record, end int64, former Former, tenure clock.Millis) {
	e.owning.Store(true)
	owning, stop := context.WithCancel(ctx)
	group := new(errgroup.Group)
	group.Go(func() error {
		e.awaitLeaving(owning, tenure)
		stop()
		return nil
	})
	err := e.options.Own(owning, record.Epoch, former)
	stop()
	_ = group.Wait() // its one goroutine returns no error
	e.owning.Store(false)
	e.options.Logger.Info().Str("event", "ownership_ended").Str("cell", e.options.Cell).
		Int64("epoch", record.Epoch).AnErr("cause", err).Send()
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout.Duration())
	defer cancel()
	record.Released = true
	if answer := e.write(release, record, end); answer.Outcome == journal.Done {
		e.note(record)
	}
}

// write appends a record on the condition that the topic ends at an offset. A
// lost answer is settled by the next read, since the condition can hold once.
func (e *Elector) write(ctx context.Context, record Record, end int64) journal.Answer {
	data, err := codec.Marshal(record)
	if err != nil {
		e.options.Logger.Error().Err(err).Msg("the owner's record cannot be encoded")
		return journal.Answer{Outcome: journal.NotDone}
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout.Duration())
	defer cancel()
	answer := e.options.Log.Append(ctx, journal.Append{
		Topic: e.options.Topic, At: end, Records: []journal.Record{{Key: e.options.Cell, Value: data}},
	})
	if answer.Outcome == journal.Unknown {
		return e.settle(ctx, record)
	}
	return answer
}

// settle finds out whether a claim without an answer was carried out.
func (e *Elector) settle(ctx context.Context, record Record) journal.Answer {
	page := e.options.Log.Newest(context.WithoutCancel(ctx), e.options.Topic)
	if page.Outcome != journal.Done {
		return journal.Answer{Outcome: journal.Unknown}
	}
	if found, err := e.find(page); err == nil && found == record {
		return journal.Answer{Outcome: journal.Done, End: page.End}
	}
	return journal.Answer{Outcome: journal.Unknown}
}
