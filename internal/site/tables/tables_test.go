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

// decode reads keys "config" with a version, and "out/" with a domain.
func decode(record journal.Record) (Change, error) {
	if domain, ok := strings.CutPrefix(record.Key, "out/"); ok {
		return Change{Domain: domain, Out: len(record.Value) > 0}, nil
	}
	version, err := strconv.ParseInt(string(record.Value), 10, 64)
	if err != nil {
		return Change{}, errors.Wrap(err, "version")
	}
	next := manifest.New(version, nil, nil, manifest.Limits{})
	return Change{Manifest: &next}, nil
}

func put(s *store.Store, key, value string) {
	record := journal.Record{Key: key}
	if value != "" {
		record.Value = []byte(value)
	}
	s.Log().Append(context.Background(), journal.Append{Topic: topic, At: -1, Records: []journal.Record{record}})
}

// seen is what a follower has in force.
type seen struct {
	Version int64
	Out     map[string]bool
}

func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standin := store.New()
		follower := New(Options{Topic: topic, Clock: clock.New(), Log: standin.Log(), Logger: zerolog.Nop(), Decode: decode})
		ctx, cancel := context.WithCancel(t.Context())
		group := new(errgroup.Group)
		group.Go(func() error { return follower.Serve(ctx) })
		expect := func(what string, version int64, out ...string) {
			t.Helper()
			time.Sleep(300 * time.Millisecond) // far below what the platform allows
			marks := map[string]bool{}
			for _, domain := range out {
				marks[domain] = true
			}
			got := seen{Version: follower.Current().Manifest.Version, Out: follower.Current().Out}
			if diff := cmp.Diff(seen{Version: version, Out: marks}, got); diff != "" {
				t.Errorf("%s (-want +got):\n%s", what, diff)
			}
		}
		expect("nothing is known", 0)
		put(standin, "config", "7")
		expect("a manifest", 7)
		put(standin, "config", "unreadable")
		expect("another writer's record", 7)
		put(standin, "out/a", "{}")
		put(standin, "config", "12")
		expect("a mark and a newer manifest", 12, "a")
		put(standin, "config", "11")
		expect("an older manifest", 12, "a")
		standin.SetDown(true)
		time.Sleep(5 * time.Second)
		standin.SetDown(false)
		put(standin, "out/a", "")
		put(standin, "out/b", "{}")
		standin.Forget(topic)
		expect("history dropped after an outage", 12, "b")
		cancel()
		_ = group.Wait() // the context's own end
	})
}

// A poll that the store swallowed while it was silent must not outlast the time
// after which an entry is held to a new manifest again.
func TestPollThatTheStoreSwallowed(t *testing.T) {
	const contact = 3 * clock.Second
	for phase := range 16 { // of the poll under way when the store returns
		synctest.Test(t, func(t *testing.T) {
			standin := store.New()
			log := standin.Log()
			read, silent := log.Read, new(atomic.Bool)
			log.Read = func(ctx context.Context, call journal.Read) journal.Page {
				if silent.Load() {
					<-ctx.Done()
					return journal.Page{Outcome: journal.Unknown}
				}
				return read(ctx, call)
			}
			follower := New(Options{Topic: topic, Clock: clock.New(), Log: log, Logger: zerolog.Nop(), Decode: decode, Contact: contact})
			ctx, cancel := context.WithCancel(t.Context())
			group := new(errgroup.Group)
			group.Go(func() error { return follower.Serve(ctx) })
			put(standin, "config", "7")
			time.Sleep(time.Second)
			silent.Store(true)
			time.Sleep(5*time.Second + time.Duration(phase)*200*time.Millisecond)
			silent.Store(false)
			put(standin, "config", "8")
			time.Sleep(contact.Duration())
			if diff := cmp.Diff(int64(8), follower.Current().Manifest.Version); diff != "" {
				t.Errorf("phase %d (-want +got):\n%s", phase, diff)
			}
			cancel()
			_ = group.Wait() // the context's own end
		})
	}
}

// An entry that the store refuses takes the tables from another that has read
// further, and never from one that has not.
func TestOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		standin := store.New()
		ctx, cancel := context.WithCancel(t.Context())
		group := new(errgroup.Group)
		follow := func(log journal.Log) *Follower {
			follower := New(Options{Topic: topic, Clock: clock.New(), Log: log, Logger: zerolog.Nop(), Decode: decode})
			group.Go(func() error { return follower.Serve(ctx) })
			return follower
		}
		refused, log := new(atomic.Bool), standin.Log()
		read := log.Read
		log.Read = func(ctx context.Context, call journal.Read) journal.Page {
			page := read(ctx, call)
			if refused.Load() {
				return journal.Page{Outcome: journal.NotDone}
			}
			return page
		}
		behind, ahead := follow(log), follow(standin.Log())
		put(standin, "config", "7")
		put(standin, "out/a", "{}")
		time.Sleep(time.Second)
		old := behind.Copy()
		refused.Store(true)
		put(standin, "config", "8")
		put(standin, "out/a", "")
		put(standin, "out/b", "{}")
		time.Sleep(time.Second)
		before := behind.Current().Manifest.Version
		behind.Offer("ahead", ahead.Copy())
		behind.Offer("stale", old)
		got := []seen{
			{Version: before, Out: map[string]bool{"a": true}},
			{Version: behind.Current().Manifest.Version, Out: behind.Current().Out},
		}
		refused.Store(false)
		put(standin, "config", "9")
		time.Sleep(5 * time.Second)
		got = append(got, seen{Version: behind.Current().Manifest.Version, Out: behind.Current().Out})
		want := []seen{
			{Version: 7, Out: map[string]bool{"a": true}},
			{Version: 8, Out: map[string]bool{"b": true}},
			{Version: 9, Out: map[string]bool{"b": true}},
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("tables (-want +got):\n%s", diff)
		}
		cancel()
		_ = group.Wait() // the context's own end
	})
}
