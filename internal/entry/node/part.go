package node

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/thejerf/suture/v4"

	"github.com/oriolepier/oriolepier/internal/entry/feed"
	"github.com/oriolepier/oriolepier/internal/platform/remote"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// part is a function under the supervisor.
type part struct {
	name  string
	serve func(ctx context.Context) error
}

// String names the part in the supervisor's reports.
func (p *part) String() string { return p.name }

// Serve implements suture.Service.
func (p *part) Serve(ctx context.Context) error { return p.serve(ctx) }

// critical is a part whose failure ends the process.
type critical struct {
	inner suture.Service
	fail  context.CancelCauseFunc
}

// String names the part in the supervisor's reports.
func (c *critical) String() string { return fmt.Sprint(c.inner) }

// Serve implements suture.Service.
func (c *critical) Serve(ctx context.Context) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("%s panicked: %v", c, cause)
		}
		if ctx.Err() == nil {
			c.fail(errors.Wrapf(err, "%s failed", c))
			err = suture.ErrTerminateSupervisorTree
		}
	}()
	return c.inner.Serve(ctx)
}

// PartState is a part's line in the dump.
type PartState struct {
	Name      string `json:"name"`
	Restarts  int    `json:"restarts"`
	LastError string `json:"last_error,omitempty"`
}

// parts keeps what the supervisor reports.
type parts struct {
	log  zerolog.Logger
	mu   sync.Mutex
	rows map[string]PartState
}

func newParts(log zerolog.Logger) *parts {
	return &parts{log: log, rows: map[string]PartState{}}
}

// note implements suture.EventHook.
func (p *parts) note(ev suture.Event) {
	switch ev := ev.(type) {
	case suture.EventServicePanic:
		p.failed(ev.ServiceName, ev.PanicMsg)
	case suture.EventServiceTerminate:
		p.failed(ev.ServiceName, fmt.Sprint(ev.Err))
	case suture.EventStopTimeout:
		p.log.Warn().Str("part", ev.ServiceName).Msg("part did not stop in time")
	case suture.EventBackoff:
		p.log.Warn().Msg("parts fail too often, restarts are delayed")
	case suture.EventResume:
		p.log.Info().Msg("restarts go on")
	}
}

func (p *parts) failed(name, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.rows[name]
	row.Name = name
	row.Restarts++
	row.LastError = reason
	p.rows[name] = row
	p.log.Warn().Str("part", name).Str("error", reason).Msg("part failed, restarting")
}

func (p *parts) states() []PartState {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := lo.Values(p.rows)
	slices.SortFunc(rows, func(a, b PartState) int { return strings.Compare(a.Name, b.Name) })
	return rows
}

// readers are the stream readers in the tree, by stream.
type readers struct {
	tree  *suture.Supervisor
	mu    sync.Mutex
	stop  map[string]suture.ServiceToken
	pokes map[string]chan struct{}
}

func (r *readers) add(streamName string, reader func(poke <-chan struct{}) suture.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	poke := make(chan struct{}, 1)
	r.pokes[streamName] = poke
	r.stop[streamName] = r.tree.Add(reader(poke))
}

func (r *readers) remove(streamName string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if token, ok := r.stop[streamName]; ok {
		_ = r.tree.Remove(token) // only fails for tokens of other trees
		delete(r.stop, streamName)
		delete(r.pokes, streamName)
	}
}

// poke makes a reader read at once.
func (r *readers) poke(streamName string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case r.pokes[streamName] <- struct{}{}:
	default:
	}
}

// follow starts a reader of a stream.
func (n *Node) follow(streamName string, first stream.Offset) {
	client := do.MustInvoke[*http.Client](n.injector)
	n.readers.add(streamName, func(poke <-chan struct{}) suture.Service {
		return feed.NewStream(feed.StreamOptions{
			Stream: streamName,
			Log:    remote.NewLog(n.options.Setting.Platform.Log, client),
			Inbox:  n.inbox,
			Clock:  n.options.Clock,
			First:  first,
			Poke:   poke,
		})
	})
}
