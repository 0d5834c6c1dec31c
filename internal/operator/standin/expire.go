package standin

import (
	"context"
	"sync"
	"time"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/platform"
)

// expiryPeriod is the time between checks for workers that have fallen silent.
const expiryPeriod = 200 * time.Millisecond

// expirer removes the entries of workers that have not renewed them for a time.
type expirer struct {
	log     journal.Log
	clock   clock.Clock
	age     clock.Millis
	mu      sync.Mutex
	renewed map[string]clock.Millis // by key
}

// expiring returns a log that notes when entries of workers are renewed.
func (e *expirer) expiring() journal.Log {
	return journal.Log{Append: e.append, Read: e.log.Read, Newest: e.log.Newest}
}

func (e *expirer) append(ctx context.Context, call journal.Append) journal.Answer {
	if call.Topic == platform.TopicWorkers {
		e.mu.Lock()
		for _, record := range call.Records {
			e.renewed[record.Key] = e.clock.Now()
		}
		e.mu.Unlock()
	}
	return e.log.Append(ctx, call)
}

// serve removes entries until the context ends.
func (e *expirer) serve(ctx context.Context) error {
	for e.clock.Sleep(ctx, clock.FromDuration(expiryPeriod)) == nil {
		for _, key := range e.takeSilent() {
			e.log.Append(ctx, journal.Append{Topic: platform.TopicWorkers, ExpectedEnd: -1, Records: []journal.Record{{Key: key}}})
		}
	}
	return nil
}

// takeSilent returns the keys that are due and forgets them.
func (e *expirer) takeSilent() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var silent []string
	for key, at := range e.renewed {
		if e.clock.Now()-at > e.age {
			silent = append(silent, key)
			delete(e.renewed, key)
		}
	}
	return silent
}
