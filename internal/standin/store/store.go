// Package store is an in-memory stand-in of the platform's log store: keyed
// topics with conditional appends, fenced writers, long polls, and limits on the size
// of records and appends.
//
// # Usage
//
//	standin := store.New()
//	handler := platform.ServeStore(standin.Log())
//	standin.SetDown(true) // every call is refused
package store

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// answersPerWriter is the number of a writer's last appends whose answers are
// retained: a repetition of one is answered again and not appended.
const answersPerWriter = 5

// Store holds topics. It is safe for concurrent use.
type Store struct {
	limits   journal.Limits
	mu       sync.Mutex
	topics   map[string]*topic
	down     bool
	appended chan struct{} // closed and replaced at each append, to wake waiting reads
}

type topic struct {
	end         int64
	records     []journal.Stored // retained history, which begins at firstOffset
	firstOffset int64
	newest      map[string]journal.Stored
	writers     map[string]*writerState
}

// writerState is the newest epoch of a writer with its last appends.
type writerState struct {
	epoch    int64
	sequence int64                    // of the last append
	answers  map[int64]journal.Answer // by sequence
}

// New returns an empty store with the default limits.
func New() *Store { return NewLimited(journal.DefaultLimits) }

// NewLimited returns an empty store that refuses appends above some limits.
func NewLimited(limits journal.Limits) *Store {
	return &Store{limits: limits, topics: map[string]*topic{}, appended: make(chan struct{})}
}

// Log returns the calls of the store.
func (s *Store) Log() journal.Log {
	return journal.Log{Append: s.append, Read: s.read, Newest: s.newest}
}

// SetDown makes the store refuse every call, or answer again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Truncate drops the history of a topic. The newest record of each key stays.
func (s *Store) Truncate(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records, t.firstOffset = nil, t.end
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]journal.Stored{}, writers: map[string]*writerState{}}
		s.topics[name] = t
	}
	return t
}

func (s *Store) append(_ context.Context, call journal.Append) journal.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return journal.Answer{Outcome: journal.NotDone}
	}
	if !s.limits.Allow(call.Records) {
		return journal.Answer{Outcome: journal.Refused}
	}
	t := s.topic(call.Topic)
	if call.Writer.Name != "" {
		if answer, decided := t.answerByWriter(call.Writer); decided {
			return answer
		}
	}
	if call.ExpectedEnd >= 0 && call.ExpectedEnd != t.end {
		return journal.Answer{Outcome: journal.EndMismatch, End: t.end}
	}
	t.appendRecords(call.Records)
	answer := journal.Answer{Outcome: journal.Done, End: t.end}
	if call.Writer.Name != "" {
		t.recordAnswer(call.Writer, answer)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return answer
}

// answerByWriter returns the answer to an append of a superseded writer, a
// repeated append, or one out of sequence. Other appends are left undecided.
func (t *topic) answerByWriter(writer journal.Writer) (answer journal.Answer, decided bool) {
	last := t.writers[writer.Name]
	switch {
	case last == nil || writer.Epoch > last.epoch:
		return journal.Answer{}, false
	case writer.Epoch < last.epoch:
		return journal.Answer{Outcome: journal.Superseded}, true
	case writer.Sequence == last.sequence+1:
		return journal.Answer{}, false
	}
	if answer, repeated := last.answers[writer.Sequence]; repeated {
		return answer, true
	}
	return journal.Answer{Outcome: journal.OutOfOrder}, true
}

// recordAnswer records the answer to a completed append for its repetitions.
func (t *topic) recordAnswer(writer journal.Writer, answer journal.Answer) {
	last := t.writers[writer.Name]
	if last == nil || writer.Epoch > last.epoch {
		last = &writerState{epoch: writer.Epoch, answers: map[int64]journal.Answer{}}
		t.writers[writer.Name] = last
	}
	last.sequence = writer.Sequence
	last.answers[writer.Sequence] = answer
	delete(last.answers, writer.Sequence-answersPerWriter)
}

func (t *topic) appendRecords(records []journal.Record) {
	for _, record := range records {
		stored := journal.Stored{Record: record, Offset: t.end}
		t.end++
		t.records = append(t.records, stored)
		if len(record.Value) == 0 {
			delete(t.newest, record.Key)
			continue
		}
		t.newest[record.Key] = stored
	}
}

// read waits for records as long as the call allows.
func (s *Store) read(ctx context.Context, call journal.Read) journal.Page {
	timeout := time.NewTimer(time.Duration(call.WaitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		page, appended := s.readAvailable(call)
		if page.Outcome != journal.Done || len(page.Records) > 0 || call.WaitMS == 0 {
			return page
		}
		select {
		case <-appended:
		case <-timeout.C:
			return page
		case <-ctx.Done():
			return page
		}
	}
}

// readAvailable reads without waiting. The channel is closed at the next append.
func (s *Store) readAvailable(call journal.Read) (journal.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(call.Topic)
	switch {
	case s.down:
		return journal.Page{Outcome: journal.NotDone}, s.appended
	case call.From < t.firstOffset:
		return journal.Page{Outcome: journal.RecordsGone, OldestOffset: t.firstOffset}, s.appended
	}
	page := journal.Page{Outcome: journal.Done, End: t.end, OldestOffset: t.firstOffset}
	if skip := call.From - t.firstOffset; skip < int64(len(t.records)) {
		page.Records = slices.Clone(t.records[skip:])
	}
	return page, s.appended
}

func (s *Store) newest(_ context.Context, name string) journal.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return journal.Page{Outcome: journal.NotDone}
	}
	t := s.topic(name)
	page := journal.Page{Outcome: journal.Done, End: t.end}
	for _, stored := range t.newest {
		page.Records = append(page.Records, stored)
	}
	slices.SortFunc(page.Records, func(a, b journal.Stored) int { return int(a.Offset - b.Offset) })
	return page
}
