// Package control is the one thread that holds an entry's control state:
// configuration, VM list, membership and the cells that it follows or owns.
//
// Everything reaches it as an event; everything that takes time leaves it as an
// effect whose result returns as an event. It publishes one immutable snapshot
// for the traffic side.
//
//	config, cells ── StreamRead ─┐
//	VM list, usage ── VMsRead ───┤            ┌─> view.Snapshot ──> traffic
//	peers ───────── PeerHeard ───┼─> inbox ───┼─> owners ──> journal ──> log
//	callers ── Submit, Cancel ───┤  (Serve)   ├─> owners ──> orders ───> workers
//	effects ──────────── Done ───┘            └─> heartbeats ──────────> peers
//
// # Usage
//
//	ctl := control.New(control.Options{Name: "a-e-1", Domain: "a", ...})
//	err := ctl.Serve(ctx) // under the supervisor
//	status, err := ctl.Submit(ctx, spec)
package control

import (
	"context"
	"expvar"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/batch/journal"
	"github.com/oriolepier/oriolepier/internal/batch/owner"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/entry/effect"
	"github.com/oriolepier/oriolepier/internal/entry/event"
	"github.com/oriolepier/oriolepier/internal/entry/member"
	"github.com/oriolepier/oriolepier/internal/entry/peer"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

// ConfigStream is the log stream of the operators' tables and marks.
const ConfigStream = "config"

// Pace of the control thread and patience with what it calls.
const (
	tickInterval    clock.Millis = 10
	configPause     clock.Millis = 1000 // between reads of the config stream; peers' heartbeats tell of news sooner
	cellPause       clock.Millis = 400  // between reads of a cell that stands still
	standbyPause    clock.Millis = 1000 // the same for a cell of another failure domain
	cellBusyPause   clock.Millis = 100  // while records of this entry wait to be read back
	ownerInterval   clock.Millis = 50
	viewInterval    clock.Millis = 100  // least time between two snapshots for traffic
	memberInterval  clock.Millis = 1000 // membership changes are looked for this often
	appendTimeout   clock.Millis = 5 * clock.Second
	orderTimeout    clock.Millis = 2 * clock.Second
	peerTimeout     clock.Millis = 1 * clock.Second
	fetchTimeout    clock.Millis = 5 * clock.Second
	offerInterval   clock.Millis = 2 * clock.Second  // between two fetches of a configuration from peers
	startGrace      clock.Millis = 20 * clock.Second // VMs found within it after the start count as warm
	absentKept      clock.Millis = 10 * clock.Minute // how long a VM that left the list counts as leaving
	logRetention    clock.Millis = 30 * clock.Minute // assumed of the platform's log when the options do not say
	snapshotPatient clock.Millis = 5 * clock.Second  // per rank: lower ranks write snapshots first
)

// followAll is the number of cells up to which each entry follows all of them.
const followAll = 12

// standbys is how many entries of other failure domains follow a cell.
const standbys = 2

// Options are what a control thread needs.
type Options struct {
	Name    string
	Domain  string
	Boot    string // unique for each life of the process
	Seeds   []member.Seed
	Seed    uint64
	Clock   clock.Clock
	Log     zerolog.Logger
	Inbox   *event.Inbox
	Effects *effect.Pool
	Box     *view.Box
	Stream  stream.Log
	// LogRetention is how long the platform's log keeps a record; 0 for a default.
	LogRetention clock.Millis
	Agent        worker.Agent
	Call         peer.Call
	Vars         *expvar.Map
	// InFlight tells how many requests this entry is answering.
	InFlight func() int
	// Follow starts a reader of a stream, Unfollow ends it.
	Follow   func(streamName string, first stream.Offset)
	Unfollow func(streamName string)
	// Poke makes the reader of a stream read at once.
	Poke func(streamName string)
}

// Control is the control thread's state. Only Serve's goroutine touches it, but
// for the atomics and the methods that say so.
type Control struct {
	options Options
	started clock.Millis

	ledger       ledger.State
	configReadAt clock.Millis // start of the last read that reached the end; 0: none
	configLost   bool         // the last read failed
	config       ledger.Config
	lastOffer    clock.Millis
	snapshotAt   clock.Millis // when a snapshot of the config stream was last written or seen
	snapshotOff  stream.Offset

	fleet   fleet
	members member.Table
	asked   map[string]clock.Millis // heartbeats sent, by member
	seen    map[string]member.State // opinions last logged
	settled bool                    // cells were shared out without entries never heard of

	journal *journal.Journal
	cells   map[string]*owner.Owner
	names   []string // all configured cells, in order

	dirty     bool // the traffic snapshot is out of date
	viewedAt  clock.Millis
	tickedAt  clock.Millis
	memberAt  clock.Millis
	leaving   bool
	drainDone []chan struct{}

	beat      atomic.Pointer[member.Beat]
	version   atomic.Int64
	domains   atomic.Pointer[[]string]
	schedules atomic.Bool
	ready     atomic.Pointer[string] // why not ready; "" when ready
	count     counters
}

// New returns a control thread that has heard of nothing yet.
func New(options Options) *Control {
	options.LogRetention = lo.CoalesceOrEmpty(options.LogRetention, logRetention)
	c := &Control{
		options: options,
		started: options.Clock.Now(),
		ledger:  ledger.New(),
		members: member.New(options.Name, options.Domain).WithSeeds(options.Seeds),
		asked:   map[string]clock.Millis{},
		seen:    map[string]member.State{},
		cells:   map[string]*owner.Owner{},
		count:   newCounters(options.Vars),
	}
	c.journal = journal.New(journal.Options{
		Writer: options.Name + "/" + options.Boot,
		Clock:  options.Clock,
		Append: c.append,
	})
	c.setReady("no configuration yet")
	c.domains.Store(&[]string{options.Domain})
	c.publishBeat()
	return c
}

// String names the thread in the supervisor's reports.
func (c *Control) String() string { return "control" }

// Serve handles events and ticks until the context ends.
func (c *Control) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case ev := <-c.options.Inbox.C():
			c.handle(ev)
		case <-ticker.C:
			c.tick()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *Control) handle(ev any) {
	switch ev := ev.(type) {
	case event.StreamRead:
		ev.Next <- c.streamRead(ev)
	case event.StreamFailed:
		c.streamFailed(ev)
	case event.VMsRead:
		c.vmsRead(ev)
	case event.UsageRead:
		c.usageRead(ev)
	case event.PeerHeard:
		c.members = c.members.WithHeard(ev.Beat, ev.At)
	case event.Done:
		ev.Run()
	case event.Submit:
		c.submit(ev)
	case event.Cancel:
		c.cancel(ev)
	case event.Lookup:
		c.lookup(ev)
	case event.List:
		ev.Reply <- event.Answer{Jobs: c.list(ev)}
	case event.Inspect:
		ev.Run()
		close(ev.Done)
	case event.Drain:
		c.drain(ev)
	}
}

