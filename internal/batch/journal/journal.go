// Package journal appends an entry's records to log streams in groups and
// settles what became of each.
//
// Records added for one stream within a short time travel in one append, so
// that appends a second do not grow with records a second. An append is known
// by (writer, sequence); one whose answer was lost is sent again under the same
// sequence until it is acknowledged or read back, and readers drop the second
// copy. Several appends of a stream may be under way at once, so that a slow log
// costs time but not throughput.
//
//	Add ──> open group ──interval──> sealed ──> sent ──ack or read back──> done
//	                                   ^          │
//	                                   └─ retry ──┴─ certain failure for long ──> done(error)
//
// Records of one stream land in the order in which they were added, unless an
// append is sent again; whatever depends on that order must check it.
//
// A Journal belongs to the control thread. It starts no goroutine and reads
// only the clock it was given.
//
// # Usage
//
//	log := journal.New(journal.Options{Writer: life, Clock: clk, Append: send})
//	log.Add("cell.a.0", record, func(offset stream.Offset, err error) { ... })
//	log.Tick()              // every few milliseconds
//	log.Seen(name, record)  // for each record read from a followed stream
package journal

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

const (
	// collect is how long a group waits for company.
	collect clock.Millis = 30
	// gap is the least time between two appends of one stream, which bounds an
	// entry to five a second for each stream that it writes.
	gap clock.Millis = 200
	// burst appends may go out without the gap after a quiet time.
	burst = 3
	// maxUnderWay bounds appends without an outcome; it must stay below the
	// sequence window of the readers, with room for retries.
	maxUnderWay = 32
	// firstRetry and maxRetry bound the wait before an append is sent again.
	firstRetry clock.Millis = 250
	maxRetry   clock.Millis = 5 * clock.Second
	// answerWait is how long an answer may take before it counts as lost.
	answerWait clock.Millis = 10 * clock.Second
	// giveUp ends an append of which every try certainly did nothing.
	giveUp clock.Millis = 3 * clock.Second

	maxGroupBytes   = 512 << 10
	maxGroupRecords = 2048
	// maxWaitingBytes bounds what one stream may hold back.
	maxWaitingBytes = 16 << 20
)

// Options are what a journal needs.
type Options struct {
	Writer string // unique per process life
	Clock  clock.Clock
	// Append sends one append; done is called on the control thread, also
	// before Append returns. A lost answer is an error of outcome Unknown.
	Append func(streamName string, data []byte, done func(stream.Offset, error))
}

// Done is told the offset of the append that carries a record, or a fault whose
// outcome promises that the record is not and will not be in the stream.
type Done = func(offset stream.Offset, err error)

// Counters count appends.
type Counters struct {
	Records    int64 `json:"records"`
	Appends    int64 `json:"appends"` // sent, retries included
	Retries    int64 `json:"retries"`
	Bytes      int64 `json:"bytes"`
	Failed     int64 `json:"failed"`      // records that certainly did not land
	ReadBack   int64 `json:"read_back"`   // appends settled by reading them
	Refused    int64 `json:"refused"`     // records turned away because too much waits
	WaitingNow int64 `json:"waiting_now"` // records without an outcome
}

// Journal groups and settles appends. It is mutable.
type Journal struct {
	options Options
	streams map[string]*line
	order   []*line // as first used, so that a run can be repeated exactly
	count   Counters
}

// line is the traffic of one stream.
type line struct {
	name     string
	next     uint64 // sequence of the next group
	waiting  []entry
	bytes    int // of waiting
	since    clock.Millis
	pace     *rate.Limiter
	underWay []*group // oldest first
}

type entry struct {
	data  []byte
	done  Done
	added clock.Millis
}

// group is one append on its way.
type group struct {
	sequence uint64
	data     []byte
	entries  []entry
	sealed   clock.Millis
	sentAt   clock.Millis
	tries    int
	waiting  bool // for an answer
	unsure   bool // some try may have appended
	settled  bool
}

// New returns an empty journal.
func New(options Options) *Journal {
	return &Journal{options: options, streams: map[string]*line{}}
}

// Add puts a record into the next group of a stream. Done is called exactly
// once, unless the process ends first; it may be nil.
func (log *Journal) Add(streamName string, record []byte, done Done) {
	if done == nil {
		done = func(stream.Offset, error) {}
	}
	at := log.line(streamName)
	if at.bytes+len(record) > maxWaitingBytes || len(record) > cell.MaxRecordBytes {
		log.count.Refused++
		done(0, fault.Newf(fault.NotSent, "append", streamName, "too much waits for the log"))
		return
	}
	now := log.options.Clock.Now()
	if len(at.waiting) == 0 {
		at.since = now
	}
	at.waiting = append(at.waiting, entry{data: record, done: done, added: now})
	at.bytes += len(record)
	log.count.Records++
	log.count.WaitingNow++
}

// Tick sends what is due. Call it every few milliseconds.
func (log *Journal) Tick() {
	now := log.options.Clock.Now()
	for _, at := range log.order {
		log.retry(at, now)
		log.withdraw(at, now)
		log.seal(at, now)
	}
}

// Seen settles appends of this journal that were read from their stream.
func (log *Journal) Seen(streamName string, rec stream.Record) {
	at, ok := log.streams[streamName]
	if !ok || len(at.underWay) == 0 {
		return
	}
	batch, err := cell.DecodeBatch(rec.Data)
	if err != nil || batch.Writer != log.options.Writer {
		return
	}
	for _, sent := range at.underWay {
		if sent.sequence == batch.Sequence {
			log.count.ReadBack++
			log.settle(at, sent, rec.Offset, nil)
			return
		}
	}
}

