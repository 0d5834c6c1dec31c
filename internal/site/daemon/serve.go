package daemon

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/front"
	"github.com/oriolepier/oriolepier/internal/site/gateway"
	"github.com/oriolepier/oriolepier/internal/site/peer"
	"github.com/oriolepier/oriolepier/internal/site/relay"
	"github.com/oriolepier/oriolepier/internal/site/tables"
	"github.com/oriolepier/oriolepier/platform"
)

// Limits of the listeners.
const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// service is a part under the supervisor.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String names the service in the supervisor's events.
func (s service) String() string { return s.name }

// supervise runs the parts, restarting those that fail.
func (d *Daemon) supervise(ctx context.Context) error {
	supervisor := suture.New("entry", suture.Spec{
		EventHook: func(event suture.Event) {
			d.logger.Error().Str("event", "part_failed").Str("what", event.String()).Send()
		},
		Timeout: d.departure().serving + time.Second,
	})
	parts := []service{
		{name: "tables", run: d.tables.Serve},
		{name: "ownership", run: d.elector.Serve},
		{name: "peers", run: d.servePeers},
		{name: "consumers", run: d.serveConsumers},
		{name: "metrics", run: d.serveMetrics},
	}
	if d.settings.Ready != "" {
		parts = append(parts, service{name: "readiness", run: d.serveReadiness})
	}
	if d.options.Product != nil {
		keeper := gateway.New(gateway.Options{
			Box: d.box, Clock: d.clock, Domain: d.settings.Domain, Entries: d.options.Product.Entries,
			Tables: d.tables.Since, Workers: d.roster.Since,
		})
		parts = append(parts, service{name: "workers", run: d.roster.Serve}, service{name: "requests", run: keeper.Serve},
			service{name: "gate", run: d.gate.Run})
	}
	for _, part := range parts {
		supervisor.Add(part)
	}
	return supervisor.Serve(ctx)
}

func (d *Daemon) serveConsumers(ctx context.Context) error {
	desk := relay.New(relay.Options{Clock: d.clock, Current: d.elector.Current, Local: d.owner, Peers: d.peers})
	return d.serveHTTP(ctx, d.settings.Consumer, front.New(front.Options{
		Clock: d.clock, Logger: d.logger, Metrics: d.metrics,
		Manifest: func() manifest.Manifest { return d.tables.Current().Manifest },
		Desk:     desk,
		Patience: platform.Patience,
		Decode:   platform.DecodeSubmission,
		State:    func(state job.State) any { return platform.EncodeState(state) },
		Count:    func(waiting int) any { return platform.CountBody{Waiting: waiting} },
		Requests: d.requests(),
	}))
}

// requests returns the request side of an entry with tables of its own.
func (d *Daemon) requests() http.Handler {
	if d.options.Product == nil {
		return nil
	}
	return d.gate
}

func (d *Daemon) serveReadiness(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReady, d.answerReady)
	return d.serveHTTP(ctx, d.settings.Ready, mux)
}

// guarded lets in only who shows the operators' token, where there is one. The
// readiness check needs none.
func (d *Daemon) guarded(inner http.Handler) http.Handler {
	if d.options.Product == nil || d.options.Product.Token == "" {
		return inner
	}
	want := []byte("Bearer " + d.options.Product.Token)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		given := []byte(request.Header.Get("Authorization"))
		if request.URL.Path != "/ready" && subtle.ConstantTimeCompare(given, want) != 1 {
			writer.WriteHeader(http.StatusUnauthorized)
			return
		}
		inner.ServeHTTP(writer, request)
	})
}

// answerReady tells the balancer whether this entry wants requests.
func (d *Daemon) answerReady(writer http.ResponseWriter, _ *http.Request) {
	if !d.ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (d *Daemon) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(writer http.ResponseWriter, _ *http.Request) {
		d.metrics.WritePrometheus(writer)
	})
	mux.HandleFunc("GET /state", func(writer http.ResponseWriter, request *http.Request) {
		data, err := json.Marshal(d.dump(request.Context()))
		if err != nil {
			d.logger.Error().Err(err).Msg("the state cannot be encoded")
			writer.WriteHeader(http.StatusInternalServerError)
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		_, _ = writer.Write(data) // a reader that left needs none
	})
	mux.HandleFunc("GET /ready", d.answerReady)
	return d.serveHTTP(ctx, d.metricsAddress(), d.guarded(mux))
}

// serveHTTP serves until the context ends, and then answers what is open.
func (d *Daemon) serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return fault.New(fault.NotRun, "listen", address, err)
	}
	if d.options.Product != nil && d.options.Product.Keys != nil {
		listener = tls.NewListener(listener, d.options.Product.Keys.Server())
	}
	return serveUntil(ctx, listener, handler, d.departure().serving)
}

