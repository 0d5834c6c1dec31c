package owner

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// appendTimes are how long an append takes to reach the store, and its answer to
// reach the owner.
type appendTimes struct{ request, answer clock.Millis }

// defaultAppendTimes are those of a store that is not loaded.
var defaultAppendTimes = appendTimes{request: 4, answer: 4}

// append stores records if the owner's epoch is the newest when they reach the
// store.
func (sim *simulation) append(s *simOwner, records []journal.Record) {
	if sim.storeDown || s.storeUnreachable {
		sim.at(100, func() { sim.retryAppend(s, records) })
		return
	}
	times := defaultAppendTimes
	if sim.drawAppend != nil {
		times = sim.drawAppend()
	}
	sim.at(times.request, func() { sim.storeInTurn(s, sim.appendsOf(records), times) })
}

// storeInTurn stores the records of one append after the other, until a newer owner has
// fenced this one or it is killed.
func (sim *simulation) storeInTurn(s *simOwner, appends [][]journal.Record, times appendTimes) {
	if s.epoch < sim.epoch {
		sim.at(times.answer, func() { sim.deliver(s, func() { s.owner.Appended(journal.Superseded) }) })
		return
	}
	sim.storeRecords(appends[0])
	sim.auditRecords(appends[0])
	delay := times.answer
	if sim.rng.Float64() < sim.lostAppendAnswers {
		delay = 400 // the retry is answered like the first append
	}
	if len(appends) == 1 {
		sim.at(delay, func() { sim.deliver(s, func() { s.owner.Appended(journal.Done) }) })
		return
	}
	sim.at(delay+times.request, func() {
		if !s.down {
			sim.storeInTurn(s, appends[1:], times)
		}
	})
}

// appendsOf divides records as the runtime does: a batch above the largest append goes
// over several.
func (sim *simulation) appendsOf(records []journal.Record) [][]journal.Record {
	var appends [][]journal.Record
	size := 0
	for _, record := range records {
		if sim.limits.RecordBytes > 0 && record.Bytes() > sim.limits.RecordBytes {
			sim.violationf("record %s has %d bytes", record.Key, record.Bytes())
		}
		if size += record.Bytes(); len(appends) == 0 || sim.limits.RequestBytes > 0 && size > sim.limits.RequestBytes {
			appends, size = append(appends, nil), record.Bytes()
		}
		appends[len(appends)-1] = append(appends[len(appends)-1], record)
	}
	return appends
}

func (sim *simulation) retryAppend(s *simOwner, records []journal.Record) {
	if !s.down {
		sim.append(s, records)
	}
}

func (sim *simulation) storeRecords(records []journal.Record) {
	for _, record := range records {
		if record.Value == nil {
			delete(sim.stored, record.Key)
			continue
		}
		sim.stored[record.Key] = record
	}
}

func (sim *simulation) records() []journal.Stored {
	keys := make([]string, 0, len(sim.stored))
	for key := range sim.stored {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var records []journal.Stored
	for _, key := range keys {
		records = append(records, journal.Stored{Record: sim.stored[key]})
	}
	return records
}
