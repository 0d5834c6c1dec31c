package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/batch/lease"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

const (
	// viewGap is the longest time between two reads to the end of the stream
	// that still counts as an unbroken view.
	viewGap clock.Millis = 3 * clock.Second
)

// view is how far and how steadily the stream was read.
type view struct {
	next   stream.Offset
	ready  bool            // the state is as of some end of the stream
	scan   *cell.Collector // looks for a snapshot, while set
	since  clock.Millis    // start of the unbroken view
	atEnd  clock.Millis    // start of the newest read that reached the end
	broken bool
	heard  clock.Millis // when the newest record of the owner in force was read
}

// restart forgets what was read, to begin from the oldest record kept.
func (owner *Owner) restart() {
	owner.state = cell.NewWith(owner.options.Cell, owner.broken.rules)
	owner.view = view{next: 1, broken: true}
	owner.peers = lease.NewPeers(owner.now())
	owner.sched = nil
}

// Read takes the result of a read that was begun at sentAt from Next.
func (owner *Owner) Read(page stream.Page, sentAt clock.Millis) {
	now := owner.now()
	if page.First > owner.view.next {
		owner.expired(page)
	}
	from := owner.view.next
	for _, rec := range page.Records {
		if rec.Offset < from {
			continue
		}
		owner.options.Journal.Seen(owner.stream, rec)
		owner.take(rec, now)
	}
	owner.view.next = page.Next(from)
	if !page.AtEnd(from) {
		return
	}
	if owner.view.scan != nil {
		owner.scanned(page)
		return
	}
	owner.reachedEnd(sentAt, now)
}

// ReadFailed says that the stream could not be read.
func (owner *Owner) ReadFailed() { owner.view.broken = true }

// expired begins a search for a snapshot, because records were lost to
// retention before they were read.
func (owner *Owner) expired(page stream.Page) {
	owner.restart()
	owner.view.scan = cell.NewCollector(owner.broken.rules)
	owner.view.next = page.First
	owner.options.Log.Info().Str("cell", owner.options.Cell).Int64("first", int64(page.First)).
		Msg("searching the stream for a snapshot")
}

// scanned begins from the newest snapshot, once the whole stream was searched.
func (owner *Owner) scanned(page stream.Page) {
	found := owner.view.scan.State()
	if found == nil || found.Applied()+1 < page.First {
		return // goes on searching: an owner may still write one
	}
	owner.state = found
	owner.view.scan = nil
	owner.view.next = found.Applied() + 1
	now := owner.now()
	owner.state.VMs(func(name string, vm *cell.VM) {
		if vm.Dropped != 0 {
			owner.peers.Drop(name, vm.Dropped, now)
		}
		owner.renewals.SetIfAbsent(name, now)
	})
}

func (owner *Owner) take(rec stream.Record, now clock.Millis) {
	if owner.view.scan != nil {
		owner.view.scan.Add(rec)
		return
	}
	for _, event := range owner.state.Apply(rec) {
		owner.handle(event, now)
	}
}

func (owner *Owner) reachedEnd(sentAt, now clock.Millis) {
	if owner.view.broken || sentAt-owner.view.atEnd > viewGap {
		owner.view.since = sentAt
	}
	owner.view.broken = false
	owner.view.atEnd = max(owner.view.atEnd, sentAt)
	if !owner.view.ready {
		owner.view.ready = true
		owner.view.heard = now
	}
}

// silence returns for how long the owner in force is proved to be silent.
func (owner *Owner) silence() clock.Millis {
	if owner.view.broken {
		return 0
	}
	return owner.view.atEnd - max(owner.view.heard, owner.view.since)
}

// handle follows one applied record.
func (owner *Owner) handle(event cell.Event, now clock.Millis) {
	switch event.Kind {
	case cell.KindClaim:
		owner.claimed(event, now)
	case cell.KindHandover:
		owner.handedOver(event, now)
	case cell.KindHeartbeat, cell.KindPresence:
		owner.signed(event, now)
	case cell.KindDrop:
		owner.dropped(event, now)
	case cell.KindReadmit:
		owner.readmitted(event)
	case cell.KindStart:
		if event.Valid {
			owner.renewals.SetIfAbsent(event.VM, now)
		}
	case cell.KindEnd, cell.KindEvict:
		owner.settled(event)
	}
	if owner.mine(event) && !event.Valid {
		owner.count.VoidOwn++
	}
	if owner.sched != nil {
		owner.sched.handle(event, now)
	}
}
