// Package tables follows the operators' topic: the manifest and the failure
// domains that are out of service.
//
// # Usage
//
//	watcher := tables.New(options)
//	err := watcher.Serve(ctx)
//	...
//	current := watcher.Current() // Version 0: nothing read yet
package tables

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/release"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/internal/site/runtime"
)

// Time limits of reads.
const (
	maxPollWait      clock.Millis = 2500 // of one long poll; a poll that the store never answers is retried after it
	pollAnswerMargin clock.Millis = 500  // added to a poll's wait, for the answer to arrive
	retryPeriod      clock.Millis = 120
	readTimeout      clock.Millis = 2000
)

// Change is the decoded content of one record of the operators' topic.
type Change struct {
	Manifest     *manifest.Manifest // new version; nil: unchanged
	Release      *release.Release   // release that Manifest was derived from, in deployments with their own tables; else nil
	Domain       string             // failure domain taken out of or put back into service; empty: none
	OutOfService bool               // whether Domain is out of service
}

// Options configures a Watcher.
type Options struct {
	Topic  string
	Clock  clock.Clock
	Log    journal.Log
	Logger zerolog.Logger
	// Contact is the time after an outage of the store by which an entry must
	// apply a new manifest; 0: unlimited.
	Contact clock.Millis
	// Decode decodes a record. An error means that the record was written by
	// another writer; it is skipped.
	Decode func(record journal.Record) (Change, error)
}

// Watcher keeps the newest tables by long polls of the operators' topic. Every
// entry runs one, and an entry that cannot read the store can take the tables of
// another. The Watcher of package roster reads the list of workers.
type Watcher struct {
	options     Options
	current     atomic.Pointer[runtime.Tables]
	lastContact atomic.Int64

	mu     sync.Mutex                // guards newest, end and stores to current
	newest map[string]journal.Record // newest record of each key
	end    int64                     // offset after the last record applied
}

// New returns a Watcher without any tables.
func New(options Options) *Watcher {
	f := &Watcher{options: options, newest: map[string]journal.Record{}}
	f.current.Store(&runtime.Tables{OutOfService: map[string]bool{}})
	return f
}

// Current returns the newest tables, which are immutable.
func (w *Watcher) Current() runtime.Tables { return *w.current.Load() }

// ContactAge returns how long ago the store last answered.
func (w *Watcher) ContactAge() clock.Millis {
	return w.options.Clock.Now() - clock.Millis(w.lastContact.Load())
}

// Since returns the tables if they are newer than the version given.
func (w *Watcher) Since(version int64) (runtime.Tables, bool) {
	current := w.Current()
	return current, current.Version > version
}

// Snapshot is a watcher's content, sent to an entry that cannot read the store.
type Snapshot struct {
	End     int64            `json:"end"`     // offset after the last record applied
	Records []journal.Record `json:"records"` // newest record of each key
}

// End returns the offset after the last record applied.
func (w *Watcher) End() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.end
}

// Snapshot returns the watcher's content.
func (w *Watcher) Snapshot() Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Snapshot{End: w.end, Records: slices.Collect(maps.Values(w.newest))}
}

// Restore replaces the content by another entry's, if that has read further.
func (w *Watcher) Restore(from string, offered Snapshot) {
	w.mu.Lock()
	newer := offered.End > w.end
	w.mu.Unlock()
	if !newer {
		return
	}
	w.options.Logger.Info().Str("event", "tables_offered").Str("peer", from).Int64("end", offered.End).
		Int64("contact_age_ms", int64(w.ContactAge())).Send()
	stored := make([]journal.Stored, 0, len(offered.Records))
	for _, record := range offered.Records {
		stored = append(stored, journal.Stored{Record: record})
	}
	w.apply(stored, true, offered.End)
}

// Serve follows the topic until the context ends.
func (w *Watcher) Serve(ctx context.Context) error {
	from, initialized := int64(0), false
	for ctx.Err() == nil {
		page := w.read(ctx, from, initialized)
		switch page.Outcome {
		case journal.Done:
			w.lastContact.Store(int64(w.options.Clock.Now()))
			next := page.End
			if initialized {
				next = page.Next()
			}
			w.apply(page.Records, !initialized, next)
			from, initialized = next, true
		case journal.RecordsGone:
			initialized = false
			w.options.Logger.Warn().Str("event", "tables_history_lost").Int64("from", from).Int64("first", page.OldestOffset).Send()
		default:
			if err := w.options.Clock.Sleep(ctx, retryPeriod); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

// read long-polls for records from an offset, or reads the newest record of each
// key if the content is not initialized.
func (w *Watcher) read(ctx context.Context, from int64, initialized bool) journal.Page {
	if !initialized {
		ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
		defer cancel()
		return w.options.Log.Newest(ctx, w.options.Topic)
	}
	pollWait := w.pollWait()
	ctx, cancel := context.WithTimeout(ctx, (pollWait + pollAnswerMargin).Duration())
	defer cancel()
	return w.options.Log.Read(ctx, journal.Read{Topic: w.options.Topic, From: from, WaitMS: int64(pollWait)})
}

// pollWait returns the wait of a long poll. A poll that the store never answers
// must time out, and the next one be answered, well within Options.Contact.
func (w *Watcher) pollWait() clock.Millis {
	if w.options.Contact == 0 {
		return maxPollWait
	}
	return min(w.options.Contact/2, maxPollWait)
}

// apply applies records in sequence. If complete is set, they are the newest
// records of all keys, so a failure domain without a record is in service.
func (w *Watcher) apply(records []journal.Stored, complete bool, end int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if end < w.end {
		return // outdated: Restore has applied later records since this read began
	}
	w.recordNewest(records, complete)
	w.end = end
	next := w.Current()
	out := map[string]bool{}
	if !complete {
		for domain := range next.OutOfService {
			out[domain] = true
		}
	}
	changed := complete
	for _, record := range records {
		change, err := w.options.Decode(record.Record)
		if err != nil {
			w.options.Logger.Warn().Str("event", "operator_record_unreadable").Str("key", record.Key).Err(err).Send()
			continue
		}
		changed = true
		if change.Manifest != nil && change.Manifest.Version > next.Manifest.Version {
			w.logManifest(next.Manifest.Version, change.Manifest.Version, record.Offset)
			next.Manifest = *change.Manifest
			next.Release = change.Release
		}
		if change.Domain != "" {
			w.options.Logger.Info().Str("event", "failure_domain_marked").Str("failure_domain", change.Domain).
				Bool("out", change.OutOfService).Int64("offset", record.Offset).Send()
			delete(out, change.Domain)
			if change.OutOfService {
				out[change.Domain] = true
			}
		}
	}
	if changed {
		next.OutOfService = out
		next.Version++
		w.current.Store(&next)
	}
}

// recordNewest updates the newest record of each key. An empty value deletes it.
func (w *Watcher) recordNewest(records []journal.Stored, complete bool) {
	if complete {
		clear(w.newest)
	}
	for _, record := range records {
		if len(record.Value) == 0 {
			delete(w.newest, record.Key)
			continue
		}
		w.newest[record.Key] = record.Record
	}
}

func (w *Watcher) logManifest(previous, version, offset int64) {
	w.options.Logger.Info().Str("event", "manifest_in_force").Int64("version", version).
		Int64("before", previous).Int64("offset", offset).Send()
}