// serveUntil serves until the context ends. Requests that are open then may be
// served on for a while. Shortly before its end their contexts end, so that
// their callers are told that they were given up.
func serveUntil(ctx context.Context, listener net.Listener, handler http.Handler, serving time.Duration) error {
	requests, giveUp := context.WithCancel(context.WithoutCancel(ctx))
	defer giveUp()
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return requests },
	}
	group, ended := errgroup.WithContext(context.WithoutCancel(ctx))
	group.Go(func() error { return server.Serve(listener) })
	address := listener.Addr().String()
	select {
	case <-ended.Done():
		return fault.New(fault.Unknown, "serve", address, group.Wait())
	case <-ctx.Done():
	}
	defer time.AfterFunc(max(serving-lastWord, 0), giveUp).Stop()
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), serving)
	defer cancel()
	if err := server.Shutdown(leaving); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fault.New(fault.Unknown, "shut down", address, err)
	}
	_ = group.Wait() // it ends with http.ErrServerClosed
	return ctx.Err()
}

func (d *Daemon) servePeers(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", d.peerAddress())
	if err != nil {
		return fault.New(fault.NotRun, "listen", d.peerAddress(), err)
	}
	server := peer.NewServer(d.options.security(), peer.Handlers{
		Ping: d.answerPing,
		Heard: func(_ context.Context, query peer.HeardQuery) peer.HeardAnswer {
			return peer.HeardAnswer{Age: d.elector.HeardAge(query.Epoch)}
		},
		Submit: func(ctx context.Context, query peer.SubmitQuery) owner.Verdict {
			if own := d.owner(); own != nil {
				return own.Submit(ctx, query.Spec)
			}
			return notOwner
		},
		Cancel: func(ctx context.Context, query peer.JobQuery) owner.Verdict {
			if own := d.owner(); own != nil {
				return own.Cancel(ctx, query.ID)
			}
			return notOwner
		},
		Lookup: func(ctx context.Context, query peer.JobQuery) owner.Finding {
			if own := d.owner(); own != nil {
				return own.Lookup(ctx, query.ID)
			}
			return owner.Finding{Verdict: notOwner}
		},
		Waiting: func(ctx context.Context, query peer.QueueQuery) peer.WaitingAnswer {
			if own := d.owner(); own != nil {
				if count, ok := own.Waiting(ctx, query.Queue); ok {
					return peer.WaitingAnswer{Count: count}
				}
			}
			return peer.WaitingAnswer{Ruling: owner.Elsewhere}
		},
		Tables: func(context.Context, struct{}) peer.TablesAnswer {
			known := d.tables.Copy()
			return peer.TablesAnswer{End: known.End, Records: known.Records}
		},
		Link: d.shard.Serve,
	})
	return server.Serve(ctx, listener)
}

// notOwner is the answer of an entry that does not own the cell.
var notOwner = owner.Verdict{Ruling: owner.Elsewhere, Reason: "this entry is not the owner"}

func (d *Daemon) answerPing(_ context.Context, query peer.PingQuery) peer.PingAnswer {
	now := d.clock.Now()
	peers, hash := d.seen.note(query, now)
	if query.Known == hash {
		peers = nil
	}
	answer := peer.PingAnswer{
		Owner: d.elector.Owning(), Epoch: d.elector.Current().Epoch, Peers: peers, PeersHash: hash,
		TablesEnd: d.tables.End(), Cores: d.settings.Limits.Cores,
	}
	if run := d.local.Load(); run != nil {
		if former := d.former.Load(); former != nil && *former == query.Name {
			run.FormerGone() // it follows this owner, and so owns nothing
		}
		answer.StoreAge, answer.ReadyToAct = run.StoreAge()
	}
	return answer
}

// catchUpTimeout bounds the wait for the owner's copy of the tables.
const catchUpTimeout clock.Millis = 300

// catchUp takes the operators' tables from the owner when it has read further
// for two signs of life in a row: the store may refuse this entry alone.
func (d *Daemon) catchUp(ctx context.Context, address string, answer peer.PingAnswer) {
	behind := answer.TablesEnd > d.tables.End()
	again := d.behind.Swap(behind)
	if !behind || !again {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout.Duration())
	defer cancel()
	known, err := d.peers.Tables(ctx, address)
	if err != nil {
		d.logger.Warn().Str("event", "tables_not_offered").Str("peer", address).Err(err).Send()
		return
	}
	d.tables.Offer(address, tables.Copy{End: known.End, Records: known.Records})
}
