package daemon

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/site/peer"
)

// peerRetention is how long an entry counts as a peer after its last ping.
const peerRetention clock.Millis = 3 * clock.Second

// peerPings records the entries that pinged this one recently. Entries ping the
// owner, so the owner's list holds all other entries that reach it, some time after
// a takeover.
type peerPings struct {
	mu        sync.Mutex
	byAddress map[string]peerPing
	list      []peer.Entry // sorted by address; nil: to be rebuilt from byAddress
	hash      uint64       // of list, by which a peer omits a list that the sender already has
}

// peerPing is the last ping of an entry.
type peerPing struct {
	entry peer.Entry
	at    clock.Millis
}

// recordPing records a ping and returns the recent peers with the hash of their
// list.
func (c *peerPings) recordPing(query peer.PingQuery, now clock.Millis) ([]peer.Entry, uint64) {
	entry := peer.Entry{Address: query.Address, Cores: query.Cores, Domain: query.Domain, Links: query.Links}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byAddress == nil {
		c.byAddress = map[string]peerPing{}
	}
	if c.byAddress[entry.Address].entry != entry {
		c.list = nil
	}
	c.byAddress[entry.Address] = peerPing{entry: entry, at: now}
	return c.listLocked(now)
}

// recent returns the entries that pinged this one within peerRetention.
func (c *peerPings) recent(now clock.Millis) []peer.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries, _ := c.listLocked(now)
	return entries
}

// listLocked drops outdated entries and returns the sorted list with its hash.
// The caller holds the mutex.
func (c *peerPings) listLocked(now clock.Millis) ([]peer.Entry, uint64) {
	for address, last := range c.byAddress {
		if now-last.at > peerRetention {
			delete(c.byAddress, address)
			c.list = nil
		}
	}
	if c.list == nil {
		c.list = make([]peer.Entry, 0, len(c.byAddress))
		for _, address := range slices.Sorted(maps.Keys(c.byAddress)) {
			c.list = append(c.list, c.byAddress[address].entry)
		}
		c.hash = xxhash.Sum64String(fmt.Sprint(c.list))
	}
	return c.list, c.hash
}
