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

// callerKept is how long an entry that asked is counted among the others.
const callerKept clock.Millis = 3 * clock.Second

// callers are the entries that asked for a sign of life recently.
type callers struct {
	mu   sync.Mutex
	last map[string]caller // by address
	list []peer.Entry      // the same in order of address; nil: to be made anew
	hash uint64            // of the list
}

type caller struct {
	entry peer.Entry
	at    clock.Millis
}

// note adds an entry and returns all, with a hash by which lists can be compared.
func (c *callers) note(query peer.PingQuery, now clock.Millis) ([]peer.Entry, uint64) {
	entry := peer.Entry{Address: query.Address, Cores: query.Cores, Domain: query.Domain, Links: query.Links}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil {
		c.last = map[string]caller{}
	}
	if c.last[entry.Address].entry != entry {
		c.list = nil
	}
	c.last[entry.Address] = caller{entry: entry, at: now}
	return c.listed(now)
}

// recent returns the entries that asked within the last few seconds.
func (c *callers) recent(now clock.Millis) []peer.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries, _ := c.listed(now)
	return entries
}

func (c *callers) listed(now clock.Millis) ([]peer.Entry, uint64) {
	for address, known := range c.last {
		if now-known.at > callerKept {
			delete(c.last, address)
			c.list = nil
		}
	}
	if c.list == nil {
		c.list = make([]peer.Entry, 0, len(c.last))
		for _, address := range slices.Sorted(maps.Keys(c.last)) {
			c.list = append(c.list, c.last[address].entry)
		}
		c.hash = xxhash.Sum64String(fmt.Sprint(c.list))
	}
	return c.list, c.hash
}
