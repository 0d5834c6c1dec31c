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
	"github.com/oriolepier/oriolepier/internal/site/budget"
	"github.com/oriolepier/oriolepier/internal/site/front"
	"github.com/oriolepier/oriolepier/internal/site/gateway"
	"github.com/oriolepier/oriolepier/internal/site/peer"
	"github.com/oriolepier/oriolepier/internal/site/relay"
	"github.com/oriolepier/oriolepier/internal/site/tables"
	"github.com/oriolepier/oriolepier/platform"
)

// Limits of the HTTP servers.
const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 32 << 10 // twice the header_bytes of the manifests
)

// service is a part run by the supervisor.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String names the service in the supervisor's events.
func (s service) String() string { return s.name }

// supervise runs the parts and restarts those that fail.
func (d *Daemon) supervise(ctx context.Context) error {
	supervisor := suture.New("entry", suture.Spec{
		EventHook: func(event suture.Event) {
			d.logger.Error().Str("event", "part_failed").Str("what", event.String()).Send()
		},
		Timeout: d.shutdownPlan().serving + time.Second,
	})
	parts := []service{
		{name: "budget", run: d.budget.Serve},
		{name: "tables", run: d.tables.Serve},
		{name: "ownership", run: d.elector.Serve},
		{name: "peers", run: d.servePeers},
		{name: "consumers", run: d.serveCallers},
		{name: "metrics", run: d.serveOperators},
	}
	if d.settings.Bounds.StrictRevocation {
		parts = append(parts, service{name: "access", run: d.observeAccess})
	}
	if d.settings.Ready != "" {
		parts = append(parts, service{name: "readiness", run: d.serveReadiness})
	}
	if d.options.Standalone != nil {
		updater := gateway.New(gateway.Options{
			Holder: d.holder, Clock: d.clock, Domain: d.settings.Domain, Entries: d.options.Standalone.Entries,
			Tables: d.tables.Since, Workers: d.roster.Since,
		})
		parts = append(parts, service{name: "workers", run: d.roster.Serve}, service{name: "requests", run: updater.Serve},
			service{name: "gate", run: d.proxy.Run})
	}
	for _, part := range parts {
		supervisor.Add(part)
	}
	return supervisor.Serve(ctx)
}

func (d *Daemon) serveCallers(ctx context.Context) error {
	ownerRelay := relay.New(relay.Options{Clock: d.clock, Current: d.elector.Current, LocalOwner: d.owner, Peers: d.peers})
	return d.serveHTTP(ctx, d.settings.Consumer, d.budget.Callers, front.New(front.Options{
		Clock: d.clock, Logger: d.logger, Metrics: d.metrics,
		Manifest:      func() manifest.Manifest { return d.tables.Current().Manifest },
		Access:        d.access,
		Client:        ownerRelay,
		CallerTimeout: platform.CallerTimeout,
		Decode:        d.decodeSubmission,
		State:         func(state job.State) any { return platform.EncodeState(state) },
		Count:         func(waiting int) any { return platform.CountBody{Waiting: waiting} },
		Proxy:         d.requestHandler(),
	}))
}

// accessPeriod is the time between two calls of access.Guard.Observe.
const accessPeriod = clock.Second / 2

// observeAccess logs when the proof for the tables becomes too old and when it is recent
// again, until the context ends.
func (d *Daemon) observeAccess(ctx context.Context) error {
	for d.clock.Sleep(ctx, accessPeriod) == nil {
		d.access.Observe()
	}
	return ctx.Err()
}

// requestHandler returns the proxy, or nil without Options.Standalone.
func (d *Daemon) requestHandler() http.Handler {
	if d.options.Standalone == nil {
		return nil
	}
	return d.proxy
}

// decodeSubmission decodes the body of a submission within the budget.
func (d *Daemon) decodeSubmission(data []byte) (spec job.Spec, err error) {
	d.budget.Decode(data, func() { spec, err = platform.DecodeSubmission(data) })
	return spec, err
}

func (d *Daemon) serveReadiness(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReady, d.handleReadiness)
	return d.serveHTTP(ctx, d.settings.Ready, d.budget.Side, mux)
}

