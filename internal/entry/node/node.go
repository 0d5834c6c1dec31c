// Package node is an entry as a whole: its parts, wired together and kept
// running by a supervisor tree.
//
//	node
//	├── control        the control thread; its failure ends the process
//	├── effects        appends, orders to workers, calls to peers
//	├── readers        config stream, cell streams, VM list, usage
//	├── peer listener  JSON-RPC from other entries
//	├── gate           upkeep of connections to backend servers
//	├── callers        HTTP: requests under routes, tasks API, readiness
//	└── operators      HTTP: dump, counters, readiness
//
// A part that fails is restarted with a growing delay and shows in the dump.
// The control thread is not restarted: its state may be half changed, and a new
// process rebuilds it from the log.
//
// # Usage
//
//	entry, err := node.New(node.Options{Setting: setting, Clock: clock.New(), Log: log})
//	err = entry.Serve(ctx) // until ctx ends, then a graceful shutdown
package node

import (
	"context"
	"expvar"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"github.com/thejerf/suture/v4"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/config/setting"
	"github.com/oriolepier/oriolepier/internal/entry/control"
	"github.com/oriolepier/oriolepier/internal/entry/event"
	"github.com/oriolepier/oriolepier/internal/entry/peer"
	"github.com/oriolepier/oriolepier/internal/traffic/gate"
)

// Bounds of a graceful shutdown, after the balancer's notice time.
const (
	inFlightWait clock.Millis = 60 * clock.Second // for requests being answered
	handoverWait clock.Millis = 5 * clock.Second  // for cells to be handed over by record
	partStopWait clock.Millis = 5 * clock.Second  // for a part to end
)

// Options are what an entry is started with.
type Options struct {
	Setting setting.Entry
	Clock   clock.Clock
	Log     zerolog.Logger
}

// Node is one entry.
type Node struct {
	options  Options
	boot     string
	injector do.Injector
	control  *control.Control
	gate     *gate.Gate
	inbox    *event.Inbox
	vars     *expvar.Map
	tree     *suture.Supervisor
	readers  *readers
	parts    *parts
	callers  *listener
	operator *listener
	peers    *peerPart
	kill     context.CancelCauseFunc
	life     context.Context
}

// errKilled ends a node without any graceful step.
var errKilled = errors.New("killed")

// New wires an entry and opens its listeners; nothing is served before Serve.
func New(options Options) (*Node, error) {
	life, kill := context.WithCancelCause(context.Background())
	n := &Node{
		options: options,
		boot:    ulid.Make().String(),
		inbox:   event.NewInbox(),
		vars:    new(expvar.Map).Init(),
		parts:   newParts(options.Log),
		life:    life,
		kill:    kill,
	}
	n.tree = suture.New("entry "+options.Setting.Name, suture.Spec{
		EventHook: n.parts.note,
		Timeout:   partStopWait.Duration(),
	})
	n.readers = &readers{tree: n.tree, stop: map[string]suture.ServiceToken{}, pokes: map[string]chan struct{}{}}
	n.injector = n.wire()
	if err := n.build(); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

// build takes the wired parts and opens the listeners.
func (n *Node) build() error {
	var err error
	if n.control, err = do.Invoke[*control.Control](n.injector); err != nil {
		return fault.New(fault.NotRun, "wire", n.options.Setting.Name, err)
	}
	if n.gate, err = do.Invoke[*gate.Gate](n.injector); err != nil {
		return fault.New(fault.NotRun, "wire", n.options.Setting.Name, err)
	}
	n.vars.Set("traffic", n.gate.Vars())

	security, err := loadTLS(n.options.Setting.TLS)
	if err != nil {
		return err
	}
	listen := n.options.Setting.Listen
	if n.callers, err = newListener("callers", listen.Callers, security.server(), n.callersHandler()); err != nil {
		return err
	}
	if n.operator, err = newListener("operators", listen.Operators, security.server(), n.operatorsHandler()); err != nil {
		return err
	}
	n.peers, err = newPeerPart(listen.Peers, peer.Options{
		Name:     n.options.Setting.Name,
		Token:    n.options.Setting.Token,
		TLS:      security.mutual(),
		Handlers: n.control.Handlers(),
	})
	return err
}

// Serve runs the entry until the context ends, and then shuts down gracefully:
//
//	not ready, cells handed over ─> notice time ─> requests in flight end ─> parts stop
//
// It returns nil after a graceful shutdown or a Kill.
func (n *Node) Serve(ctx context.Context) error {
	n.add()
	ended := n.tree.ServeBackground(n.life)
	n.options.Log.Info().Str("boot", n.boot).
		Str("callers", n.callers.address()).Msg("serving")
	select {
	case err := <-ended:
		n.closeListeners()
		if errors.Is(context.Cause(n.life), errKilled) {
			return nil
		}
		return fault.New(fault.Unknown, "serve", n.options.Setting.Name, err)
	case <-ctx.Done():
		n.shutDown()
	}
	n.kill(errKilled)
	n.options.Log.Debug().AnErr("supervisor", <-ended).Msg("all parts ended")
	return nil
}

// Kill ends the entry at once, as the loss of its VM would.
func (n *Node) Kill() {
	n.kill(errKilled)
	n.closeListeners()
}

// CallersAddress returns the ip:port that callers use.
func (n *Node) CallersAddress() string { return n.callers.address() }

// OperatorsAddress returns the ip:port that operators use.
func (n *Node) OperatorsAddress() string { return n.operator.address() }

func (n *Node) shutDown() {
	log := n.options.Log
	log.Info().Msg("shutting down: not ready, handing cells over")
	drained := make(chan struct{})
	if err := n.inbox.Post(n.life, event.Drain{Done: drained}); err != nil {
		return
	}
	n.gate.Drain(true)
	_ = n.options.Clock.Sleep(n.life, n.options.Setting.NoticeMS) // ends early only when killed

	limited, cancel := context.WithTimeout(n.life, inFlightWait.Duration())
	defer cancel()
	if err := n.callers.shutDown(limited); err != nil {
		log.Warn().Err(err).Int("in_flight", n.gate.InFlight()).Msg("requests were still in flight at the end")
	}
	handed, cancelHanded := context.WithTimeout(n.life, handoverWait.Duration())
	defer cancelHanded()
	select {
	case <-drained:
	case <-handed.Done():
		log.Warn().Msg("cells were not handed over in time; others will claim them")
	}
	log.Info().Msg("stopped")
}

func (n *Node) closeListeners() {
	for _, part := range []*listener{n.callers, n.operator} {
		if part != nil {
			part.close()
		}
	}
	if n.peers != nil {
		n.peers.close()
	}
}
