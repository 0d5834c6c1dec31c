package ownership

import (
	"context"
	"net"
	"slices"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/site/peer"
)

// Times of watching an owner.
const (
	pingPeriod     clock.Millis = 250
	pingTimeout    clock.Millis = 400
	silenceLimit   clock.Millis = 900  // an owner that nobody hears for so long is replaced
	storeAgeLimit  clock.Millis = 1100 // an owner that the store confirms nothing to for so long, likewise; it writes twice a second
	rankSpread     clock.Millis = 150  // claims of several entries are spread over this time
	storePatience  clock.Millis = 400  // ... although the store has answered another entry for so long
	loadLimit      clock.Millis = 3000 // an owner that has not loaded its state after so long is replaced
	storeRetry     clock.Millis = 150
	claimTimeout   clock.Millis = 1500
	releaseTimeout clock.Millis = 800
	tailWait       clock.Millis = 15 * clock.Second // of one long poll for a newer owner
	askTimeout     clock.Millis = 250               // for other entries' word on the owner
)

// askMost bounds the entries that are asked for their word on the owner.
const askMost = 8

// reason to claim a cell.
type reason string

// The reasons to claim a cell.
const (
	notDue      reason = ""
	neverOwned  reason = "no owner yet"
	released    reason = "the owner gave up"
	ownFormer   reason = "owned by a former process of this entry"
	unreachable reason = "the owner cannot be reached"
	restarted   reason = "the owner has restarted"
	unheard     reason = "nobody hears the owner"
	notLoaded   reason = "the owner has not loaded its state"
	storeless   reason = "the store does not confirm the owner"
)

// proves reports whether a reason means that the owner before does nothing more.
func (r reason) proves() bool {
	return r == neverOwned || r == released || r == ownFormer || r == restarted
}

// watch follows one owner until a newer record exists, or until there is a
// reason to claim the cell.
func (e *Elector) watch(ctx context.Context, record Record) reason {
	if record.Epoch == 0 {
		return e.spread(ctx, neverOwned)
	}
	if record.Released {
		return e.spread(ctx, released)
	}
	if record.Name == e.options.Name && record.Life != e.options.Life {
		return ownFormer
	}
	return e.follow(ctx, record)
}

// follow pings an owner, and polls for a newer record beside it.
func (e *Elector) follow(ctx context.Context, record Record) reason {
	following, cancel := context.WithCancel(ctx)
	defer cancel()
	newer := make(chan struct{})
	group, inner := errgroup.WithContext(following)
	group.Go(func() error {
		e.awaitNewer(inner, record)
		close(newer)
		return nil
	})
	why := e.pingUntil(inner, record, newer)
	cancel()
	_ = group.Wait() // its one goroutine returns no error
	if why == notDue {
		return notDue
	}
	return e.spread(ctx, why)
}

// awaitNewer returns when the owners' topic may have a newer record.
func (e *Elector) awaitNewer(ctx context.Context, record Record) {
	from := int64(-1)
	for ctx.Err() == nil {
		page := e.poll(ctx, from)
		switch {
		case page.Outcome != journal.Done:
			if e.options.Clock.Sleep(ctx, storeRetry) != nil {
				return
			}
			from = -1
		case e.newerIn(page, record):
			return
		default:
			from = page.End
		}
	}
}

// poll reads the topic from an offset on, waiting for a record; a negative
// offset reads the newest records at once.
func (e *Elector) poll(ctx context.Context, from int64) journal.Page {
	page := e.read(ctx, from)
	if page.Outcome == journal.Done {
		e.noteStore()
	}
	return page
}

func (e *Elector) read(ctx context.Context, from int64) journal.Page {
	if from < 0 {
		return e.options.Log.Newest(ctx, e.options.Topic)
	}
	ctx, cancel := context.WithTimeout(ctx, (tailWait + clock.Second).Duration())
	defer cancel()
	return e.options.Log.Read(ctx, journal.Read{Topic: e.options.Topic, From: from, WaitMS: int64(tailWait)})
}

func (e *Elector) newerIn(page journal.Page, record Record) bool {
	found, err := e.find(page)
	return err == nil && (found.Epoch > record.Epoch || found.Released && found.Epoch == record.Epoch)
}

