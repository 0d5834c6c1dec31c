package node

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/setting"
	"github.com/oriolepier/oriolepier/internal/entry/api"
	"github.com/oriolepier/oriolepier/internal/entry/console"
	"github.com/oriolepier/oriolepier/internal/entry/control"
	"github.com/oriolepier/oriolepier/internal/entry/effect"
	"github.com/oriolepier/oriolepier/internal/entry/feed"
	"github.com/oriolepier/oriolepier/internal/entry/member"
	"github.com/oriolepier/oriolepier/internal/entry/peer"
	"github.com/oriolepier/oriolepier/internal/platform/remote"
	"github.com/oriolepier/oriolepier/internal/traffic/gate"
	"github.com/oriolepier/oriolepier/internal/traffic/view"
)

// Sizes of what an entry keeps open towards the platform.
const (
	maxEffects                        = 256 // appends, orders and calls to peers under way at once
	platformIdlePerHost               = 4
	platformIdle                      = 2048
	platformIdleTimeout  clock.Millis = 90 * clock.Second
	platformConnsPerHost              = 64
)

// wire declares how each part is made; parts are made when first asked for.
func (n *Node) wire() do.Injector {
	injector := do.New()
	do.ProvideValue(injector, n.options.Setting)
	do.ProvideValue(injector, n.options.Clock)
	do.ProvideValue(injector, n.options.Log)
	do.ProvideValue(injector, n.inbox)
	do.ProvideValue(injector, view.NewBox())
	do.Provide(injector, newPlatformClient)
	do.Provide(injector, newEffects(n))
	do.Provide(injector, newPeerClient)
	do.Provide(injector, newGate(n))
	do.Provide(injector, newControl(n))
	return injector
}

// newPlatformClient returns the HTTP client for the log, the VM list, usage
// reports and worker agents.
func newPlatformClient(do.Injector) (*http.Client, error) {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns:        platformIdle,
		MaxIdleConnsPerHost: platformIdlePerHost,
		MaxConnsPerHost:     platformConnsPerHost,
		IdleConnTimeout:     platformIdleTimeout.Duration(),
	}}, nil
}

func newEffects(n *Node) do.Provider[*effect.Pool] {
	return func(do.Injector) (*effect.Pool, error) {
		return effect.New(effect.Options{Inbox: n.inbox, Limit: maxEffects}), nil
	}
}

func newPeerClient(injector do.Injector) (*peer.Client, error) {
	entry := do.MustInvoke[setting.Entry](injector)
	security, err := loadTLS(entry.TLS)
	if err != nil {
		return nil, err
	}
	return peer.NewClient(peer.Options{Name: entry.Name, Token: entry.Token, TLS: security.client()}), nil
}

func newGate(n *Node) do.Provider[*gate.Gate] {
	return func(injector do.Injector) (*gate.Gate, error) {
		return gate.New(gate.Options{
			Box:   do.MustInvoke[*view.Box](injector),
			Clock: n.options.Clock,
			Log:   n.options.Log,
			Entry: n.options.Setting.Name,
			Seed:  xxhash.Sum64String(n.boot),
		}), nil
	}
}

func newControl(n *Node) do.Provider[*control.Control] {
	return func(injector do.Injector) (*control.Control, error) {
		entry := n.options.Setting
		client := do.MustInvoke[*http.Client](injector)
		traffic := do.MustInvoke[*gate.Gate](injector)
		return control.New(control.Options{
			Name:         entry.Name,
			Domain:       entry.FailureDomain,
			Boot:         n.boot,
			Seeds:        lo.Map(entry.Peers, seedOf),
			Seed:         xxhash.Sum64String(n.boot),
			Clock:        n.options.Clock,
			Log:          n.options.Log,
			Inbox:        n.inbox,
			Effects:      do.MustInvoke[*effect.Pool](injector),
			Box:          do.MustInvoke[*view.Box](injector),
			Stream:       remote.NewLog(entry.Platform.Log, client),
			LogRetention: entry.Platform.LogRetentionMS,
			Agent:        remote.NewAgent(client),
			Call:         do.MustInvoke[*peer.Client](injector).Call,
			Vars:         n.vars,
			InFlight:     traffic.InFlight,
			Follow:       n.follow,
			Unfollow:     n.readers.remove,
			Poke:         n.readers.poke,
		}), nil
	}
}

