package lease

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// Peers keeps the signs of all entries in one cell's stream, as read.
type Peers struct {
	since   clock.Millis // when this reader began; older signs are unknown to it
	writers map[string]sign
	drops   map[string]drop // by worker
}

// sign is what is known of one process that may renew.
type sign struct {
	entry  string
	domain string
	seen   clock.Millis // when its newest sign was read
	readTo stream.Offset
}

// drop is a worker of which the renewals are to end.
type drop struct {
	offset stream.Offset
	read   clock.Millis
	told   map[string]clock.Millis // writer: when a sign showed that it had read the drop
}

// maxWriters bounds what is kept; writers are dropped once they can't matter.
const maxWriters = 4096

// NewPeers returns an empty record of signs, begun now.
func NewPeers(now clock.Millis) *Peers {
	return &Peers{since: now, writers: map[string]sign{}, drops: map[string]drop{}}
}

// Sign takes note of a heartbeat or presence. Heartbeats give no domain.
func (peers *Peers) Sign(event cell.Event, now clock.Millis) {
	if _, known := peers.writers[event.Writer]; !known && len(peers.writers) >= maxWriters {
		peers.forget()
	}
	next := sign{entry: event.Entry, domain: event.Domain, seen: now, readTo: event.ReadTo}
	if next.domain == "" {
		next.domain = peers.writers[event.Writer].domain
	}
	next.readTo = max(next.readTo, peers.writers[event.Writer].readTo)
	peers.writers[event.Writer] = next
	for _, at := range peers.drops {
		if _, told := at.told[event.Writer]; !told && next.readTo >= at.offset {
			at.told[event.Writer] = now
		}
	}
}

// forget drops the writer that was silent longest and counts it as unknown.
func (peers *Peers) forget() {
	oldest := ""
	for name, writer := range peers.writers {
		if oldest == "" || writer.seen < peers.writers[oldest].seen {
			oldest = name
		}
	}
	peers.since = max(peers.since, peers.writers[oldest].seen)
	delete(peers.writers, oldest)
}

// Seen reports when the newest sign of a failure domain's entries was read.
func (peers *Peers) Seen(domain string) (newest clock.Millis, entry string) {
	newest = -1
	for _, writer := range peers.writers {
		if writer.domain != domain {
			continue
		}
		if writer.seen > newest || writer.seen == newest && writer.entry < entry {
			newest, entry = writer.seen, writer.entry
		}
	}
	return newest, entry
}

// Others reports whether an entry of a failure domain, other than the named
// one, has written a sign since a time.
func (peers *Peers) Others(domain, entry string, since clock.Millis) bool {
	for _, writer := range peers.writers {
		if writer.domain == domain && writer.entry != entry && writer.seen >= since {
			return true
		}
	}
	return false
}

// Drop takes note that a worker was dropped by the record at an offset.
func (peers *Peers) Drop(vm string, offset stream.Offset, now clock.Millis) {
	if _, known := peers.drops[vm]; known {
		return
	}
	peers.drops[vm] = drop{offset: offset, read: now, told: map[string]clock.Millis{}}
}

// Readmit takes note that a worker is in use again.
func (peers *Peers) Readmit(vm string) { delete(peers.drops, vm) }

// OverAt returns when every lease of a dropped worker must be over, whatever
// happened to its orders. Unknown workers return false.
func (peers *Peers) OverAt(vm string, terms cell.Terms) (clock.Millis, bool) {
	at, known := peers.drops[vm]
	if !known {
		return 0, false
	}
	over := max(at.read+Slack(StartAllowance+terms.Lease), peers.since+Slack(terms.Life()))
	for name, writer := range peers.writers {
		if told, yes := at.told[name]; yes {
			over = max(over, told+Slack(terms.Lease))
			continue
		}
		over = max(over, writer.seen+Slack(terms.Life()))
	}
	return over, true
}
