// Package stage runs a small deployment for the cases of a review: the store and the
// workers as stand-ins in this process, and entries as processes of the built program,
// each with a view of the store and a proxy for the calls of other entries.
//
// # Usage
//
//	s, err := stage.New(ctx, stage.Options{Entries: 3, Workers: workers, Record: "record.txt"})
//	defer s.Close()
//	owner, err := s.Owner(ctx)
//	s.Cut(owner.Domain)
package stage

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/codec"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/internal/site/ownership"
	"github.com/oriolepier/oriolepier/internal/standin/store"
	"github.com/oriolepier/oriolepier/platform"
)

// Names of the deployment.
const (
	Host   = "review.example"
	Prefix = "/review/"
	Pool   = "pool"
	Queue  = "review"
)

// Bounds of the deployment, as in the site files of the small deployments.
const (
	MaxLease   clock.Millis = 6 * clock.Second
	Stop       clock.Millis = 900
	Cancel     clock.Millis = 3 * clock.Second
	Visible    clock.Millis = 3 * clock.Second
	Contact    clock.Millis = 3 * clock.Second
	statusKept clock.Millis = 2 * clock.Minute
	grace      clock.Millis = 6 * clock.Second
	heartbeat  clock.Millis = 1100
)

// Limits of an entry's VM, as in the site files of the small deployments.
const (
	entryCores       = 0.4
	entryMemoryMB    = 284
	entryDescriptors = 4100
)

// Times of the stage itself.
const (
	readyLimit = 30 * time.Second
	pollPeriod = 20 * time.Millisecond
	expiry     = 3 * heartbeat // of the entry of a silent worker
)

// Parts of loopback addresses: 127.<base>.<part>.<number>.
const (
	claimPart  = 0
	entryPart  = 1
	linkPart   = 10
	storePart  = 3
	workerPart = 4
	firstBase  = 20
	baseCount  = 40
	claimPort  = "20100"
)

// Options configures a Stage.
type Options struct {
	Entries []string // failure domain of each
	Workers []WorkerOptions
	Program string // the built program
	Record  string // file for what was sent, answered and run
	// Queues are the routes of the manifest; nil: one route to the pool.
	Queues []manifest.Queue
	// Lasting are jobs whose tasks run until they are stopped.
	Lasting map[job.ID]bool
}

// Stage is a running deployment.
type Stage struct {
	Clock   clock.Clock
	Log     journal.Log // of the store, without faults
	Entries []*Entry
	Workers []*Worker
	Record  *Record

	options Options
	ctx     context.Context
	stop    context.CancelFunc
	group   *errgroup.Group
	dir     string
	base    int
	release func()

	mu     sync.Mutex
	starts []Start
	ends   []End
	beats  map[string]clock.Millis // newest heartbeat of each listed worker
}

// New starts a deployment and waits until all entries are ready.
func New(parent context.Context, options Options) (*Stage, error) {
	ctx, stop := context.WithCancel(parent)
	s := &Stage{Clock: clock.New(), options: options, ctx: ctx, stop: stop, group: new(errgroup.Group), beats: map[string]clock.Millis{}}
	if err := s.open(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Stage) open() (err error) {
	if s.Record, err = newRecord(s.options.Record, s.Clock); err != nil {
		return err
	}
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return errors.Wrap(err, "temporary folder")
	}
	if err := s.claimAddresses(); err != nil {
		return err
	}
	s.Log = s.noteHeartbeats(store.New().Log())
	if err := s.publish(1); err != nil {
		return err
	}
	s.group.Go(func() error { s.expireWorkers(); return nil })
	for number, settings := range s.options.Workers {
		if err := s.addWorker(number, settings); err != nil {
			return err
		}
	}
	for number, domain := range s.options.Entries {
		if err := s.addEntry(number, domain); err != nil {
			return err
		}
	}
	if err := s.connect(); err != nil {
		return err
	}
	for _, e := range s.Entries {
		if err := e.Start(); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// publish appends a manifest.
func (s *Stage) publish(version int64) error {
	queues := s.options.Queues
	if queues == nil {
		queues = []manifest.Queue{{
			Name: Queue, Host: Host, PathPrefix: Prefix, Pools: []string{Pool}, MaxFailures: 3,
			ObjectiveFactor: 2, ObjectiveAllowance: clock.Second, Timeout: 3 * clock.Second,
		}}
	}
	record, err := platform.ManifestRecord(version, queues, []manifest.Pool{{Name: Pool, RefusesOvercommit: true}})
	if err != nil {
		return err
	}
	answer := s.Log.Append(s.ctx, journal.Append{Topic: platform.TopicOperator, ExpectedEnd: -1, Records: []journal.Record{record}})
	if answer.Outcome != journal.Done {
		return errors.Errorf("publish: %s", answer.Outcome)
	}
	return nil
}

// claimAddresses finds a base that no other stage uses.
func (s *Stage) claimAddresses() error {
	for i := range baseCount {
		base := firstBase + (os.Getpid()+i)%baseCount
		claim, err := new(net.ListenConfig).Listen(s.ctx, "tcp", net.JoinHostPort(fmt.Sprintf("127.%d.%d.1", base, claimPart), claimPort))
		if err == nil {
			s.base, s.release = base, func() { _ = claim.Close() }
			return nil
		}
	}
	return errors.Errorf("all %d ranges of addresses are in use", baseCount)
}

func (s *Stage) ip(part, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.base, part, number+1)
}

// freeAddresses returns addresses of an IP with ports that are not in use.
func (s *Stage) freeAddresses(ip string, count int) ([]string, error) {
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := new(net.ListenConfig).Listen(s.ctx, "tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, errors.Wrap(err, "find a port")
		}
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().String()
	}
	return addresses, nil
}

