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
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/peer"
)

// Time limits for watching an owner. Those applied to the owner itself are
// stretched for a slow owner.
const (
	pingPeriod        clock.Millis = 250
	pingTimeout       clock.Millis = 400  // for one ping, and for one read of the store by storeReachable
	unresponsiveLimit clock.Millis = 900  // an owner that has not answered this entry for this long is replaced, unless a queried entry had an answer within half of it
	storeAgeLimit     clock.Millis = 1100 // an owner without a store answer for this long counts as cut off; owners write twice a second
	claimSpread       clock.Millis = 150  // claims of several entries are spread over this time
	storelessLimit    clock.Millis = 400  // a cut-off owner is replaced once the store has answered this entry for this long
	loadLimit         clock.Millis = 3000 // an owner that has not loaded its state this long after this entry's first ping is replaced
	storeRetry        clock.Millis = 150  // before a failed read of the topic is repeated; also the wait of a retired entry between reads
	appendTimeout     clock.Millis = 1500
	releaseTimeout    clock.Millis = 800
	longPollTimeout   clock.Millis = 15 * clock.Second // for one long poll for a newer owner record
	heardQueryTimeout clock.Millis = 250               // for queries to other entries about the owner
	listenWait        clock.Millis = 200               // for this process to listen at its address, before it takes over from another process of its entry
)

// maxHeardQueries bounds the entries queried before an owner is replaced as
// unresponsive.
const maxHeardQueries = 8

// claimReason is a reason to claim a cell, as logged.
type claimReason string

// The reasons to claim a cell.
const (
	notDue             claimReason = ""
	neverOwned         claimReason = "no owner yet"
	released           claimReason = "the owner released the cell"
	previousProcess    claimReason = "owned by a previous process of this entry"
	processEnded       claimReason = "owned by a process of this entry that has ended"
	refusesConnections claimReason = "the owner cannot be reached"
	notOwning          claimReason = "the owner has restarted"
	otherEpoch         claimReason = "the owner's entry knows another owner"
	unresponsive       claimReason = "the owner is unresponsive to all entries queried"
	notLoaded          claimReason = "the owner has not loaded its state"
	storeless          claimReason = "the owner is cut off from the store"
)

// stopEvidence returns how a reason shows that the previous owner sends no more
// orders, or NotStopped. That an earlier process of this entry owned the cell shows
// nothing alone: it may be ending still.
func (r claimReason) stopEvidence() owner.StopEvidence {
	switch r {
	case neverOwned:
		return owner.NeverOwned
	case released:
		return owner.StopReleased
	case notOwning:
		return owner.StopNotOwning
	case processEnded:
		return owner.StopProcessEnded
	default:
		return owner.NotStopped
	}
}

// watch follows one owner until a newer record exists, or until there is a
// reason to claim the cell.
func (e *Elector) watch(ctx context.Context, record Record) claimReason {
	if record.Epoch == 0 {
		return e.delayClaim(ctx, neverOwned)
	}
	if record.Released {
		return e.delayClaim(ctx, released)
	}
	if record.Name == e.options.Name && record.Incarnation != e.options.Incarnation {
		return e.previousProcessReason(ctx, record)
	}
	return e.follow(ctx, record)
}

// previousProcessReason returns the reason to claim a cell that another process of this
// entry owned. An owner listens at its address until it no longer owns, and the operating
// system lets one process listen there. So once this process does, in the same boot of the
// VM, the other one has ended.
func (e *Elector) previousProcessReason(ctx context.Context, record Record) claimReason {
	if record.Boot == "" || record.Boot != e.options.Boot || record.Address != e.options.Address {
		return previousProcess
	}
	if e.options.Clock.Pause(ctx, listenWait, e.options.Listening) != nil || !isClosed(e.options.Listening) {
		return previousProcess
	}
	return processEnded
}

// follow pings an owner, and polls concurrently for a newer record.
func (e *Elector) follow(ctx context.Context, record Record) claimReason {
	followCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	newer := make(chan struct{})
	group, groupCtx := errgroup.WithContext(followCtx)
	group.Go(func() error {
		e.awaitNewer(groupCtx, record)
		close(newer)
		return nil
	})
	reason := e.pingOwner(groupCtx, record, newer)
	cancel()
	_ = group.Wait() // the goroutine returns no error
	if reason == notDue {
		return notDue
	}
	return e.delayClaim(ctx, reason)
}

