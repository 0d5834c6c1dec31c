package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

const (
	// heartbeatEvery bounds how long an owner's death stays unseen.
	heartbeatEvery clock.Millis = clock.Second
	// presenceEvery is the time between signs of an entry that only renews.
	presenceEvery clock.Millis = 10 * clock.Second
	// presenceSoon is the same while an entry of another failure domain owns
	// the cell, so that it learns soon that this domain is back.
	presenceSoon clock.Millis = 2 * clock.Second
	// maxSigns may be on their way at once; a slow log needs several.
	maxSigns = 6
)

// sign writes a heartbeat or presence when one is due.
func (owner *Owner) sign(now clock.Millis) {
	if now < owner.nextSign || owner.signs.Waiting() >= maxSigns {
		return
	}
	if owner.Owns() {
		owner.heartbeat(now)
		owner.nextSign = now + heartbeatEvery
		return
	}
	if owner.options.Domain != owner.domain {
		return
	}
	owner.presence(now)
	owner.nextSign = now + presenceEvery
	if _, domain := owner.state.Owner(); domain != owner.domain {
		owner.nextSign = now + presenceSoon
	}
}

func (owner *Owner) heartbeat(now clock.Millis) {
	number := owner.signs.Add(now)
	elapsed := now - owner.sched.beat
	owner.sched.beat = now
	owner.add(cell.Encode(cell.Heartbeat{
		Epoch: owner.ownEpoch, Elapsed: elapsed, Entry: owner.options.Entry,
		Number: number, ReadTo: owner.state.Applied(),
	}), owner.signDone(number))
}

func (owner *Owner) presence(now clock.Millis) {
	number := owner.signs.Add(now)
	owner.add(cell.Encode(cell.Presence{
		Entry: owner.options.Entry, Domain: owner.options.Domain,
		Number: number, ReadTo: owner.state.Applied(),
	}), owner.signDone(number))
}

func (owner *Owner) signDone(number uint64) func(stream.Offset, error) {
	return func(_ stream.Offset, err error) {
		if err != nil {
			owner.signs.Lost(number)
		}
	}
}

// signed follows a heartbeat or presence that was read.
func (owner *Owner) signed(event cell.Event, now clock.Millis) {
	owner.peers.Sign(event, now)
	if owner.mine(event) {
		owner.signs.Read(event.Number)
	}
	if event.Kind == cell.KindHeartbeat && event.Valid {
		owner.view.heard = now
	}
}
