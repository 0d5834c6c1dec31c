package daemon

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/site/ownership"
	"github.com/oriolepier/oriolepier/internal/site/peer"
	"github.com/oriolepier/oriolepier/internal/site/runtime"
)

// An owner that the store does not answer may have been replaced without its knowledge.
// It queries the other entries: one that still follows the owner's epoch has not begun
// a later ownership when it answers. If all of them answer so, no later owner had
// accepted a job when the queries were sent, and the owner can refuse jobs for certain.

// Times of the queries for a later owner.
const (
	laterOwnerPeriod  clock.Millis = 200 // between two rounds of queries
	laterOwnerTimeout clock.Millis = 250 // for one round
	// laterOwnerStoreAge is the time since the store's last confirmation after which
	// queries begin. Other entries claim the cell from 1,100 ms.
	laterOwnerStoreAge clock.Millis = 900
	// entryRetention is the time since an entry's last ping for which it is queried. It
	// is long, since an entry that cannot be reached may be the owner, and longer than
	// entries rely on being queried.
	entryRetention = 2 * ownership.AskedFor
)

// maxLaterOwnerQueries bounds the queries of a round that are under way.
const maxLaterOwnerQueries = 16

// knownEntries are the entries that may own the cell, by address, with the time of
// their last ping.
type knownEntries struct {
	mu    sync.Mutex
	heard map[string]clock.Millis
}

// recordPing records a ping. An entry that leaves is removed, as it does not claim any
// more.
func (k *knownEntries) recordPing(address string, leaving bool, now clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.heard == nil {
		k.heard = map[string]clock.Millis{}
	}
	if leaving {
		delete(k.heard, address)
		return
	}
	k.heard[address] = now
}

// addresses returns the addresses of the entries, without those that have been gone
// for entryRetention.
func (k *knownEntries) addresses(now clock.Millis) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var found []string
	for address, at := range k.heard {
		if now-at > entryRetention {
			delete(k.heard, address)
			continue
		}
		found = append(found, address)
	}
	return found
}

// watchLaterOwners informs the owner in this process, while the store does not answer
// it, that no other entry knows a later owner.
func (d *Daemon) watchLaterOwners(ctx context.Context, run *runtime.Runtime) error {
	begun := d.clock.Now()
	for _, entry := range d.elector.Peers() {
		d.knownEntries.recordPing(entry.Address, false, begun)
	}
	for d.clock.Sleep(ctx, laterOwnerPeriod) == nil {
		age, loaded := run.StoreAge()
		sent := d.clock.Now()
		// Before peerRetention, entries may not have pinged the new owner yet.
		if !loaded || age <= laterOwnerStoreAge || sent-begun <= peerRetention {
			continue
		}
		if d.noLaterOwner(ctx, run.Epoch()) {
			run.NoLaterOwner(sent)
		}
	}
	return nil
}

// noLaterOwner reports whether all other entries answer that they follow the owner of
// an epoch.
func (d *Daemon) noLaterOwner(ctx context.Context, epoch int64) bool {
	ctx, cancel := context.WithTimeout(ctx, laterOwnerTimeout.Duration())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxLaterOwnerQueries)
	for _, address := range d.knownEntries.addresses(d.clock.Now()) {
		if address == d.peerAddress() {
			continue
		}
		group.Go(func() error {
			answer, err := d.peers.OwnerContact(ctx, address, peer.OwnerContactQuery{Epoch: epoch})
			if err == nil && answer.Age < 0 {
				return errors.Errorf("entry %s does not follow the owner of epoch %d", address, epoch)
			}
			return err
		})
	}
	return group.Wait() == nil
}