// requireToken answers 401 to requests without the operators' token, if one is
// set. The readiness check needs no token.
func (d *Daemon) requireToken(inner http.Handler) http.Handler {
	if d.options.Standalone == nil || d.options.Standalone.Token == "" {
		return inner
	}
	want := []byte("Bearer " + d.options.Standalone.Token)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		given := []byte(request.Header.Get("Authorization"))
		if request.URL.Path != "/ready" && subtle.ConstantTimeCompare(given, want) != 1 {
			writer.WriteHeader(http.StatusUnauthorized)
			return
		}
		inner.ServeHTTP(writer, request)
	})
}

// handleReadiness answers the load balancer: 200 if this entry is ready, else 503.
func (d *Daemon) handleReadiness(writer http.ResponseWriter, _ *http.Request) {
	if !d.ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (d *Daemon) serveOperators(ctx context.Context) error {
	return d.serveHTTP(ctx, d.operatorAddress(), d.budget.Side, d.operatorHandler())
}

// operatorHandler returns the handler of operators' requests.
func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(writer http.ResponseWriter, _ *http.Request) {
		d.metrics.WritePrometheus(writer)
	})
	mux.HandleFunc("GET /state", func(writer http.ResponseWriter, request *http.Request) {
		data, err := json.Marshal(d.state(request.Context()))
		if err != nil {
			d.logger.Error().Err(err).Msg("cannot encode state")
			writer.WriteHeader(http.StatusInternalServerError)
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		_, _ = writer.Write(data) // the client may have disconnected
	})
	mux.HandleFunc("GET /where", d.handleWhere)
	mux.HandleFunc("POST /where", d.handleWhere)
	mux.HandleFunc("GET /ready", d.handleReadiness)
	return d.requireToken(mux)
}

// serveHTTP listens on an address and serves until the context ends, with a
// graceful shutdown. The listener returned by bound limits what peers can make the
// process hold.
func (d *Daemon) serveHTTP(ctx context.Context, address string, bound func(net.Listener) *budget.Listener, handler http.Handler) error {
	tcp, err := budget.ListenConfig().Listen(ctx, "tcp", address)
	if err != nil {
		return fault.New(fault.NotRun, "listen", address, err)
	}
	bounded := bound(tcp)
	var listener net.Listener = bounded
	if d.options.Standalone != nil && d.options.Standalone.Keys != nil {
		listener = tls.NewListener(listener, d.options.Standalone.Keys.Server())
	}
	return serveUntil(ctx, listener, bounded.Handler(handler), d.shutdownPlan().serving, func(server *http.Server) {
		server.ConnContext, server.ConnState = bounded.ConnContext, bounded.ConnState
	})
}

// serveUntil serves until the context ends, and then gives in-flight requests
// the serving time to complete. The contexts of requests still in flight are
// cancelled abortMargin before its end, so that their callers still get an answer.
// Each function of configure is applied to the server before it serves.
func serveUntil(ctx context.Context, listener net.Listener, handler http.Handler, serving time.Duration, configure ...func(*http.Server)) error {
	requestsCtx, abortRequests := context.WithCancel(context.WithoutCancel(ctx))
	defer abortRequests()
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return requestsCtx },
	}
	for _, apply := range configure {
		apply(server)
	}
	group, serverCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	group.Go(func() error { return server.Serve(listener) })
	address := listener.Addr().String()
	select {
	case <-serverCtx.Done():
		return fault.New(fault.Unknown, "serve", address, group.Wait())
	case <-ctx.Done():
	}
	defer time.AfterFunc(max(serving-abortMargin, 0), abortRequests).Stop()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), serving)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fault.New(fault.Unknown, "shut down", address, err)
	}
	_ = group.Wait() // returns http.ErrServerClosed
	return ctx.Err()
}

func (d *Daemon) servePeers(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", d.peerAddress())
	if err != nil {
		return fault.New(fault.NotRun, "listen", d.peerAddress(), err)
	}
	d.listenOnce.Do(func() { close(d.listening) })
	server := peer.NewServer(d.options.security(), d.peerHandlers())
	return server.WithBudget(d.budget).Serve(ctx, listener)
}

