package daemon

import (
	"sync"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/site/peer"
)

// callerKept is how long an entry that asked is counted among the others.
const callerKept clock.Millis = 3 * clock.Second

// callers are the entries that asked for a sign of life recently.
type callers struct {
	mu   sync.Mutex
	last map[string]caller // by address
}

type caller struct {
	entry peer.Entry
	at    clock.Millis
}

// note adds an entry and returns all.
func (c *callers) note(query peer.PingQuery, now clock.Millis) []peer.Entry {
	c.mu.Lock()
	if c.last == nil {
		c.last = map[string]caller{}
	}
	c.last[query.Address] = caller{entry: peer.Entry{Address: query.Address, Cores: query.Cores}, at: now}
	c.mu.Unlock()
	return c.recent(now)
}

// recent returns the entries that asked within the last few seconds.
func (c *callers) recent(now clock.Millis) []peer.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := make([]peer.Entry, 0, len(c.last))
	for address, known := range c.last {
		if now-known.at > callerKept {
			delete(c.last, address)
			continue
		}
		entries = append(entries, known.entry)
	}
	return entries
}
