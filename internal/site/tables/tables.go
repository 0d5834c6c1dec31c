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
}

// New returns a follower that knows nothing.
func New(options Options) *Follower {
	f := &Follower{options: options}
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

// Serve follows until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	from, known := int64(0), false
	for ctx.Err() == nil {
		page := f.read(ctx, from, known)
		switch page.Outcome {
		case journal.Done:
			f.contact.Store(int64(f.options.Clock.Now()))
			f.apply(page.Records, !known)
			from, known = page.End, true
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
func (f *Follower) apply(records []journal.Stored, whole bool) {
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

func (f *Follower) log(before, version, offset int64) {
	f.options.Logger.Info().Str("event", "manifest_in_force").Int64("version", version).
		Int64("before", before).Int64("offset", offset).Send()
}
