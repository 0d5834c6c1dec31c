package tables

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/internal/standin/store"
)

const topic = "keyed.tables"

// decode decodes keys "config", with a version as value, and "out/DOMAIN".
func decode(record journal.Record) (Change, error) {
	if domain, ok := strings.CutPrefix(record.Key, "out/"); ok {
		return Change{Domain: domain, OutOfService: len(record.Value) > 0}, nil
	}
	version, err := strconv.ParseInt(string(record.Value), 10, 64)
	if err != nil {
		return Change{}, errors.Wrap(err, "version")
	}
	next := manifest.New(version, nil, nil, manifest.Limits{})
	return Change{Manifest: &next}, nil
}

func appendRecord(s *store.Store, key, value string) {
	record := journal.Record{Key: key}
	if value != "" {
		record.Value = []byte(value)
	}
	s.Log().Append(context.Background(), journal.Append{Topic: topic, ExpectedEnd: -1, Records: []journal.Record{record}})
}

// inForce holds a watcher's manifest version and failure domains out of service.
type inForce struct {
	Version      int64
	OutOfService map[string]bool
}

func TestServeFollowsTopic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standin := store.New()
		watcher := New(Options{Topic: topic, Clock: clock.New(), Log: standin.Log(), Logger: zerolog.Nop(), Decode: decode})
		ctx, cancel := context.WithCancel(t.Context())
		group := new(errgroup.Group)
		group.Go(func() error { return watcher.Serve(ctx) })
		expect := func(what string, version int64, out ...string) {
			t.Helper()
			time.Sleep(300 * time.Millisecond) // far below the platform's limit
			outDomains := map[string]bool{}
			for _, domain := range out {
				outDomains[domain] = true
			}
			got := inForce{Version: watcher.Current().Manifest.Version, OutOfService: watcher.Current().OutOfService}
			if diff := cmp.Diff(inForce{Version: version, OutOfService: outDomains}, got); diff != "" {
				t.Errorf("%s (-want +got):\n%s", what, diff)
			}
		}
		expect("nothing is known", 0)
		appendRecord(standin, "config", "7")
		expect("a manifest", 7)
		appendRecord(standin, "config", "unreadable")
		expect("another writer's record", 7)
		appendRecord(standin, "out/a", "{}")
		appendRecord(standin, "config", "12")
		expect("a mark and a newer manifest", 12, "a")
		appendRecord(standin, "config", "11")
		expect("an older manifest", 12, "a")
		standin.SetDown(true)
		time.Sleep(5 * time.Second)
		standin.SetDown(false)
		appendRecord(standin, "out/a", "")
		appendRecord(standin, "out/b", "{}")
		standin.Truncate(topic)
		expect("history dropped after an outage", 12, "b")
		cancel()
		_ = group.Wait() // ends with the context's error
	})
}

// A poll that the store left unanswered while it was unresponsive must not last
// beyond the time by which a new manifest must be applied again.
func TestServeRecoversFromUnansweredPoll(t *testing.T) {
	const contact = 3 * clock.Second
	for phase := range 16 { // of the pending poll when the store recovers
		synctest.Test(t, func(t *testing.T) {
			standin := store.New()
			log := standin.Log()
			read, unresponsive := log.Read, new(atomic.Bool)
			log.Read = func(ctx context.Context, call journal.Read) journal.Page {
				if unresponsive.Load() {
					<-ctx.Done()
					return journal.Page{Outcome: journal.Unknown}
				}
				return read(ctx, call)
			}
			watcher := New(Options{Topic: topic, Clock: clock.New(), Log: log, Logger: zerolog.Nop(), Decode: decode, Contact: contact})
			ctx, cancel := context.WithCancel(t.Context())
			group := new(errgroup.Group)
			group.Go(func() error { return watcher.Serve(ctx) })
			appendRecord(standin, "config", "7")
			time.Sleep(time.Second)
			unresponsive.Store(true)
			time.Sleep(5*time.Second + time.Duration(phase)*200*time.Millisecond)
			unresponsive.Store(false)
			appendRecord(standin, "config", "8")
			time.Sleep(contact.Duration())
			if diff := cmp.Diff(int64(8), watcher.Current().Manifest.Version); diff != "" {
				t.Errorf("phase %d (-want +got):\n%s", phase, diff)
			}
			cancel()
			_ = group.Wait() // ends with the context's error
		})
	}
}

// An entry whose reads the store refuses takes the tables of an entry that has
// read further, but no older ones.
func TestRestoreTakesOnlyNewerTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standin := store.New()
		ctx, cancel := context.WithCancel(t.Context())
		group := new(errgroup.Group)
		follow := func(log journal.Log) *Watcher {
			watcher := New(Options{Topic: topic, Clock: clock.New(), Log: log, Logger: zerolog.Nop(), Decode: decode})
			group.Go(func() error { return watcher.Serve(ctx) })
			return watcher
		}
		refused, log := new(atomic.Bool), standin.Log()
		refuseReads(&log, refused)
		behind, ahead := follow(log), follow(standin.Log())
		appendRecord(standin, "config", "7")
		appendRecord(standin, "out/a", "{}")
		time.Sleep(time.Second)
		stale := behind.Snapshot()
		refused.Store(true)
		appendRecord(standin, "config", "8")
		appendRecord(standin, "out/a", "")
		appendRecord(standin, "out/b", "{}")
		time.Sleep(time.Second)
		before := behind.Current().Manifest.Version
		behind.Restore("ahead", ahead.Snapshot())
		behind.Restore("stale", stale)
		got := []inForce{
			{Version: before, OutOfService: map[string]bool{"a": true}},
			{Version: behind.Current().Manifest.Version, OutOfService: behind.Current().OutOfService},
		}
		refused.Store(false)
		appendRecord(standin, "config", "9")
		time.Sleep(5 * time.Second)
		got = append(got, inForce{Version: behind.Current().Manifest.Version, OutOfService: behind.Current().OutOfService})
		want := []inForce{
			{Version: 7, OutOfService: map[string]bool{"a": true}},
			{Version: 8, OutOfService: map[string]bool{"b": true}},
			{Version: 9, OutOfService: map[string]bool{"b": true}},
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("tables (-want +got):\n%s", diff)
		}
		cancel()
		_ = group.Wait() // ends with the context's error
	})
}
