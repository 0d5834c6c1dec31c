package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

const (
	// snapshotEvery is the longest time between snapshots.
	snapshotEvery clock.Millis = 10 * clock.Minute
	// snapshotsKept is how many snapshots the log holds at any time, so that some
	// may fail.
	snapshotsKept = 4
	// snapshotRecords asks for a snapshot sooner in a busy cell, to bound replay.
	snapshotRecords stream.Offset = 50_000
	// firstSnapshotAfter is when a new owner writes one, since it does not know
	// how old the newest is.
	firstSnapshotAfter clock.Millis = 20 * clock.Second
	// snapshotAgain is the wait after a snapshot that could not be finished.
	snapshotAgain clock.Millis = 30 * clock.Second
)

// copying is the writing of a snapshot into the stream, chunk by chunk.
type copying struct {
	next    clock.Millis  // when the next one is due
	at      stream.Offset // position of the newest one
	chunks  [][]byte      // still to be written
	waiting bool          // a chunk has no outcome yet
}

// snapshot writes the state into the stream when it is due. Each chunk waits
// for the one before, which also spreads the bytes over time.
func (sched *scheduler) snapshot(now clock.Millis) {
	at := &sched.copying
	if at.waiting {
		return
	}
	if len(at.chunks) > 0 {
		sched.writeChunk(at)
		return
	}
	state := sched.owner.state
	if now < at.next && state.Applied()-at.at < snapshotRecords {
		return
	}
	at.at = state.Applied()
	at.next = now + sched.within(snapshotEvery)
	at.chunks = cell.Chunks(at.at, state.Snapshot())
	sched.owner.count.Snapshots++
}

// within shortens a time so that the log keeps several snapshots.
func (sched *scheduler) within(span clock.Millis) clock.Millis {
	retention := sched.owner.options.LogRetention
	if retention == 0 {
		return span
	}
	return min(span, retention/snapshotsKept)
}

func (sched *scheduler) writeChunk(at *copying) {
	at.waiting = true
	chunk := at.chunks[0]
	owner := sched.owner
	owner.add(chunk, func(_ stream.Offset, err error) {
		if owner.sched != sched {
			return
		}
		at.waiting = false
		if err != nil {
			at.chunks = nil
			at.next = owner.now() + sched.within(snapshotAgain)
			return
		}
		at.chunks = at.chunks[1:]
	})
}
