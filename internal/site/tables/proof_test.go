package tables

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/standin/store"
)

const revoke = 5 * clock.Second

// followProofs runs a watcher with Options.Revoke in virtual time, while test runs.
func followProofs(t *testing.T, change func(log *journal.Log, clk clock.Clock), test func(watcher *Watcher, standin *store.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		standin, clk := store.New(), clock.New()
		log := standin.Log()
		change(&log, clk)
		watcher := New(Options{Topic: topic, Clock: clk, Log: log, Logger: zerolog.Nop(), Decode: decode, Contact: 3 * clock.Second, Revoke: revoke})
		ctx, cancel := context.WithCancel(t.Context())
		group := new(errgroup.Group)
		group.Go(func() error { return watcher.Serve(ctx) })
		test(watcher, standin)
		cancel()
		_ = group.Wait() // ends with the context's error
	})
}

// While the store answers, the proof is never older than two waits of a poll, and the
// store gets no call but the long poll.
func TestProofInContact(t *testing.T) {
	for _, peerProofs := range []bool{false, true} {
		var reads atomic.Int64
		followProofs(t, func(log *journal.Log, _ clock.Clock) {
			read := log.Read
			log.Read = func(ctx context.Context, call journal.Read) journal.Page {
				reads.Add(1)
				return read(ctx, call)
			}
		}, func(watcher *Watcher, standin *store.Store) {
			now := watcher.options.Clock.Now
			time.Sleep(50 * time.Millisecond)
			oldest := clock.Millis(0)
			for i := range 1000 {
				if i%300 == 0 {
					appendRecord(standin, "config", "7")
				}
				if peerProofs {
					watcher.Confirm(Proof{End: watcher.End(), At: now() - 3*revoke/10})
				}
				time.Sleep(10 * time.Millisecond)
				oldest = max(oldest, now()-watcher.ProvenAt())
			}
			limit := 2 * revoke / ownPollDivisor
			if peerProofs {
				limit = 3*revoke/10 + 10
			}
			if oldest > limit {
				t.Errorf("proofs of other entries %v: the proof was %d ms old, want at most %d", peerProofs, oldest, limit)
			}
		})
		// 10 s in waits of 312 or 1000 ms, the first poll, and one for each of 4 records.
		if limit := map[bool]int64{false: 38, true: 16}[peerProofs]; reads.Load() > limit {
			t.Errorf("proofs of other entries %v: %d reads, want at most %d", peerProofs, reads.Load(), limit)
		}
	}
}

// A poll that is answered late proves nothing after it was sent, and a refused or
// unanswered one nothing at all.
func TestProofCountsFromBeforePoll(t *testing.T) {
	var delay, sent atomic.Int64 // in ms
	followProofs(t, func(log *journal.Log, clk clock.Clock) {
		read := log.Read
		log.Read = func(ctx context.Context, call journal.Read) journal.Page {
			sent.Store(int64(clk.Now()))
			page := read(ctx, call)
			time.Sleep(time.Duration(delay.Load()) * time.Millisecond)
			return page
		}
	}, func(watcher *Watcher, standin *store.Store) {
		time.Sleep(2 * time.Second)
		delay.Store(900)
		time.Sleep(2 * time.Second)
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
			if int64(watcher.ProvenAt()) > sent.Load() {
				t.Fatalf("the proof is of %d, the newest poll was sent at %d", watcher.ProvenAt(), sent.Load())
			}
			if age := watcher.options.Clock.Now() - watcher.ProvenAt(); age > 3*clock.Second {
				t.Fatalf("the proof is %d ms old although each poll is answered after 1.4 s", age)
			}
		}
		standin.SetDown(true)
		lastSent := sent.Load()
		time.Sleep(10 * time.Second)
		if int64(watcher.ProvenAt()) > lastSent {
			t.Errorf("the proof is of %d, after the last answered poll was sent at %d", watcher.ProvenAt(), lastSent)
		}
	})
}

// The newest records are not read at one time, so they prove nothing until the next
// read, and a page that ends before the topic does neither.
func TestProofNeedsEndOfTopic(t *testing.T) {
	var blocked, short atomic.Bool
	blocked.Store(true)
	followProofs(t, func(log *journal.Log, _ clock.Clock) {
		read := log.Read
		log.Read = func(ctx context.Context, call journal.Read) journal.Page {
			if blocked.Load() {
				return journal.Page{Outcome: journal.NotDone}
			}
			page := read(ctx, call)
			if short.Load() {
				page.End++ // a record that did not fit into the page
			}
			return page
		}
	}, func(watcher *Watcher, standin *store.Store) {
		now := watcher.options.Clock.Now
		appendRecord(standin, "config", "7")
		time.Sleep(time.Second)
		proven := []bool{watcher.ProvenAt() != 0}
		blocked.Store(false)
		time.Sleep(200 * time.Millisecond)
		proven = append(proven, watcher.ProvenAt() != 0)
		short.Store(true)
		time.Sleep(time.Second)
		shortFrom := now()
		appendRecord(standin, "config", "8")
		time.Sleep(time.Millisecond)
		proven = append(proven, watcher.ProvenAt() >= shortFrom)
		if diff := cmp.Diff([]bool{false, true, false}, proven); diff != "" {
			t.Errorf("proven by the newest records, by the read after them, by a short page (-want +got):\n%s", diff)
		}
	})
}

// refuseReads makes reads of a log fail while refused is set.
func refuseReads(log *journal.Log, refused *atomic.Bool) {
	read := log.Read
	log.Read = func(ctx context.Context, call journal.Read) journal.Page {
		page := read(ctx, call)
		if refused.Load() {
			return journal.Page{Outcome: journal.NotDone}
		}
		return page
	}
}

// Another entry's proof counts only where its records are applied, and never makes the
// own proof older.
func TestConfirmNeedsRecordsOfOtherEntry(t *testing.T) {
	var refused atomic.Bool
	followProofs(t, func(log *journal.Log, _ clock.Clock) {
		refuseReads(log, &refused)
	}, func(watcher *Watcher, standin *store.Store) {
		now := watcher.options.Clock.Now
		appendRecord(standin, "config", "7")
		time.Sleep(time.Second)
		refused.Store(true)
		time.Sleep(3 * time.Second)
		before, end := watcher.ProvenAt(), watcher.End()
		var got []bool
		confirm := func(proof Proof) {
			watcher.Confirm(proof)
			got = append(got, watcher.ProvenAt() == proof.At)
		}
		confirm(Proof{End: end + 1, At: now()})
		confirm(Proof{End: end, At: before - 100})
		confirm(Proof{End: end, At: now() - 300})
		watcher.Restore("ahead", Snapshot{End: end + 1})
		confirm(Proof{End: end + 1, At: now() - 200})
		confirm(Proof{End: end, At: now() - 100}) // an entry that has read less
		if diff := cmp.Diff([]bool{false, false, true, true, true}, got); diff != "" {
			t.Errorf("taken over: of an entry ahead, an older one, a newer one, after its records, of an entry behind (-want +got):\n%s", diff)
		}
		if got := (Proof{End: end + 1, At: now() - 100}); got != watcher.Proof() {
			t.Errorf("proof %+v, want %+v", watcher.Proof(), got)
		}
	})
}