// awaitNewer returns when the owners' topic may have a newer record.
func (e *Elector) awaitNewer(ctx context.Context, record Record) {
	from := int64(-1)
	for ctx.Err() == nil {
		page := e.readTopic(ctx, from)
		switch {
		case page.Outcome != journal.Done:
			if e.options.Clock.Sleep(ctx, storeRetry) != nil {
				return
			}
			from = -1
		case e.hasNewer(page, record):
			return
		default:
			from = page.End
		}
	}
}

// readTopic reads the topic from an offset by a long poll. A negative offset
// reads the newest records without waiting.
func (e *Elector) readTopic(ctx context.Context, from int64) journal.Page {
	page := e.fetchPage(ctx, from)
	if page.Outcome == journal.Done {
		e.recordStoreContact()
	}
	return page
}

func (e *Elector) fetchPage(ctx context.Context, from int64) journal.Page {
	if from < 0 {
		return e.options.Log.Newest(ctx, e.options.Topic)
	}
	ctx, cancel := context.WithTimeout(ctx, (longPollTimeout + clock.Second).Duration())
	defer cancel()
	return e.options.Log.Read(ctx, journal.Read{Topic: e.options.Topic, From: from, WaitMS: int64(longPollTimeout)})
}

func (e *Elector) hasNewer(page journal.Page, record Record) bool {
	found, err := e.findRecord(page)
	return err == nil && (found.Epoch > record.Epoch || found.Released && found.Epoch == record.Epoch)
}

// pingOwner pings an owner until a newer one is known or there is a reason to
// replace it.
func (e *Elector) pingOwner(ctx context.Context, record Record, newer <-chan struct{}) claimReason {
	started := e.options.Clock.Now()
	lastAnswer := started
	e.timeoutFactor = clock.TimeoutFactor(e.options.Cores)
	e.storelessSince = 0
	for {
		answer, err := e.ping(ctx, record)
		now := e.options.Clock.Now()
		switch {
		case ctx.Err() != nil:
			return notDue
		case err != nil && connectionRefused(err) && e.refusedTwice(now):
			return refusesConnections
		case err == nil && (!answer.Owner || answer.Epoch != record.Epoch):
			e.logNotOwning(record, answer, now-started)
			if answer.Epoch != record.Epoch {
				return otherEpoch
			}
			return notOwning
		case err == nil:
			lastAnswer = now
			e.timeoutFactor = clock.TimeoutFactor(answer.Cores)
			e.ownerContactAt.Store(int64(now))
			e.recordPeers(answer)
			e.options.OnOwnerAnswer(ctx, record.Address, answer)
			if reason := e.replaceReason(ctx, answer, now-started); reason != notDue {
				return reason
			}
		case now-lastAnswer > unresponsiveLimit.Scale(e.timeoutFactor) && !e.heardByNeighbour(ctx, record):
			return unresponsive
		}
		if e.options.Clock.Pause(ctx, e.pingWait(), newer) != nil || isClosed(newer) {
			return notDue
		}
	}
}

// logNotOwning logs the answer by which the entry of the newest record is taken to
// be no owner. An answer with another epoch may come from another process.
func (e *Elector) logNotOwning(record Record, answer peer.PingAnswer, watched clock.Millis) {
	e.options.Logger.Warn().Str("event", "owner_not_owning").Str("cell", e.options.Cell).Int64("epoch", record.Epoch).
		Str("owner", record.Name).Bool("answered_owner", answer.Owner).Int64("answered_epoch", answer.Epoch).
		Int64("watched_ms", int64(watched)).Send()
}

// pingWait returns the time until the next ping. Weak entries, of which there
// may be many, ping half as often, since stronger entries claim first.
func (e *Elector) pingWait() clock.Millis {
	if e.hasStrongerPeer(*e.peers.Load()) {
		return 2 * pingPeriod
	}
	return pingPeriod
}

func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