// Backlog returns how many records of a stream have no outcome yet.
func (log *Journal) Backlog(streamName string) int {
	at, ok := log.streams[streamName]
	if !ok {
		return 0
	}
	total := len(at.waiting)
	for _, sent := range at.underWay {
		total += len(sent.entries)
	}
	return total
}

// Writer returns the name under which the journal appends.
func (log *Journal) Writer() string { return log.options.Writer }

// Counters returns counts of what was appended.
func (log *Journal) Counters() Counters { return log.count }

func (log *Journal) line(name string) *line {
	at, ok := log.streams[name]
	if !ok {
		at = &line{name: name, next: 1, pace: rate.NewLimiter(rate.Every(gap.Duration()), burst)}
		log.streams[name] = at
		log.order = append(log.order, at)
	}
	return at
}

// seal closes the open group and sends it, when it is due.
func (log *Journal) seal(at *line, now clock.Millis) {
	if len(at.waiting) == 0 || now-at.since < collect || at.full() {
		return
	}
	if !at.pace.AllowN(time.UnixMilli(int64(now)), 1) {
		return
	}
	size, bytes := at.take()
	entries := at.waiting[:size:size]
	at.waiting = at.waiting[size:]
	at.bytes -= bytes
	at.since = now
	records := make([][]byte, 0, size)
	for _, item := range entries {
		records = append(records, item.data)
	}
	sent := &group{sequence: at.next, entries: entries, sealed: now}
	sent.data = cell.EncodeBatch(cell.Batch{Writer: log.options.Writer, Sequence: at.next, Records: records})
	at.next++
	at.underWay = append(at.underWay, sent)
	log.send(at, sent, now)
}

// full reports whether another group could leave the readers' window.
func (at *line) full() bool {
	return len(at.underWay) > 0 && at.next-at.underWay[0].sequence >= maxUnderWay
}

// take returns how many waiting records fit one group, and their bytes.
func (at *line) take() (size, bytes int) {
	for _, item := range at.waiting {
		if size > 0 && (bytes+len(item.data) > maxGroupBytes || size == maxGroupRecords) {
			break
		}
		size++
		bytes += len(item.data)
	}
	return size, bytes
}

func (log *Journal) send(at *line, sent *group, now clock.Millis) {
	sent.waiting = true
	sent.sentAt = now
	sent.tries++
	try := sent.tries
	log.count.Appends++
	log.count.Bytes += int64(len(sent.data))
	log.options.Append(at.name, sent.data, func(offset stream.Offset, err error) {
		log.answer(at, sent, try, offset, err)
	})
}

func (log *Journal) answer(at *line, sent *group, try int, offset stream.Offset, err error) {
	if sent.settled {
		return
	}
	if err == nil {
		log.settle(at, sent, offset, nil)
		return
	}
	if !fault.OutcomeOf(err).Certain() {
		sent.unsure = true
	}
	if try == sent.tries {
		sent.waiting = false
	}
}

// retry sends again what failed or stayed without an answer.
func (log *Journal) retry(at *line, now clock.Millis) {
	for _, sent := range at.underWay {
		age := now - sent.sentAt
		if sent.waiting && age >= answerWait {
			sent.unsure = true
			sent.waiting = false
		}
		if sent.waiting || age < backoff(sent.tries) {
			continue
		}
		log.count.Retries++
		log.send(at, sent, now)
		return // one retry of a stream per tick
	}
}

// backoff returns the wait before the next try; a stream's tries are spread by
// their own number, and readers drop copies, so no random part is needed.
func backoff(tries int) clock.Millis {
	return min(maxRetry, firstRetry<<min(tries-1, 8))
}

// withdraw fails groups and waiting records that certainly did not land for
// long, so that their owners can decide anew.
func (log *Journal) withdraw(at *line, now clock.Millis) {
	for _, sent := range at.underWay {
		if sent.unsure || sent.waiting || now-sent.sealed < giveUp {
			continue
		}
		log.settle(at, sent, 0, fault.Newf(fault.NotRun, "append", at.name, "the log took nothing"))
		return
	}
	if len(at.waiting) == 0 || !at.full() && len(at.underWay) < maxUnderWay || now-at.waiting[0].added < giveUp {
		return
	}
	expired := 0
	for expired < len(at.waiting) && now-at.waiting[expired].added >= giveUp {
		at.bytes -= len(at.waiting[expired].data)
		expired++
	}
	failed := at.waiting[:expired:expired]
	at.waiting = at.waiting[expired:]
	at.since = now
	log.finish(failed, 0, fault.Newf(fault.NotSent, "append", at.name, "the log is behind"))
}

func (log *Journal) settle(at *line, sent *group, offset stream.Offset, err error) {
	sent.settled = true
	for index, other := range at.underWay {
		if other == sent {
			at.underWay = append(at.underWay[:index:index], at.underWay[index+1:]...)
			break
		}
	}
	log.finish(sent.entries, offset, err)
}

func (log *Journal) finish(entries []entry, offset stream.Offset, err error) {
	log.count.WaitingNow -= int64(len(entries))
	if err != nil {
		log.count.Failed += int64(len(entries))
	}
	for _, item := range entries {
		item.done(offset, err)
	}
}
