// Package store is a stand-in of the platform's log store, in memory: keyed
// topics with conditional appends, fenced writers and long polls.
//
// # Usage
//
//	standin := store.New()
//	handler := platform.ServeStore(standin.Log())
//	standin.SetDown(true) // nobody gets an answer but a refusal
package store

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// remembered is how many appends of a writer are answered again like the first.
const remembered = 5

// Store keeps topics. It is safe for many goroutines.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	down   bool
	grown  chan struct{} // closed and replaced at each append
}

type topic struct {
	end     int64
	records []journal.Stored // of the kept history
	first   int64
	newest  map[string]journal.Stored
	writers map[string]*writer
}

type writer struct {
	epoch    int64
	sequence int64
	answers  map[int64]journal.Answer
}

// New returns an empty store.
func New() *Store {
	return &Store{topics: map[string]*topic{}, grown: make(chan struct{})}
}

// Log returns the store's calls.
func (s *Store) Log() journal.Log {
	return journal.Log{Append: s.append, Read: s.read, Newest: s.newest}
}

// SetDown makes the store refuse everything, or answer again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Forget drops the history of a topic; the newest record of each key stays.
func (s *Store) Forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records, t.first = nil, t.end
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]journal.Stored{}, writers: map[string]*writer{}}
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
	t := s.topic(call.Topic)
	if call.Writer.Name != "" {
		if answer, settled := t.judge(call.Writer); settled {
			return answer
		}
	}
	if call.At >= 0 && call.At != t.end {
		return journal.Answer{Outcome: journal.NotAt, End: t.end}
	}
	t.keep(call.Records)
	answer := journal.Answer{Outcome: journal.Done, End: t.end}
	if call.Writer.Name != "" {
		t.remember(call.Writer, answer)
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return answer
}

// judge decides on an append by its writer alone, where that settles it.
func (t *topic) judge(by journal.Writer) (answer journal.Answer, settled bool) {
	known := t.writers[by.Name]
	switch {
	case known == nil || by.Epoch > known.epoch:
		return journal.Answer{}, false
	case by.Epoch < known.epoch:
		return journal.Answer{Outcome: journal.Superseded}, true
	case by.Sequence == known.sequence+1:
		return journal.Answer{}, false
	}
	if answer, repeated := known.answers[by.Sequence]; repeated {
		return answer, true
	}
	return journal.Answer{Outcome: journal.OutOfOrder}, true
}

func (t *topic) remember(by journal.Writer, answer journal.Answer) {
	known := t.writers[by.Name]
	if known == nil || by.Epoch > known.epoch {
		known = &writer{epoch: by.Epoch, answers: map[int64]journal.Answer{}}
		t.writers[by.Name] = known
	}
	known.sequence = by.Sequence
	known.answers[by.Sequence] = answer
	delete(known.answers, by.Sequence-remembered)
}

func (t *topic) keep(records []journal.Record) {
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

func (s *Store) read(ctx context.Context, call journal.Read) journal.Page {
	timeout := time.NewTimer(time.Duration(call.WaitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		page, grown := s.readNow(call)
		if page.Outcome != journal.Done || len(page.Records) > 0 || call.WaitMS == 0 {
			return page
		}
		select {
		case <-grown:
		case <-timeout.C:
			return page
		case <-ctx.Done():
			return page
		}
	}
}

func (s *Store) readNow(call journal.Read) (journal.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(call.Topic)
	switch {
	case s.down:
		return journal.Page{Outcome: journal.NotDone}, s.grown
	case call.From < t.first:
		return journal.Page{Outcome: journal.Forgotten, First: t.first}, s.grown
	}
	page := journal.Page{Outcome: journal.Done, End: t.end, First: t.first}
	if skip := call.From - t.first; skip < int64(len(t.records)) {
		page.Records = slices.Clone(t.records[skip:])
	}
	return page, s.grown
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
