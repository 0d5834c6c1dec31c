package owner

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// An owner records which workers are unresponsive and how long their leases can
// still last, and grants no lease there, by a hold or by a start, until a later list
// without them is recorded. The next owner therefore need not wait for the longest
// lease that might have been granted. Lists are numbered as they are encoded, which
// is also the sequence in which they are recorded.

// unresponsiveList is the durable list of unresponsive workers.
type unresponsiveList struct {
	_       struct{} `cbor:",toarray"`
	Epoch   int64    // epoch of the owner that wrote it
	Workers []unresponsiveWorker
}

// unresponsiveWorker is a worker on the list. Remaining is the time from the
// encoding of the record until every lease on the worker has expired. A later owner
// counts it from its fence, before which the record was encoded.
type unresponsiveWorker struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	Remaining clock.Millis
}

// notListed is the recorded rest of a worker that is not on the loaded list.
const notListed clock.Millis = -1

// loadedList summarizes the list of unresponsive workers that an owner loaded, for
// its log lines.
type loadedList struct {
	epoch               int64 // of the owner that wrote it; 0: there was none
	workers             int
	leastRest, mostRest clock.Millis // remaining times of leases in it; notListed without workers
}

// summary summarizes a list of unresponsive workers.
func (l unresponsiveList) summary() loadedList {
	sum := loadedList{epoch: l.Epoch, workers: len(l.Workers), leastRest: notListed, mostRest: notListed}
	for i, recorded := range l.Workers {
		if i == 0 || recorded.Remaining < sum.leastRest {
			sum.leastRest = recorded.Remaining
		}
		sum.mostRest = max(sum.mostRest, recorded.Remaining)
	}
	return sum
}

// plus adds the summary of another record of the list.
func (l loadedList) plus(other loadedList) loadedList {
	sum := loadedList{epoch: other.epoch, workers: l.workers + other.workers, leastRest: other.leastRest, mostRest: max(l.mostRest, other.mostRest)}
	if other.workers == 0 || l.workers > 0 && l.leastRest < other.leastRest {
		sum.leastRest = l.leastRest
	}
	return sum
}

// unresponsiveRecordPeriod is the time between records of the list while a
// worker is unresponsive, as the remaining time of its leases decreases.
const unresponsiveRecordPeriod clock.Millis = 500

// unnamed is the number of the list that names a worker if none does.
const unnamed = -1

// isDelistingRecorded reports whether the newest recorded list does not name a
// worker, and none that may be recorded later does.
func (o *Owner) isDelistingRecorded(w *worker) bool {
	return w.namedInList == unnamed || w.namedInList < o.listsRecorded
}

// previousOwnerLeaseSpan is how long after the fence a run may continue, under leases of
// previous owners. The directly preceding one renews leases for the window that it
// recorded, if it asked this entry for a later owner, and its list of unresponsive workers
// covers the leases of those before it. If it did not ask, or recorded no list, only
// RenewLimit is certain.
func (o *Owner) previousOwnerLeaseSpan() clock.Millis {
	if o.unresponsiveListCurrent && o.options.PreviousRenewWindow > 0 {
		return o.renewedLeaseSpan(o.options.PreviousRenewWindow)
	}
	return o.renewedLeaseSpan(o.options.Times.RenewLimit)
}

// renewedLeaseSpan is how long after the fence leases can last that the previous owner
// renews for a window. It sends no start after the fence, so the longest leases are counted
// from there.
func (o *Owner) renewedLeaseSpan(window clock.Millis) clock.Millis {
	return max(window+o.slowClockSpan(o.options.Times.Lease), o.longestLeaseSpan())
}

// longestLeaseSpan is how long a lease can last that any order has granted. The end of a
// lease is a time on the clock of the incarnation that its order is meant for. If the next
// incarnation executes the order, its clock may be far behind that time, and the worker
// cuts the lease to the longest that it accepts.
func (o *Owner) longestLeaseSpan() clock.Millis { return o.slowClockSpan(o.options.Times.LongestLease) }

// slowClockSpan is how long a time on a worker's clock can take.
func (o *Owner) slowClockSpan(length clock.Millis) clock.Millis {
	return length + length*driftPercent/100 + o.options.Times.ClockSlack
}

