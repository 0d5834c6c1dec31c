// Package roster follows the platform's list of workers for the owner and, in
// deployments with their own tables, for the gateway of every entry.
//
// # Usage
//
//	watcher := roster.New(options)
//	err := watcher.Serve(ctx)
//	...
//	workers, newer := watcher.Since(version)
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

// Options configures a Watcher.
type Options struct {
	Topic  string
	Clock  clock.Clock
	Log    journal.Log
	Logger zerolog.Logger
	// Decode decodes a worker's entry. An error means that the entry was written
	// by another writer; the worker is then not listed.
	Decode func(id string, data []byte) (fleet.Entry, error)
}

// Watcher keeps the newest list of workers by periodic reads of their topic.
// The Watcher of package tables uses long polls to read the operators' topic.
type Watcher struct {
	options    Options
	entries    map[string]fleet.Entry
	unreadable map[string]bool // ids of workers whose entry was logged as unreadable
	current    atomic.Pointer[runtime.Workers]
}

// New returns a Watcher with an empty list.
func New(options Options) *Watcher {
	f := &Watcher{options: options, entries: map[string]fleet.Entry{}, unreadable: map[string]bool{}}
	f.current.Store(&runtime.Workers{})
	return f
}

// Since returns the list if one is known and newer than the version given.
func (w *Watcher) Since(version int64) (runtime.Workers, bool) {
	current := *w.current.Load()
	return current, current.Entries != nil && current.Version > version
}

// Serve follows the topic until the context ends. The list is unknown from then on:
// addresses in it may belong to other workers when it is used next.
func (w *Watcher) Serve(ctx context.Context) error {
	defer func() { w.current.Store(&runtime.Workers{Version: w.current.Load().Version}) }()
	from, initialized := int64(0), false
	for ctx.Err() == nil {
		page := w.read(ctx, from, initialized)
		wait := pollPeriod
		switch page.Outcome {
		case journal.Done:
			if !initialized {
				clear(w.entries)
			}
			w.apply(page.Records, !initialized)
			if initialized {
				from = page.Next()
			} else {
				from, initialized = page.End, true
			}
		case journal.RecordsGone:
			initialized, wait = false, 0
			w.options.Logger.Warn().Str("event", "workers_history_lost").Int64("from", from).Int64("first", page.OldestOffset).Send()
		default:
			wait = retryPeriod
		}
		if err := w.options.Clock.Sleep(ctx, wait); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// read reads the records from an offset, or the newest record of each worker if
// the list is not initialized.
func (w *Watcher) read(ctx context.Context, from int64, initialized bool) journal.Page {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	if !initialized {
		return w.options.Log.Newest(ctx, w.options.Topic)
	}
	return w.options.Log.Read(ctx, journal.Read{Topic: w.options.Topic, From: from})
}

// apply applies records in sequence and publishes the new list. If complete is
// set, it does so even without a record.
func (w *Watcher) apply(records []journal.Stored, complete bool) {
	if len(records) == 0 && !complete {
		return
	}
	for _, record := range records {
		w.applyRecord(record.Record)
	}
	entries := make([]fleet.Entry, 0, len(w.entries))
	for _, entry := range w.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b fleet.Entry) int { return cmp.Compare(a.ID, b.ID) })
	w.current.Store(&runtime.Workers{Version: w.current.Load().Version + 1, Entries: entries})
}

// applyRecord adds, replaces or removes one worker. An unreadable entry removes
// the worker, and is logged once for each worker.
func (w *Watcher) applyRecord(record journal.Record) {
	if len(record.Value) == 0 {
		delete(w.entries, record.Key)
		return
	}
	entry, err := w.options.Decode(record.Key, record.Value)
	if err == nil {
		w.entries[record.Key] = entry
		return
	}
	delete(w.entries, record.Key)
	if !w.unreadable[record.Key] {
		w.unreadable[record.Key] = true
		w.options.Logger.Warn().Str("event", "worker_entry_unreadable").Str("worker", record.Key).Err(err).Send()
	}
}