func (e *Elector) ping(ctx context.Context, record Record) (peer.PingAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout.Scale(e.timeoutFactor).Duration())
	defer cancel()
	return e.options.Ping(ctx, record.Address, peer.PingQuery{
		Name: e.options.Name, Incarnation: e.options.Incarnation, Address: e.options.Address, Epoch: record.Epoch, Cores: e.options.Cores, KnownPeersHash: e.peersHash,
	})
}

// recordPeers takes the list of entries from a ping answer. The owner omits the
// list while its hash equals the one in the query.
func (e *Elector) recordPeers(answer peer.PingAnswer) {
	if len(answer.Peers) == 0 && answer.PeersHash == e.peersHash {
		return
	}
	e.peersHash = answer.PeersHash
	e.peers.Store(&answer.Peers)
}

// connectionRefused reports whether a connection was refused. A connection
// timeout is not a refusal: the process may be busy or cut off.
func connectionRefused(err error) bool {
	var timeout net.Error
	late := errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
	return fault.OutcomeOf(err) == fault.NotSent && !late
}

// refusedTwice records a refused connection and reports whether the one before
// was recent. A single refusal may come from a process that is restarting and
// listens again soon.
func (e *Elector) refusedTwice(now clock.Millis) bool {
	refusedRecently := now-e.refusedAt < 2*pingPeriod+pingTimeout
	e.refusedAt = now
	return refusedRecently
}

// replaceReason returns the reason to replace an owner that answers pings, or
// notDue.
func (e *Elector) replaceReason(ctx context.Context, answer peer.PingAnswer, watched clock.Millis) claimReason {
	switch {
	case !answer.StateLoaded && watched > loadLimit.Scale(e.timeoutFactor):
		return notLoaded
	case !answer.StateLoaded || answer.StoreAge <= storeAgeLimit.Scale(e.timeoutFactor) || !e.storeReachable(ctx):
		e.storelessSince = 0
	case e.storelessSince == 0:
		e.storelessSince = e.options.Clock.Now()
	case e.options.Clock.Now()-e.storelessSince >= storelessLimit:
		return storeless
	}
	return notDue
}

// storeReachable reports whether the store answers this entry.
func (e *Elector) storeReachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout.Duration())
	defer cancel()
	return e.readTopic(ctx, -1).Outcome == journal.Done
}

// neighbours returns up to maxHeardQueries entries that follow this one in the
// list of all entries, which spreads the queries evenly.
func (e *Elector) neighbours() []peer.Entry {
	all := *e.peers.Load()
	self := slices.IndexFunc(all, func(other peer.Entry) bool { return other.Address == e.options.Address })
	var found []peer.Entry
	for i := 1; i <= len(all) && len(found) < maxHeardQueries; i++ {
		if other := all[(self+i)%len(all)]; other.Address != e.options.Address {
			found = append(found, other)
		}
	}
	return found
}

// heardByNeighbour queries some other entries whether the owner has answered one
// of them recently.
func (e *Elector) heardByNeighbour(ctx context.Context, record Record) bool {
	ctx, cancel := context.WithTimeout(ctx, heardQueryTimeout.Duration())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	heard := make(chan struct{}, maxHeardQueries)
	for _, other := range e.neighbours() {
		group.Go(func() error {
			answer, err := e.options.OwnerContact(ctx, other.Address, peer.OwnerContactQuery{Epoch: record.Epoch})
			if err == nil && answer.Age >= 0 && answer.Age < unresponsiveLimit/2 {
				heard <- struct{}{}
			}
			return nil // no answer counts as not heard
		})
	}
	_ = group.Wait()
	return len(heard) > 0
}

// delayClaim waits before a claim: claimSpread times the rank, plus weakClaimDelay
// if a peer has over strongerCoresFactor times the cores.
func (e *Elector) delayClaim(ctx context.Context, reason claimReason) claimReason {
	wait := clock.Millis(e.options.Rank * float64(claimSpread))
	if e.hasStrongerPeer(*e.peers.Load()) {
		wait += weakClaimDelay
	}
	if e.options.Clock.Sleep(ctx, wait) != nil {
		return notDue
	}
	return reason
}