// pingUntil pings an owner until a newer one is known or there is a reason to
// replace it.
func (e *Elector) pingUntil(ctx context.Context, record Record, newer <-chan struct{}) reason {
	started := e.options.Clock.Now()
	heard := started
	e.patience = clock.Patience(e.options.Cores)
	e.answering = 0
	for {
		answer, err := e.ping(ctx, record)
		now := e.options.Clock.Now()
		switch {
		case ctx.Err() != nil:
			return notDue
		case err != nil && refused(err) && e.refusedTwice(now):
			return unreachable
		case err == nil && (!answer.Owner || answer.Epoch != record.Epoch):
			return restarted
		case err == nil:
			heard = now
			e.patience = clock.Patience(answer.Cores)
			e.heardAt.Store(int64(now))
			e.notePeers(answer)
			e.options.Answered(ctx, record.Address, answer)
			if why := e.unfit(ctx, answer, now-started); why != notDue {
				return why
			}
		case now-heard > silenceLimit.Stretch(e.patience) && !e.othersHear(ctx, record):
			return unheard
		}
		if e.options.Clock.Pause(ctx, e.pingWait(), newer) != nil || closed(newer) {
			return notDue
		}
	}
}

// pingWait is the time until the next ping. Weak entries, of which there may be
// many, leave it to stronger ones to notice first, and ask half as often.
func (e *Elector) pingWait() clock.Millis {
	if e.outclassed(*e.peers.Load()) {
		return 2 * pingPeriod
	}
	return pingPeriod
}

func closed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

func (e *Elector) ping(ctx context.Context, record Record) (peer.PingAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout.Stretch(e.patience).Duration())
	defer cancel()
	return e.options.Ping(ctx, record.Address, peer.PingQuery{
		Name: e.options.Name, Address: e.options.Address, Cores: e.options.Cores, Known: e.known,
	})
}

// notePeers takes the owner's list of entries, if it sent one. It leaves the list
// out while it is the one that this entry named.
func (e *Elector) notePeers(answer peer.PingAnswer) {
	if len(answer.Peers) == 0 && answer.PeersHash == e.known {
		return
	}
	e.known = answer.PeersHash
	e.peers.Store(&answer.Peers)
}

// refused reports whether an address refused a connection. One that was not
// accepted in time says only that its process is busy, or cut off.
func refused(err error) bool {
	var timeout net.Error
	late := errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
	return fault.OutcomeOf(err) == fault.NotSent && !late
}

// refusedTwice reports whether the owner's address could not be reached twice
// within a short time; a process that just restarts listens again soon.
func (e *Elector) refusedTwice(now clock.Millis) bool {
	again := now-e.refused < 2*pingPeriod+pingTimeout
	e.refused = now
	return again
}

// unfit returns why an owner that answers should be replaced, if it should.
func (e *Elector) unfit(ctx context.Context, answer peer.PingAnswer, watched clock.Millis) reason {
	switch {
	case !answer.ReadyToAct && watched > loadLimit.Stretch(e.patience):
		return notLoaded
	case !answer.ReadyToAct || answer.StoreAge <= storeAgeLimit.Stretch(e.patience) || !e.storeAnswers(ctx):
		e.answering = 0
	case e.answering == 0:
		e.answering = e.options.Clock.Now()
	case e.options.Clock.Now()-e.answering >= storePatience:
		return storeless
	}
	return notDue
}

// storeAnswers asks the store whether this entry reaches it.
func (e *Elector) storeAnswers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout.Duration())
	defer cancel()
	return e.poll(ctx, -1).Outcome == journal.Done
}

// neighbours returns some of the other entries: those that follow this one in
// the list of all, so that each entry asks others and is asked by few.
func (e *Elector) neighbours() []peer.Entry {
	all := *e.peers.Load()
	own := slices.IndexFunc(all, func(other peer.Entry) bool { return other.Address == e.options.Address })
	var found []peer.Entry
	for i := 1; i <= len(all) && len(found) < askMost; i++ {
		if other := all[(own+i)%len(all)]; other.Address != e.options.Address {
			found = append(found, other)
		}
	}
	return found
}

// othersHear asks some other entries whether one of them hears the owner.
func (e *Elector) othersHear(ctx context.Context, record Record) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	heard := make(chan struct{}, askMost)
	for _, other := range e.neighbours() {
		group.Go(func() error {
			answer, err := e.options.Heard(ctx, other.Address, peer.HeardQuery{Epoch: record.Epoch})
			if err == nil && answer.Age >= 0 && answer.Age < silenceLimit/2 {
				heard <- struct{}{}
			}
			return nil // an entry that does not answer knows nothing
		})
	}
	_ = group.Wait()
	return len(heard) > 0
}

// spread waits for this entry's turn among those that may claim: the strongest
// first, in order of rank.
func (e *Elector) spread(ctx context.Context, why reason) reason {
	wait := clock.Millis(e.options.Rank * float64(rankSpread))
	if e.outclassed(*e.peers.Load()) {
		wait += weakWait
	}
	if e.options.Clock.Sleep(ctx, wait) != nil {
		return notDue
	}
	return why
}