// peerHandlers returns the handlers of calls by other entries.
func (d *Daemon) peerHandlers() peer.Handlers {
	return peer.Handlers{
		Ping: d.handlePing,
		OwnerContact: func(_ context.Context, query peer.OwnerContactQuery) peer.OwnerContactAnswer {
			return peer.OwnerContactAnswer{Age: d.elector.OwnerContactAge(query.Epoch)}
		},
		Submit: func(ctx context.Context, query peer.SubmitQuery) owner.Verdict {
			if local := d.owner(); local != nil {
				return local.Submit(ctx, query.Spec, query.Held)
			}
			return notOwner
		},
		Cancel: func(ctx context.Context, query owner.JobRef) owner.Verdict {
			if local := d.owner(); local != nil {
				return local.Cancel(ctx, query)
			}
			return notOwner
		},
		Lookup: func(ctx context.Context, query owner.JobRef) owner.LookupResult {
			if local := d.owner(); local != nil {
				return local.Lookup(ctx, query)
			}
			return owner.LookupResult{Verdict: notOwner}
		},
		CountWaiting: func(ctx context.Context, query peer.QueueQuery) peer.WaitingAnswer {
			if local := d.owner(); local != nil {
				if count, ok := local.CountWaiting(ctx, query.Queue); ok {
					return peer.WaitingAnswer{Count: count}
				}
			}
			return peer.WaitingAnswer{Ruling: owner.NotOwner}
		},
		Tables: func(context.Context) peer.TablesAnswer {
			copied := d.tables.Snapshot()
			return peer.TablesAnswer{End: copied.End, Records: copied.Records}
		},
		OpenLink: d.shard.Serve,
	}
}

// notOwner is the answer of an entry that does not own the cell.
var notOwner = owner.Verdict{Ruling: owner.NotOwner, Reason: "this entry is not the owner"}

func (d *Daemon) handlePing(_ context.Context, query peer.PingQuery) peer.PingAnswer {
	now := d.clock.Now()
	peers, hash := d.recentPeers.recordPing(query, now)
	d.knownEntries.recordPing(query.Address, !query.Links, now)
	if query.KnownPeersHash == hash {
		peers = nil
	}
	claimed := d.elector.ClaimedEpoch()
	proof := d.tables.Proof()
	answer := peer.PingAnswer{
		Owner: claimed != 0, Epoch: max(claimed, d.elector.Current().Epoch), Peers: peers, PeersHash: hash,
		TablesEnd: proof.End, Cores: d.settings.Limits.Cores,
	}
	if proof.At != 0 {
		age := d.clock.Now() - proof.At // now may be before a proof that was read after it
		answer.ProofAge = &age
	}
	if run := d.localOwner.Load(); run != nil {
		if d.isPreviousOwner(query) && query.Epoch == run.Epoch() {
			run.PreviousOwnerStopped(owner.StopPingedOwner) // an elector does not ping during an ownership of its own
		}
		answer.StoreAge, answer.StateLoaded = run.StoreAge()
	}
	return answer
}

// isPreviousOwner reports whether a ping comes from the process that owned the cell
// before this one.
func (d *Daemon) isPreviousOwner(query peer.PingQuery) bool {
	previous := d.previousOwner.Load()
	return previous != nil && query.Incarnation != "" && previous.Name == query.Name && previous.Incarnation == query.Incarnation
}

// tablesTimeout bounds the wait for the owner's copy of the tables.
const tablesTimeout clock.Millis = 300

// catchUpTables fetches the operators' tables from the owner after two
// consecutive ping answers with a higher offset than this entry's: the store may
// be refusing reads of this entry only.
func (d *Daemon) catchUpTables(ctx context.Context, address string, answer peer.PingAnswer) {
	tablesBehind := answer.TablesEnd > d.tables.End()
	wasBehind := d.tablesBehind.Swap(tablesBehind)
	if !tablesBehind || !wasBehind {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tablesTimeout.Duration())
	defer cancel()
	copied, err := d.peers.Tables(ctx, address)
	if err != nil {
		d.logger.Warn().Str("event", "tables_not_offered").Str("peer", address).Err(err).Send()
		return
	}
	d.tables.Restore(address, tables.Snapshot{End: copied.End, Records: copied.Records})
}
