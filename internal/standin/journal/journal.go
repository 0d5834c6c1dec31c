// Package journal is the stand-in of the platform's append-only log: streams
// with offsets from 1, a retention time, outages, slowness, and answers that
// are lost after the append has taken effect.
//
// It keeps all in memory and follows the clock it is given, so that it works in
// virtual time. It starts no goroutine: an append that a slow log has not yet
// carried out is carried out by the next call after its time, also when its
// caller has given up.
//
// # Usage
//
//	log := journal.New(journal.Options{Clock: clk, RetentionMS: 10 * clock.Minute})
//	off, err := log.Append(ctx, "config", data)
//	log.SetFaults(journal.Faults{Down: true})
//	http.Serve(listener, log.Handler())
package journal

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

const (
	maxRecordBytes = 4 << 20  // of one append
	maxPageRecords = 1000     // of one read, whatever the reader asks for
	maxPageBytes   = 16 << 20 // a read ends after the record that passes this
	maxStreams     = 10000    // a guard against runaway names
)

// Options set up a log.
type Options struct {
	Clock               clock.Clock
	RetentionMS         clock.Millis // 0 keeps everything
	MaxAppendsPerSecond int          // more are refused as not run; 0 for no limit
	Seed                uint64       // of the lots drawn for lost answers
}

// Faults are the switches of what goes wrong.
type Faults struct {
	Down        bool         `json:"down"`         // calls break off without effect; what is on its way still takes effect, unanswered
	Refuse      bool         `json:"refuse"`       // calls are refused as not run
	SlowMS      clock.Millis `json:"slow_ms"`      // of each call; an append takes effect half way
	LoseNext    int          `json:"lose_next"`    // so many appends take effect and stay unanswered
	LosePercent int          `json:"lose_percent"` // share of appends that do
	Cut         []string     `json:"cut"`          // failure domains that cannot reach the log
}

// Stats counts what the log was asked for.
type Stats struct {
	Appends          int64 `json:"appends"`
	AppendBytes      int64 `json:"append_bytes"`
	Reads            int64 `json:"reads"`
	ReadBytes        int64 `json:"read_bytes"`
	AppendsLastSec   int   `json:"appends_last_second"`
	MostAppendsInSec int   `json:"most_appends_in_a_second"`
	Streams          int   `json:"streams"`
}

// Journal is a log. Its methods may be called from any goroutine.
type Journal struct {
	options Options

	mu      sync.Mutex
	faults  Faults
	lots    *rand.Rand
	streams map[string]*queue
	pending []*ticket // appends on their way, by due time
	recent  []clock.Millis
	stats   Stats
}

// queue is one stream.
type queue struct {
	first   stream.Offset // of records[0], or of the next append
	records []record
}

type record struct {
	data []byte
	at   clock.Millis
}

// ticket is an append on its way.
type ticket struct {
	stream string
	data   []byte
	due    clock.Millis
	slow   clock.Millis // until the answer
	lost   bool
	offset stream.Offset // 0 until it took effect
}

// New returns an empty log.
func New(options Options) *Journal {
	return &Journal{
		options: options,
		lots:    rand.New(rand.NewPCG(options.Seed, 1)),
		streams: map[string]*queue{},
	}
}

// SetFaults replaces all switches.
func (journal *Journal) SetFaults(faults Faults) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.faults = faults
}

// Faults returns the switches as they stand.
func (journal *Journal) Faults() Faults {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	return journal.faults
}

// Stats returns the counts so far.
func (journal *Journal) Stats() Stats {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	stats := journal.stats
	stats.AppendsLastSec = journal.lastSecond(journal.options.Clock.Now())
	stats.Streams = len(journal.streams)
	return stats
}

// Log returns a client that calls directly, from no failure domain.
func (journal *Journal) Log() stream.Log { return journal.LogFrom("") }

// LogFrom returns a client in a failure domain, which can be cut off.
func (journal *Journal) LogFrom(domain string) stream.Log {
	return stream.Log{
		Append: func(ctx context.Context, name string, data []byte) (stream.Offset, error) {
			return journal.appendFrom(ctx, domain, name, data)
		},
		Read: func(ctx context.Context, name string, from stream.Offset, limit int) (stream.Page, error) {
			return journal.readFrom(ctx, domain, name, from, limit)
		},
	}
}

// Append adds a record to a stream.
func (journal *Journal) Append(ctx context.Context, name string, data []byte) (stream.Offset, error) {
	return journal.appendFrom(ctx, "", name, data)
}

// Read returns records of a stream.
func (journal *Journal) Read(ctx context.Context, name string, from stream.Offset, limit int) (stream.Page, error) {
	return journal.readFrom(ctx, "", name, from, limit)
}

func (journal *Journal) appendFrom(ctx context.Context, domain, name string, data []byte) (stream.Offset, error) {
	ticket, err := journal.take(domain, name, data)
	if err != nil {
		return 0, err
	}
	if err := journal.wait(ctx, ticket.slow); err != nil {
		return 0, fault.New(fault.Unknown, "append", name, err)
	}
	return journal.settle(domain, ticket)
}

