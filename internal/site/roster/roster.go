// Package roster follows the platform's list of workers, for the owner.
//
// # Usage
//
//	follower := roster.New(options)
//	err := follower.Serve(ctx)
//	...
//	workers, newer := follower.Since(version)
package roster

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/site/runtime"
)

// Times of following.
const (
	pollPeriod  clock.Millis = 600 // workers that leave must be known well within their drain time
	retryPeriod clock.Millis = 200
	readLimit   clock.Millis = 2000
)

// Options of a follower.
type Options struct {
	Topic  string
	Clock  clock.Clock
	Log    journal.Log
	Logger zerolog.Logger
	// Decode reads a worker's entry. An error means that another writer left it.
	Decode func(id string, data []byte) (fleet.Entry, error)
}

// Follower keeps the newest list of workers.
type Follower struct {
	options Options
	entries map[string]fleet.Entry
	faulty  map[string]bool // ids whose entry could not be read, as logged
	current atomic.Pointer[runtime.Workers]
}

// New returns a follower that knows no worker.
func New(options Options) *Follower {
	f := &Follower{options: options, entries: map[string]fleet.Entry{}, faulty: map[string]bool{}}
	f.current.Store(&runtime.Workers{})
	return f
}

// Since returns the list if it is newer than the version given.
func (f *Follower) Since(version int64) (runtime.Workers, bool) {
	current := *f.current.Load()
	return current, current.Version > version
}

// Serve follows until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	from, known := int64(0), false
	for ctx.Err() == nil {
		page := f.read(ctx, from, known)
		wait := pollPeriod
		switch page.Outcome {
		case journal.Done:
			if !known {
				clear(f.entries)
			}
			f.apply(page.Records, !known)
			if known {
				from = page.Next()
			} else {
				from, known = page.End, true
			}
		case journal.Forgotten:
			known, wait = false, 0
			f.options.Logger.Warn().Str("event", "workers_history_lost").Int64("from", from).Int64("first", page.First).Send()
		default:
			wait = retryPeriod
		}
		if err := f.options.Clock.Sleep(ctx, wait); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (f *Follower) read(ctx context.Context, from int64, known bool) journal.Page {
	ctx, cancel := context.WithTimeout(ctx, readLimit.Duration())
	defer cancel()
	if !known {
		return f.options.Log.Newest(ctx, f.options.Topic)
	}
	return f.options.Log.Read(ctx, journal.Read{Topic: f.options.Topic, From: from})
}

// apply takes records in order.
func (f *Follower) apply(records []journal.Stored, whole bool) {
	if len(records) == 0 && !whole {
		return
	}
	for _, record := range records {
		f.applyOne(record.Record)
	}
	entries := make([]fleet.Entry, 0, len(f.entries))
	for _, entry := range f.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b fleet.Entry) int { return cmp.Compare(a.ID, b.ID) })
	f.current.Store(&runtime.Workers{Version: f.current.Load().Version + 1, Entries: entries})
}

func (f *Follower) applyOne(record journal.Record) {
	if len(record.Value) == 0 {
		delete(f.entries, record.Key)
		return
	}
	entry, err := f.options.Decode(record.Key, record.Value)
	if err == nil {
		f.entries[record.Key] = entry
		return
	}
	delete(f.entries, record.Key)
	if !f.faulty[record.Key] {
		f.faulty[record.Key] = true
		f.options.Logger.Warn().Str("event", "worker_entry_unreadable").Str("worker", record.Key).Err(err).Send()
	}
}