func seedOf(seed setting.Peer, _ int) member.Seed {
	return member.Seed{Name: seed.Name, FailureDomain: seed.FailureDomain, Address: seed.Address}
}

// add puts all parts into the tree; cell readers follow when control asks.
func (n *Node) add() {
	entry := n.options.Setting
	client := do.MustInvoke[*http.Client](n.injector)
	effects := do.MustInvoke[*effect.Pool](n.injector)
	n.tree.Add(&critical{inner: n.control, fail: n.kill})
	n.tree.Add(&part{name: "effects", serve: effects.Run})
	n.tree.Add(&part{name: "gate", serve: n.gate.Run})
	n.tree.Add(&feed.VMs{
		List:    remote.NewList(entry.Platform.Inventory, client),
		Domains: n.control.Domains,
		Inbox:   n.inbox,
		Clock:   n.options.Clock,
	})
	n.tree.Add(&feed.Usage{
		Domain: entry.FailureDomain,
		Wanted: n.control.Schedules,
		Usages: remote.NewUsages(entry.Platform.Usage, client),
		Inbox:  n.inbox,
		Clock:  n.options.Clock,
	})
	n.follow(control.ConfigStream, 1)
	n.tree.Add(n.peers)
	n.tree.Add(n.operator)
	n.tree.Add(n.callers)
}

// callersHandler serves the tasks API and readiness; all other paths are
// requests under routes.
func (n *Node) callersHandler() http.Handler {
	mux := http.NewServeMux()
	api.Register(mux, api.Backing{
		Submit: n.control.Submit,
		Cancel: n.control.Cancel,
		Status: n.control.Status,
		List:   n.control.List,
	})
	mux.HandleFunc("GET /v1/ready", console.ReadyHandler(n.Ready))
	mux.Handle("/", n.gate)
	return mux
}

func (n *Node) operatorsHandler() http.Handler {
	return console.New(console.Options{
		Token: n.options.Setting.Token,
		Dump:  n.Dump,
		Ready: n.Ready,
		Vars:  n.vars,
	})
}

// Ready tells a balancer whether to send requests here.
func (n *Node) Ready() console.Readiness {
	reason := n.control.Ready()
	if reason == "" && n.gate.Version() == 0 {
		reason = "the routes are being brought in"
	}
	return console.Readiness{Ready: reason == "", Reason: reason, ConfigVersion: n.control.Version()}
}

// Dump is the state of the whole process, for operators.
type Dump struct {
	Entry         string       `json:"entry"`
	FailureDomain string       `json:"failure_domain"`
	Boot          string       `json:"boot"`
	ConfigVersion int64        `json:"config_version"`
	Ready         string       `json:"not_ready_because"`
	Parts         []PartState  `json:"parts"`
	Control       control.Dump `json:"control"`
	Traffic       gate.Dump    `json:"traffic"`
}

// Dump gathers all state that decisions used. The error is a fault when the
// control thread does not answer in time.
func (n *Node) Dump(ctx context.Context) (any, error) {
	inner, err := n.control.Dump(ctx)
	if err != nil {
		return nil, err
	}
	return Dump{
		Entry:         n.options.Setting.Name,
		FailureDomain: n.options.Setting.FailureDomain,
		Boot:          n.boot,
		ConfigVersion: n.control.Version(),
		Ready:         n.control.Ready(),
		Parts:         n.parts.states(),
		Control:       inner,
		Traffic:       n.gate.Dump(),
	}, nil
}