// loadUnresponsiveLists applies the list of a previous owner, given by the keys of its
// records. Records of another epoch than the first one's belong to an older list and are
// ignored: an owner writes all records of a list in one append.
func (o *Owner) loadUnresponsiveLists(records map[string][]byte) error {
	first, stored := records[keyUnresponsive]
	if !stored {
		return nil
	}
	if err := o.loadUnresponsive(first); err != nil {
		return errors.WithMessagef(err, "load %s", keyUnresponsive)
	}
	for _, key := range slices.Sorted(maps.Keys(records)) {
		number, isPart := strings.CutPrefix(key, keyUnresponsive+"/")
		if !isPart {
			continue
		}
		if count, err := strconv.Atoi(number); err == nil {
			o.listRecords = max(o.listRecords, count)
		}
		list, err := decodeUnresponsive(records[key])
		if err != nil {
			return errors.WithMessagef(err, "load %s", key)
		}
		if list.Epoch == o.loadedList.epoch {
			o.applyUnresponsive(list)
		}
	}
	return nil
}

func decodeUnresponsive(data []byte) (unresponsiveList, error) {
	var list unresponsiveList
	err := codec.Unmarshal(data, &list)
	return list, errors.WithMessage(err, "decode the list of unresponsive workers")
}

// loadUnresponsive applies the first record of a previous owner's list.
func (o *Owner) loadUnresponsive(data []byte) error {
	list, err := decodeUnresponsive(data)
	if err != nil {
		return err
	}
	o.unresponsiveListCurrent = list.Epoch == o.options.Epoch-1
	o.applyUnresponsive(list)
	return nil
}

// applyUnresponsive applies one record of a previous owner's list.
func (o *Owner) applyUnresponsive(list unresponsiveList) {
	o.loadedList = o.loadedList.plus(list.summary())
	for _, recorded := range list.Workers {
		w := o.inheritedWorker(recorded.ID, 0)
		w.unresponsive = true
		w.namedInList = o.listsEncoded
		w.recordedRest = recorded.Remaining
		// Not limited by the renew window: a lease that an order grants late can end after it.
		w.runsEndBy, w.runsEndProof = o.fencedAt+recorded.Remaining, proof{evidence: evidenceRecordedRest, at: o.fencedAt}
	}
}

// StopEvidence is what shows that the previous owner of a cell has stopped.
type StopEvidence string

// The evidence that the previous owner has stopped.
const (
	NotStopped      StopEvidence = ""           // nothing shows it
	NeverOwned      StopEvidence = "none"       // there was no previous owner
	StopReleased    StopEvidence = "released"   // it released the cell
	StopNotOwning   StopEvidence = "not_owning" // it answered a ping: it knows its epoch, and neither owns nor claims the cell
	StopPingedOwner StopEvidence = "ping"       // it pinged this entry as the owner of the present epoch
	// StopProcessEnded: a later process of its entry listens at its address, in the same boot of the VM.
	StopProcessEnded StopEvidence = "process_ended"
)

// PreviousOwnerStopped records that the previous owner no longer grants leases. That
// says nothing of the owner before it, which may still renew leases on workers that
// the previous owner never reached; its list names these, with the time to wait. Nor
// does it of orders that are in transit to a worker that restarted.
func (o *Owner) PreviousOwnerStopped(by StopEvidence) {
	if !o.beginInput() || !o.unresponsiveListCurrent || o.previousOwnerStopped {
		return
	}
	o.previousOwnerStopped = true
	o.options.Log.Info().Str("event", "previous_owner_stopped").Int64("epoch", o.options.Epoch).
		Int64("after_ms", int64(o.now-o.claimedAt)).Int64("since_fence_ms", int64(age(o.fencedAt, o.now))).
		Str("by", string(by)).Str("name", o.options.PreviousOwner).Send()
	for _, w := range o.sortedWorkers {
		if w.lastReportAt == 0 && w.runsEndProof.evidence == evidenceRenewWindow {
			w.limitRunsEnd(proof{evidence: evidencePreviousOwnerStopped, at: o.now}, o.longestLeaseSpan())
		}
	}
}

// markUnresponsive puts a worker on the next list, and stops granting leases there.
func (o *Owner) markUnresponsive(w *worker) {
	if w.unresponsive {
		return
	}
	w.unresponsive = true
	o.unresponsiveChanged = true
}

