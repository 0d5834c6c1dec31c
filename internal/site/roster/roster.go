// Package roster follows the platform's list of workers for the owner and, in
// deployments with their own tables, for the gateway of every entry.
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

// Time limits of reads.
const (
	pollPeriod  clock.Millis = 600 // a draining worker must be seen well within its drain time
	retryPeriod clock.Millis = 200
	readTimeout clock.Millis = 2000
)

// Options configures a Follower.
type Options struct {
	Topic  string
	Clock  clock.Clock
	Log    journal.Log
	Logger zerolog.Logger
	// Decode decodes a worker's entry. An error means that the entry was written
	// by another writer; the worker is then not listed.
	Decode func(id string, data []byte) (fleet.Entry, error)
}

// Follower keeps the newest list of workers by periodic reads of their topic.
// The Follower of package tables uses long polls to read the operators' topic.
type Follower struct {
	options    Options
	entries    map[string]fleet.Entry
	unreadable map[string]bool // ids of workers whose entry was logged as unreadable
	current    atomic.Pointer[runtime.Workers]
}

// New returns a Follower with an empty list.
func New(options Options) *Follower {
	f := &Follower{options: options, entries: map[string]fleet.Entry{}, unreadable: map[string]bool{}}
	f.current.Store(&runtime.Workers{})
	return f
}

// Since returns the list if it is newer than the version given.
func (f *Follower) Since(version int64) (runtime.Workers, bool) {
	current := *f.current.Load()
	return current, current.Version > version
}

// Serve follows the topic until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	from, initialized := int64(0), false
	for ctx.Err() == nil {
		page := f.read(ctx, from, initialized)
		wait := pollPeriod
		switch page.Outcome {
		case journal.Done:
			if !initialized {
				clear(f.entries)
			}
			f.apply(page.Records, !initialized)
			if initialized {
				from = page.Next()
			} else {
				from, initialized = page.End, true
			}
		case journal.Forgotten:
			initialized, wait = false, 0
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

// read reads the records from an offset, or the newest record of each worker if
// the list is not initialized.
func (f *Follower) read(ctx context.Context, from int64, initialized bool) journal.Page {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	if !initialized {
		return f.options.Log.Newest(ctx, f.options.Topic)
	}
	return f.options.Log.Read(ctx, journal.Read{Topic: f.options.Topic, From: from})
}

// apply applies records in sequence and publishes the new list. If complete is
// set, it does so even without a record.
func (f *Follower) apply(records []journal.Stored, complete bool) {
	if len(records) == 0 && !complete {
		return
	}
	for _, record := range records {
		f.applyRecord(record.Record)
	}
	entries := make([]fleet.Entry, 0, len(f.entries))
	for _, entry := range f.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b fleet.Entry) int { return cmp.Compare(a.ID, b.ID) })
	f.current.Store(&runtime.Workers{Version: f.current.Load().Version + 1, Entries: entries})
}

// applyRecord adds, replaces or removes one worker. An unreadable entry removes
// the worker, and is logged once for each worker.
func (f *Follower) applyRecord(record journal.Record) {
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
	if !f.unreadable[record.Key] {
		f.unreadable[record.Key] = true
		f.options.Logger.Warn().Str("event", "worker_entry_unreadable").Str("worker", record.Key).Err(err).Send()
	}
}
