// Package tables follows what operators write: the manifest and the failure
// domains that are out of service.
//
// # Usage
//
//	follower := tables.New(options)
//	err := follower.Serve(ctx)
//	...
//	current := follower.Current() // Version 0: nothing is known yet
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

// Times of following.
const (
	longestWait clock.Millis = 2500 // of one long poll; one that the store swallowed is noticed after it
	pollMargin  clock.Millis = 500  // for the answer's way
	retryPeriod clock.Millis = 120
	readLimit   clock.Millis = 2000
)

// Change is what one record of the operators' topic says.
type Change struct {
	Manifest *manifest.Manifest // a new version of the tables
	Release  *release.Release   // ... as published by a deployment that has its own; may be nil
	Domain   string             // a failure domain ...
	Out      bool               // ... that is taken out, or back
}

// Options of a follower.
type Options struct {
	Topic  string
	Clock  clock.Clock
	Log    journal.Log
	Logger zerolog.Logger
	// Contact is how long after a disturbance an entry is held to a new manifest
	// again; 0: as if it were very long.
	Contact clock.Millis
	// Decode reads a record. An error means that another writer left it.
	Decode func(record journal.Record) (Change, error)
}

// Follower keeps the newest tables.
type Follower struct {
	options Options
	current atomic.Pointer[runtime.Tables]
	contact atomic.Int64

	mu     sync.Mutex // guards what follows, and changes of current
	newest map[string]journal.Record
	end    int64 // offset after the last record that is taken into account
}

// New returns a follower that knows nothing.
func New(options Options) *Follower {
	f := &Follower{options: options, newest: map[string]journal.Record{}}
	f.current.Store(&runtime.Tables{Out: map[string]bool{}})
	return f
}

// Current returns the newest tables. They never change.
func (f *Follower) Current() runtime.Tables { return *f.current.Load() }

// ContactAge returns how long ago the store last answered.
func (f *Follower) ContactAge() clock.Millis {
	return f.options.Clock.Now() - clock.Millis(f.contact.Load())
}

// Since returns the tables if they are newer than the version given.
func (f *Follower) Since(version int64) (runtime.Tables, bool) {
	current := f.Current()
	return current, current.Version > version
}

// Copy is what a follower knows, for an entry that the store refuses.
type Copy struct {
	End     int64            `json:"end"` // offset after the last record taken into account
	Records []journal.Record `json:"records"`
}

// End returns the offset after the last record that is taken into account.
func (f *Follower) End() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.end
}

// Copy returns what is known.
func (f *Follower) Copy() Copy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Copy{End: f.end, Records: slices.Collect(maps.Values(f.newest))}
}

// Offer takes what another entry knows, if it has read further.
func (f *Follower) Offer(from string, offered Copy) {
	f.mu.Lock()
	newer := offered.End > f.end
	f.mu.Unlock()
	if !newer {
		return
	}
	f.options.Logger.Info().Str("event", "tables_offered").Str("peer", from).Int64("end", offered.End).
		Int64("contact_age_ms", int64(f.ContactAge())).Send()
	stored := make([]journal.Stored, 0, len(offered.Records))
	for _, record := range offered.Records {
		stored = append(stored, journal.Stored{Record: record})
	}
	f.apply(stored, true, offered.End)
}

// Serve follows until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	from, known := int64(0), false
	for ctx.Err() == nil {
		page := f.read(ctx, from, known)
		switch page.Outcome {
		case journal.Done:
			f.contact.Store(int64(f.options.Clock.Now()))
			next := page.End
			if known {
				next = page.Next()
			}
			f.apply(page.Records, !known, next)
			from, known = next, true
		case journal.Forgotten:
			known = false
			f.options.Logger.Warn().Str("event", "tables_history_lost").Int64("from", from).Int64("first", page.First).Send()
		default:
			if err := f.options.Clock.Sleep(ctx, retryPeriod); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

func (f *Follower) read(ctx context.Context, from int64, known bool) journal.Page {
	if !known {
		ctx, cancel := context.WithTimeout(ctx, readLimit.Duration())
		defer cancel()
		return f.options.Log.Newest(ctx, f.options.Topic)
	}
	wait := f.wait()
	ctx, cancel := context.WithTimeout(ctx, (wait + pollMargin).Duration())
	defer cancel()
	return f.options.Log.Read(ctx, journal.Read{Topic: f.options.Topic, From: from, WaitMS: int64(wait)})
}

// wait is the length of a long poll. One that the store swallowed must be given
// up, and the next one answered, well before the entry is held to a new manifest
// again.
func (f *Follower) wait() clock.Millis {
	if f.options.Contact == 0 {
		return longestWait
	}
	return min(f.options.Contact/2, longestWait)
}

// apply takes records in order. With whole, they are all that there is, so a
// failure domain without a record is in service.
func (f *Follower) apply(records []journal.Stored, whole bool, end int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if end < f.end {
		return // read before an entry that had read further offered what it knew
	}
	f.keep(records, whole)
	f.end = end
	next := f.Current()
	out := map[string]bool{}
	if !whole {
		for domain := range next.Out {
			out[domain] = true
		}
	}
	changed := whole
	for _, record := range records {
		change, err := f.options.Decode(record.Record)
		if err != nil {
			f.options.Logger.Warn().Str("event", "operator_record_unreadable").Str("key", record.Key).Err(err).Send()
			continue
		}
		changed = true
		if change.Manifest != nil && change.Manifest.Version > next.Manifest.Version {
			f.log(next.Manifest.Version, change.Manifest.Version, record.Offset)
			next.Manifest = *change.Manifest
			next.Release = change.Release
		}
		if change.Domain != "" {
			f.options.Logger.Info().Str("event", "failure_domain_marked").Str("failure_domain", change.Domain).
				Bool("out", change.Out).Int64("offset", record.Offset).Send()
			delete(out, change.Domain)
			if change.Out {
				out[change.Domain] = true
			}
		}
	}
	if changed {
		next.Out = out
		next.Version++
		f.current.Store(&next)
	}
}

// keep remembers the newest record of each key.
func (f *Follower) keep(records []journal.Stored, whole bool) {
	if whole {
		clear(f.newest)
	}
	for _, record := range records {
		if len(record.Value) == 0 {
			delete(f.newest, record.Key)
			continue
		}
		f.newest[record.Key] = record.Record
	}
}

func (f *Follower) log(before, version, offset int64) {
	f.options.Logger.Info().Str("event", "manifest_in_force").Int64("version", version).
		Int64("before", before).Int64("offset", offset).Send()
}