// noteHeartbeats returns a log that notes when workers renew their entries.
func (s *Stage) noteHeartbeats(log journal.Log) journal.Log {
	inner := log.Append
	log.Append = func(ctx context.Context, call journal.Append) journal.Answer {
		if call.Topic == platform.TopicWorkers {
			s.mu.Lock()
			for _, record := range call.Records {
				if len(record.Value) > 0 {
					s.beats[record.Key] = s.Clock.Now()
				}
			}
			s.mu.Unlock()
		}
		return inner(ctx, call)
	}
	return log
}

// expireWorkers removes the entries of silent workers until the stage ends.
func (s *Stage) expireWorkers() {
	for s.Clock.Sleep(s.ctx, clock.FromDuration(pollPeriod)) == nil {
		for _, id := range s.takeSilent() {
			s.Record.Add("store", "worker_expired", "worker", id)
			s.Log.Append(s.ctx, journal.Append{Topic: platform.TopicWorkers, ExpectedEnd: -1, Records: []journal.Record{{Key: id}}})
		}
	}
}

func (s *Stage) takeSilent() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var silent []string
	for id, at := range s.beats {
		if s.Clock.Now()-at > expiry {
			silent = append(silent, id)
			delete(s.beats, id)
		}
	}
	return silent
}

// awaitReady waits until all entries report that they are ready.
func (s *Stage) awaitReady() error {
	ctx, cancel := context.WithTimeout(s.ctx, readyLimit)
	defer cancel()
	for _, e := range s.Entries {
		for !e.Ready(ctx) {
			if err := s.Clock.Sleep(ctx, clock.FromDuration(pollPeriod)); err != nil {
				return errors.Wrapf(err, "%s is not ready", e.Name)
			}
		}
	}
	return nil
}

// Owner returns the entry that owns the cell by the newest record, and the epoch.
func (s *Stage) Owner() (owner *Entry, epoch int64) {
	page := s.Log.Newest(s.ctx, platform.Topic("owners"))
	for _, stored := range page.Records {
		var record ownership.Record
		if codec.Unmarshal(stored.Value, &record) != nil {
			continue
		}
		for _, e := range s.Entries {
			if e.Name == record.Name {
				return e, record.Epoch
			}
		}
	}
	return nil, 0
}

// Close ends all processes and servers.
func (s *Stage) Close() {
	for _, e := range s.Entries {
		e.Kill()
	}
	s.stop()
	_ = s.group.Wait() // the parts end with the context
	if s.release != nil {
		s.release()
	}
	if s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
	if s.Record != nil {
		s.Record.close()
	}
}

// serve serves HTTP at an address until the stage ends, and returns the address.
func (s *Stage) serve(address string, handler http.Handler) (string, error) {
	listener, err := new(net.ListenConfig).Listen(s.ctx, "tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	s.group.Go(func() error { _ = server.Serve(listener); return nil })
	s.group.Go(func() error { <-s.ctx.Done(); return server.Close() })
	return listener.Addr().String(), nil
}

// LogFile is the file with the output of an entry.
func (s *Stage) LogFile(e *Entry) string { return filepath.Join(s.dir, e.Name+".log") }