func (c *Control) tick() {
	now := c.options.Clock.Now()
	c.journal.Tick()
	if now-c.tickedAt >= ownerInterval {
		c.tickedAt = now
		c.heartbeats(now)
		c.tickCells()
		c.publishBeat()
	}
	if now-c.memberAt >= memberInterval {
		c.memberAt = now
		c.watchMembers(now)
		c.askForConfig(now)
		c.writeConfigSnapshot(now)
	}
	if c.dirty && now-c.viewedAt >= viewInterval {
		c.viewedAt = now
		c.publishView(now)
	}
	c.finishDrain()
}

func (c *Control) streamRead(ev event.StreamRead) event.ReadOn {
	if ev.Stream == ConfigStream {
		return event.ReadOn{From: c.configRead(ev), Pause: configPause}
	}
	return event.ReadOn{From: c.cellRead(ev), Pause: c.pauseOf(ev.Stream)}
}

func (c *Control) pauseOf(streamName string) clock.Millis {
	own, ok := c.cellOfStream(streamName)
	switch {
	case c.journal.Backlog(streamName) > 0:
		return cellBusyPause
	case !ok || own.Owns() || job.DomainOf(strings.TrimPrefix(streamName, job.StreamName(""))) == c.options.Domain:
		return cellPause
	}
	return standbyPause
}

func (c *Control) streamFailed(ev event.StreamFailed) {
	c.count.readFailures.Add(1)
	if ev.Stream == ConfigStream {
		c.configFailed(ev.Err)
		return
	}
	if cell, ok := c.cellOfStream(ev.Stream); ok {
		cell.ReadFailed()
	}
}

// append sends one append of the journal.
func (c *Control) append(streamName string, data []byte, done func(stream.Offset, error)) {
	c.count.appends.Add(1)
	c.count.appendBytes.Add(int64(len(data)))
	c.options.Effects.Go(appendTimeout, func(ctx context.Context) func() {
		offset, err := c.options.Stream.Append(ctx, streamName, data)
		return func() {
			done(offset, err)
			c.options.Poke(streamName) // orders wait for the record to be read back
		}
	})
}

func (c *Control) setReady(reason string) { c.ready.Store(&reason) }

// Ready returns why the entry should get no requests, or "". Any goroutine may
// call it.
func (c *Control) Ready() string { return *c.ready.Load() }

// Version returns the configuration version in force. Any goroutine may call it.
func (c *Control) Version() int64 { return c.version.Load() }