// take puts an append on its way, or refuses it.
func (journal *Journal) take(domain, name string, data []byte) (*ticket, error) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	now := journal.options.Clock.Now()
	if err := journal.reachable(domain, "append", name); err != nil {
		return nil, err
	}
	if len(data) > maxRecordBytes {
		return nil, fault.Newf(fault.NotRun, "append", name, "record is longer than %d bytes", maxRecordBytes)
	}
	if journal.streams[name] == nil && len(journal.streams) >= maxStreams {
		return nil, fault.Newf(fault.NotRun, "append", name, "more than %d streams", maxStreams)
	}
	if most := journal.options.MaxAppendsPerSecond; most > 0 && journal.lastSecond(now) >= most {
		return nil, fault.Newf(fault.NotRun, "append", name, "more than %d appends a second", most)
	}
	journal.count(now, len(data))
	slow := journal.faults.SlowMS
	ticket := &ticket{stream: name, data: slices.Clone(data), due: now + slow/2, slow: slow, lost: journal.drawLost()}
	journal.pending = append(journal.pending, ticket)
	slices.SortStableFunc(journal.pending, byDue)
	journal.flush(now)
	return ticket, nil
}

func byDue(one, other *ticket) int { return cmp.Compare(one.due, other.due) }

func (journal *Journal) reachable(domain, step, name string) error {
	faults := journal.faults
	switch {
	case domain != "" && slices.Contains(faults.Cut, domain), faults.Down:
		return fault.Newf(fault.Unknown, step, name, "the log is away")
	case faults.Refuse:
		return fault.Newf(fault.NotRun, step, name, "the log is closed")
	}
	return nil
}

func (journal *Journal) drawLost() bool {
	if journal.faults.LoseNext > 0 {
		journal.faults.LoseNext--
		return true
	}
	return journal.lots.IntN(100) < journal.faults.LosePercent
}

func (journal *Journal) count(now clock.Millis, size int) {
	journal.recent = append(journal.recent, now)
	journal.stats.Appends++
	journal.stats.AppendBytes += int64(size)
	journal.stats.MostAppendsInSec = max(journal.stats.MostAppendsInSec, journal.lastSecond(now))
}

func (journal *Journal) lastSecond(now clock.Millis) int {
	old := 0
	for old < len(journal.recent) && journal.recent[old] <= now-clock.Second {
		old++
	}
	journal.recent = journal.recent[old:]
	return len(journal.recent)
}

func (journal *Journal) wait(ctx context.Context, slow clock.Millis) error {
	if slow <= 0 {
		return ctx.Err()
	}
	return journal.options.Clock.Sleep(ctx, slow)
}

// settle answers an append whose time has come.
func (journal *Journal) settle(domain string, ticket *ticket) (stream.Offset, error) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	journal.flush(journal.options.Clock.Now())
	if err := journal.reachable(domain, "append", ticket.stream); err != nil {
		return 0, fault.New(fault.Unknown, "append", ticket.stream, err)
	}
	if ticket.lost || ticket.offset == 0 {
		return 0, fault.Newf(fault.Unknown, "append", ticket.stream, "answer lost")
	}
	return ticket.offset, nil
}

// flush carries out the appends that are due and drops what is too old.
func (journal *Journal) flush(now clock.Millis) {
	done := 0
	for done < len(journal.pending) && journal.pending[done].due <= now {
		journal.carryOut(journal.pending[done])
		done++
	}
	journal.pending = slices.Delete(journal.pending, 0, done)
}

func (journal *Journal) carryOut(ticket *ticket) {
	queue := journal.streams[ticket.stream]
	if queue == nil {
		queue = newQueue()
		journal.streams[ticket.stream] = queue
	}
	ticket.offset = queue.end()
	queue.records = append(queue.records, record{data: ticket.data, at: ticket.due})
}

func newQueue() *queue { return &queue{first: 1} }

func (queue *queue) end() stream.Offset { return queue.first + stream.Offset(len(queue.records)) }

// expire drops the records from before a time.
func (queue *queue) expire(before clock.Millis) {
	old := 0
	for old < len(queue.records) && queue.records[old].at < before {
		old++
	}
	queue.records = queue.records[old:]
	queue.first += stream.Offset(old)
}

func (journal *Journal) readFrom(ctx context.Context, domain, name string, from stream.Offset, limit int) (stream.Page, error) {
	slow := journal.Faults().SlowMS
	if err := journal.wait(ctx, slow); err != nil {
		return stream.Page{}, fault.New(fault.Unknown, "read", name, err)
	}
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if err := journal.reachable(domain, "read", name); err != nil {
		return stream.Page{}, err
	}
	now := journal.options.Clock.Now()
	journal.flush(now)
	queue := journal.streams[name]
	if queue == nil {
		queue = newQueue()
	}
	if journal.options.RetentionMS > 0 {
		queue.expire(now - journal.options.RetentionMS)
	}
	page := queue.page(from, limit)
	journal.stats.Reads++
	for _, record := range page.Records {
		journal.stats.ReadBytes += int64(len(record.Data))
	}
	return page, nil
}

func (queue *queue) page(from stream.Offset, limit int) stream.Page {
	page := stream.Page{Records: []stream.Record{}, First: queue.first, End: queue.end()}
	limit = min(limit, maxPageRecords)
	size := 0
	for at := max(from, queue.first); at < queue.end() && len(page.Records) < limit && size < maxPageBytes; at++ {
		data := queue.records[at-queue.first].data
		page.Records = append(page.Records, stream.Record{Offset: at, Data: data})
		size += len(data)
	}
	return page
}
