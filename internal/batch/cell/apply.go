package cell

import (
	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// Event is one record as it was applied.
type Event struct {
	Kind   Kind
	Valid  bool
	Offset stream.Offset
	Writer string
	ID     string // job, where the record names one
	VM     string // worker, where the record names or frees one
	Job    *Job   // the job after the record; nil for a void record on an unknown one
	Entry  string // writer's entry, of claims and signs
	Domain string // failure domain of Entry, of claims and presences
	Number uint64 // of heartbeats and presences
	ReadTo stream.Offset
	Phase  worker.Phase // how an attempt ended
	Size   int          // bytes
}

// seen is what is known of one writer's appends.
type seen struct {
	High uint64        `cbor:"1,keyasint"`           // highest sequence applied
	Mask uint64        `cbor:"2,keyasint,omitempty"` // bit n: High-1-n was applied
	Last stream.Offset `cbor:"3,keyasint"`           // offset of the newest applied append
}

// sequenceWindow is how far back an append out of order is still applied.
const sequenceWindow = 64

// mark returns the entry after a sequence, and false for one applied before or
// too old to tell.
func (writer seen) mark(sequence uint64) (seen, bool) {
	if sequence > writer.High {
		shift := sequence - writer.High
		writer.Mask <<= shift
		if writer.High > 0 && shift <= sequenceWindow {
			writer.Mask |= 1 << (shift - 1)
		}
		writer.High = sequence
		return writer, true
	}
	back := writer.High - sequence
	if back == 0 || back > sequenceWindow {
		return writer, false
	}
	bit := uint64(1) << (back - 1)
	if writer.Mask&bit != 0 {
		return writer, false
	}
	writer.Mask |= bit
	return writer, true
}

// Apply takes the next record of the stream. The events are valid until the
// next call; a record at or before Applied gives none.
//
//	bytes ─> batch ─> duplicate append? ─> each record ─> valid or void
func (cell *State) Apply(rec stream.Record) []Event {
	cell.events = cell.events[:0]
	if rec.Offset <= cell.applied {
		return nil
	}
	cell.applied = rec.Offset
	batch, err := DecodeBatch(rec.Data)
	if errors.Is(err, ErrNewer) {
		cell.untrusted = "a record has a newer version"
		return nil
	}
	if err != nil {
		cell.count.Malformed++
		return nil
	}
	if !cell.first(batch, rec.Offset) {
		cell.count.Duplicates++
		return nil
	}
	for _, data := range batch.Records {
		cell.applyOne(data, batch.Writer)
	}
	return cell.events
}

// first reports whether an append was not applied before.
func (cell *State) first(batch Batch, offset stream.Offset) bool {
	next, fresh := cell.writers[batch.Writer].mark(batch.Sequence)
	if !fresh && !cell.rules.NoDedupe {
		return false
	}
	next.Last = offset
	if _, known := cell.writers[batch.Writer]; !known && len(cell.writers) >= maxWriters {
		cell.forgetWriter()
	}
	cell.writers[batch.Writer] = next
	return true
}

// forgetWriter drops the writer that was silent longest.
func (cell *State) forgetWriter() {
	oldest := ""
	for name, writer := range cell.writers {
		if oldest == "" || writer.Last < cell.writers[oldest].Last {
			oldest = name
		}
	}
	delete(cell.writers, oldest)
}

func (cell *State) applyOne(data []byte, writer string) {
	if len(data) == 0 {
		cell.count.Malformed++
		return
	}
	event := Event{Kind: Kind(data[0]), Offset: cell.applied, Writer: writer, Size: len(data)}
	known, err := cell.dispatch(data[1:], &event)
	if !known {
		cell.untrusted = "a record has an unknown kind"
		return
	}
	if err != nil {
		cell.count.Malformed++
		return
	}
	if event.Valid {
		cell.count.Valid++
	} else {
		cell.count.Void++
	}
	cell.events = append(cell.events, event)
}

// dispatch decodes one record and applies it; known is false for a kind that a
// later release writes.
func (cell *State) dispatch(data []byte, event *Event) (known bool, err error) {
	switch event.Kind {
	case KindSubmit:
		return true, with(data, event, cell.submit)
	case KindCancel:
		return true, with(data, event, cell.cancel)
	case KindClaim:
		return true, with(data, event, cell.claim)
	case KindHeartbeat:
		return true, with(data, event, cell.heartbeat)
	case KindPresence:
		return true, with(data, event, cell.presence)
	case KindStart:
		return true, with(data, event, cell.start)
	case KindEnd:
		return true, with(data, event, cell.end)
	case KindEvict:
		return true, with(data, event, cell.evict)
	case KindPark:
		return true, with(data, event, cell.park)
	case KindHandover:
		return true, with(data, event, cell.handover)
	case KindTerms:
		return true, with(data, event, cell.setTerms)
	case KindDrop:
		return true, with(data, event, cell.drop)
	case KindReadmit:
		return true, with(data, event, cell.readmit)
	case KindHand:
		return true, with(data, event, cell.hand)
	case KindReceipt:
		return true, with(data, event, cell.receipt)
	case KindGiveBack:
		return true, with(data, event, cell.giveBack)
	case KindResult:
		return true, with(data, event, cell.result)
	case KindDelivered:
		return true, with(data, event, cell.delivered)
	case KindSnapshot:
		return true, with(data, event, cell.chunk)
	case KindSilent:
		return true, with(data, event, cell.silent)
	}
	return false, nil
}

func with[B any](data []byte, event *Event, apply func(B, *Event) bool) error {
	var body B
	if err := codec.Unmarshal(data, &body); err != nil {
		return err
	}
	event.Valid = apply(body, event)
	return nil
}

// current reports whether a record of an owner is of the epoch in force.
func (cell *State) current(epoch int64) bool {
	if cell.rules.NoFence {
		return true
	}
	return cell.owner != "" && epoch == cell.epoch
}

func (cell *State) claim(body Claim, event *Event) bool {
	event.Entry, event.Domain = body.Entry, body.Domain
	if body.Epoch != cell.epoch+1 || body.Entry == "" {
		return false
	}
	cell.epoch = body.Epoch
	cell.owner, cell.domain, cell.heir = body.Entry, body.Domain, ""
	return true
}

func (cell *State) handover(body Handover, event *Event) bool {
	event.Entry = body.To
	if !cell.current(body.Epoch) {
		return false
	}
	cell.owner, cell.domain, cell.heir = "", "", body.To
	return true
}

func (cell *State) heartbeat(body Heartbeat, event *Event) bool {
	event.Entry, event.Number, event.ReadTo = body.Entry, body.Number, body.ReadTo
	if !cell.current(body.Epoch) {
		return false
	}
	cell.now += min(max(body.Elapsed, 0), clock.Hour)
	cell.forget()
	return true
}

func (cell *State) presence(body Presence, event *Event) bool {
	event.Entry, event.Domain, event.Number, event.ReadTo = body.Entry, body.Domain, body.Number, body.ReadTo
	return true
}

func (cell *State) silent(body Silent, event *Event) bool {
	event.Entry, event.VM = body.Entry, body.VM
	return true
}

// setTerms keeps the longer of the old and new terms in mind until no renewal
// under the old ones can be alive.
func (cell *State) setTerms(body SetTerms, _ *Event) bool {
	if !cell.current(body.Epoch) || body.Terms.Hold < 0 || body.Terms.Lease <= 0 {
		return false
	}
	longest := cell.LongestTerms()
	cell.previous = longest
	cell.until = cell.now + 2*longest.Life()
	cell.terms = body.Terms
	return true
}

func (cell *State) drop(body Drop, event *Event) bool {
	event.VM = body.VM
	if !cell.current(body.Epoch) || body.VM == "" {
		return false
	}
	vm := cell.vm(body.VM)
	if vm.Dropped != 0 {
		return false
	}
	vm.Dropped = cell.applied
	return true
}

func (cell *State) readmit(body Readmit, event *Event) bool {
	event.VM = body.VM
	vm := cell.vms[body.VM]
	if !cell.current(body.Epoch) || vm == nil || vm.Dropped == 0 || len(vm.Jobs) > 0 {
		return false
	}
	vm.Dropped = 0
	cell.tidy(body.VM)
	return true
}

func (cell *State) vm(name string) *VM {
	vm := cell.vms[name]
	if vm == nil {
		vm = &VM{Jobs: map[string]bool{}}
		cell.vms[name] = vm
	}
	return vm
}

// tidy lets go of a worker of which nothing needs to be kept.
func (cell *State) tidy(name string) {
	vm := cell.vms[name]
	if vm != nil && vm.Dropped == 0 && len(vm.Jobs) == 0 {
		delete(cell.vms, name)
	}
}

// end is the place of an over job in the order of ends.
type end struct {
	id  string
	seq int64
}

// close ends a job for this cell. A guest is remembered from the delivery of
// its result on, so that it can't be forgotten before.
func (cell *State) close(entry *Job, phase job.Phase, reason string) {
	entry.Phase = phase
	entry.Reason = cut(reason, maxReasonBytes)
	entry.Result = entry.From != ""
	if phase == job.Finished {
		cell.count.Finished++
	}
	if !entry.Result {
		cell.remember(entry)
	}
}

func (cell *State) remember(entry *Job) {
	cell.endSeq++
	entry.EndSeq = cell.endSeq
	entry.EndedAt = cell.now
	entry.Spec.Payload = "" // no attempt will need it
	cell.ended = append(cell.ended, end{id: entry.ID, seq: entry.EndSeq})
	cell.endCount++
}

// forget lets go of ended jobs whose time is over.
func (cell *State) forget() {
	for len(cell.ended) > 0 {
		oldest := cell.ended[0]
		entry := cell.jobs[oldest.id]
		if entry != nil && entry.EndSeq == oldest.seq {
			if !cell.expired(entry) {
				return
			}
			delete(cell.jobs, oldest.id)
			cell.endCount--
		}
		cell.ended = cell.ended[1:]
	}
}

func (cell *State) expired(entry *Job) bool {
	age := cell.now - entry.EndedAt
	return age > Memory || (cell.endCount > maxEnded && age > minMemory)
}
