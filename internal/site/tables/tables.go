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
	minPollWait      clock.Millis = 50   // of one long poll
	retryPeriod      clock.Millis = 120
	readTimeout      clock.Millis = 2000
)

// Divisors of Options.Revoke. A proof counts from before its poll was sent, so it is up
// to two waits old when the next one replaces it. Two waits of the owner's entry, a ping
// period of 0.5 s and the margin of package access leave 0.6 of a bound of 5 s, in which
// an entry that has lost all contact still serves calls.
const (
	// ownPollDivisor gives the wait of a poll without recent proofs of other entries, as
	// on the owner's entry, which gets none.
	ownPollDivisor = 16
	// backupPollDivisor gives the wait of a poll with such proofs, and the least time for
	// an answer to arrive.
	backupPollDivisor = 5
)

// maxProblemLines bounds the log lines about one manifest's customers.
const maxProblemLines = 20

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
	// Revoke is the time within which a removed key must stop working, which limits the
	// wait of long polls; 0: unlimited.
	Revoke clock.Millis
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
	provenAt    atomic.Int64 // see Proof; written after current. 0: no proof yet
	peerProofAt atomic.Int64 // time of the newest proof of another entry; 0: none

	mu     sync.Mutex                // guards newest, end and stores to current
	newest map[string]journal.Record // newest record of each key
	end    int64                     // offset after the last record applied
}

// New returns a Watcher without any tables.
func New(options Options) *Watcher {
	w := &Watcher{options: options, newest: map[string]journal.Record{}}
	w.current.Store(&runtime.Tables{OutOfService: map[string]bool{}})
	return w
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

// Proof is what a watcher knows of the topic: all records that the store had confirmed
// at time At are applied, and their offsets are below End.
type Proof struct {
	End int64
	At  clock.Millis // by the watcher's clock; 0: nothing is known
}

// Proof returns the newest proof.
func (w *Watcher) Proof() Proof {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Proof{End: w.end, At: w.ProvenAt()}
}

// ProvenAt returns the time of the newest proof; 0: there is none. Tables that are
// read with Current after it contain what the proof covers.
func (w *Watcher) ProvenAt() clock.Millis { return clock.Millis(w.provenAt.Load()) }

// Confirm takes over another entry's proof, with its time by this entry's clock. It has
// no effect while this entry lacks records that the other one has.
func (w *Watcher) Confirm(proof Proof) {
	if proof.At > clock.Millis(w.peerProofAt.Load()) {
		w.peerProofAt.Store(int64(proof.At))
	}
	w.prove(proof)
}

// prove advances the time of the proof if the records below its end are applied.
func (w *Watcher) prove(proof Proof) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.end >= proof.End && proof.At > w.ProvenAt() {
		w.provenAt.Store(int64(proof.At))
	}
}

// Serve follows the topic until the context ends.
func (w *Watcher) Serve(ctx context.Context) error {
	var position position
	for ctx.Err() == nil {
		sent := Proof{At: w.options.Clock.Now(), End: w.End()}
		page := w.read(ctx, position)
		switch page.Outcome {
		case journal.Done:
			w.lastContact.Store(int64(w.options.Clock.Now()))
			position = w.applyPage(page, position, sent)
		case journal.RecordsGone:
			w.options.Logger.Warn().Str("event", "tables_history_lost").Int64("from", position.from).Int64("first", page.OldestOffset).Send()
			position.initialized = false
		default:
			if err := w.options.Clock.Sleep(ctx, retryPeriod); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}

// position is the state of reading the topic.
type position struct {
	from        int64
	initialized bool // the newest records of all keys were read
	confirmed   bool // a read has reached the end of the topic since
}

// applyPage applies the answer to a read, and returns the new position. A read that
// reaches the end of the topic proves that the store had confirmed nothing else when it
// was sent. Newest proves nothing, as it does not read its records at one time, and
// neither does an end below the one known when the read was sent.
func (w *Watcher) applyPage(page journal.Page, before position, sent Proof) position {
	if !before.initialized {
		w.apply(page.Records, true, page.End)
		return position{from: page.End, initialized: true}
	}
	next := page.Next()
	w.apply(page.Records, false, next)
	if next != page.End || page.End < sent.End {
		return position{from: next, initialized: true, confirmed: before.confirmed}
	}
	w.prove(Proof{End: page.End, At: sent.At})
	return position{from: next, initialized: true, confirmed: true}
}

// read long-polls for records from an offset, or reads the newest record of each
// key if the content is not initialized.
func (w *Watcher) read(ctx context.Context, position position) journal.Page {
	if !position.initialized {
		ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
		defer cancel()
		return w.options.Log.Newest(ctx, w.options.Topic)
	}
	pollWait := w.pollWait(position.confirmed)
	answerMargin := max(pollAnswerMargin, w.options.Revoke/backupPollDivisor)
	ctx, cancel := context.WithTimeout(ctx, (pollWait + answerMargin).Duration())
	defer cancel()
	return w.options.Log.Read(ctx, journal.Read{Topic: w.options.Topic, From: position.from, WaitMS: int64(pollWait)})
}

// pollWait returns the wait of a long poll. A poll that the store never answers
// must time out, and the next one be answered, well within Options.Contact. With
// Options.Revoke, the wait is short until a poll has confirmed what Newest returned,
// as that proves nothing.
func (w *Watcher) pollWait(confirmed bool) clock.Millis {
	wait := maxPollWait
	if w.options.Contact != 0 {
		wait = min(w.options.Contact/2, maxPollWait)
	}
	revoke := w.options.Revoke
	switch {
	case revoke == 0:
		return wait
	case !confirmed:
		return minPollWait
	case w.options.Clock.Now()-clock.Millis(w.peerProofAt.Load()) < 2*revoke/backupPollDivisor:
		return max(min(wait, revoke/backupPollDivisor), minPollWait)
	}
	return max(min(wait, revoke/ownPollDivisor), minPollWait)
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
		w.applyManifest(&next, change, record.Offset)
		w.applyDomain(out, change, record.Offset)
	}
	if changed {
		next.OutOfService = out
		next.Version++
		w.current.Store(&next)
	}
}

// applyManifest sets the manifest of a change, if it has a newer one.
func (w *Watcher) applyManifest(next *runtime.Tables, change Change, offset int64) {
	if change.Manifest == nil || change.Manifest.Version <= next.Manifest.Version {
		return
	}
	w.logManifest(next.Manifest.Version, change.Manifest, offset)
	next.Manifest = *change.Manifest
	next.Release = change.Release
}

// applyDomain adds the failure domain of a change, if it has one, to those out of
// service, or removes it.
func (w *Watcher) applyDomain(out map[string]bool, change Change, offset int64) {
	if change.Domain == "" {
		return
	}
	w.options.Logger.Info().Str("event", "failure_domain_marked").Str("failure_domain", change.Domain).
		Bool("out", change.OutOfService).Int64("offset", offset).Send()
	delete(out, change.Domain)
	if change.OutOfService {
		out[change.Domain] = true
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

func (w *Watcher) logManifest(previous int64, next *manifest.Manifest, offset int64) {
	w.options.Logger.Info().Str("event", "manifest_in_force").Int64("version", next.Version).
		Int64("before", previous).Int64("offset", offset).Send()
	problems := next.CustomerProblems()
	for _, problem := range problems[:min(len(problems), maxProblemLines)] {
		w.options.Logger.Warn().Str("event", "customer_problem").Int64("manifest", next.Version).
			Str("customer", problem.Customer).Str("problem", problem.Text).Int("problems", len(problems)).Send()
	}
}