// markResponsive takes a worker off the next list.
func (o *Owner) markResponsive(w *worker) {
	if !w.unresponsive {
		return
	}
	w.unresponsive = false
	o.unresponsiveChanged = true
}

// recordUnresponsive puts the list into the next append if it has changed, or
// periodically while it is not empty.
func (o *Owner) recordUnresponsive() {
	refresh := len(o.encodedUnresponsive) > 0 && o.now-o.unresponsiveEncodedAt >= unresponsiveRecordPeriod
	if !o.unresponsiveChanged && !refresh {
		return
	}
	o.unresponsiveChanged = false
	o.unresponsiveEncodedAt = o.now
	o.listsEncoded++
	records, err := o.unresponsiveRecords(o.unresponsiveList())
	if err != nil {
		o.options.Log.Error().Err(err).Msg("cannot encode the list of unresponsive workers")
		return
	}
	o.batch.unresponsiveList, o.batch.listNumber = records, o.listsEncoded
}

// unresponsiveRecords encodes a list as records that fit the store's limit, followed by
// the removals of further records that a longer list may have had.
func (o *Owner) unresponsiveRecords(list unresponsiveList) ([]journal.Record, error) {
	limit := o.options.Limits.RecordBytes - recordReserve
	var records []journal.Record
	for rest := list.Workers; len(records) == 0 || len(rest) > 0; {
		count := workersWithin(limit, rest)
		data, err := codec.Marshal(unresponsiveList{Epoch: list.Epoch, Workers: rest[:count]})
		if err != nil {
			return nil, err
		}
		records = append(records, journal.Record{Key: listKey(len(records)), Value: data})
		rest = rest[count:]
	}
	written := len(records) - 1
	for number := written + 1; number <= o.listRecords; number++ {
		records = append(records, journal.Record{Key: listKey(number)})
	}
	o.listRecords = max(written, o.listRecords)
	return records, nil
}

// workersWithin returns how many of the first workers fit a record of limit bytes; at
// least one, if there is one.
func workersWithin(limit int, workers []unresponsiveWorker) int {
	const framePerWorker = 24 // bytes besides the id: lengths and the remaining time
	count, size := 0, 0
	for count < len(workers) && (count == 0 || size+len(workers[count].ID)+framePerWorker <= limit) {
		size += len(workers[count].ID) + framePerWorker
		count++
	}
	return count
}

// listKey is the key of a record of the list.
func listKey(number int) string {
	if number == 0 {
		return keyUnresponsive
	}
	return keyUnresponsive + "/" + strconv.Itoa(number)
}

// isListKey reports whether a key is of a record of the list.
func isListKey(key string) bool {
	return key == keyUnresponsive || strings.HasPrefix(key, keyUnresponsive+"/")
}

// noteListRecorded handles the acknowledgement of the list in a batch, if it has one.
func (o *Owner) noteListRecorded(recorded *batch) {
	if recorded.unresponsiveList == nil {
		return
	}
	o.listsRecorded = recorded.listNumber
	o.placementDue = true // workers that it does not name any more may get new runs
}

// unresponsiveList builds the list for the next record, which it also sets as
// encodedUnresponsive. It marks each worker that has runs and no report of its
// current incarnation as unresponsive.
func (o *Owner) unresponsiveList() unresponsiveList {
	list := unresponsiveList{Epoch: o.options.Epoch}
	defer func() { o.encodedUnresponsive = list.Workers }()
	for _, w := range o.sortedWorkers {
		switch {
		case w.lastReportAt == 0 && len(w.runs) > 0:
			w.unresponsive = true
			w.namedInList = o.listsEncoded
			list.Workers = append(list.Workers, unresponsiveWorker{ID: w.id, Remaining: max(w.runsEndBy-o.now, 0)})
		case w.unresponsive && w.lastReportAt != 0:
			remaining := clock.Millis(w.leaseUntilMS - w.clockLowerBound(o.now))
			remaining += max(remaining, 0)*driftPercent/100 + o.options.Times.ClockSlack
			remaining = max(remaining, o.uncertainLeaseEnd(w)-o.now)
			w.namedInList = o.listsEncoded
			list.Workers = append(list.Workers, unresponsiveWorker{ID: w.id, Remaining: max(remaining, 0)})
		}
	}
	return list
}
