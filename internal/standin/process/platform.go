package process

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/standin/fleet"
	"github.com/oriolepier/oriolepier/internal/standin/journal"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

// PlatformFlags are those of `oriolepier standin platform`.
type PlatformFlags struct {
	Listen       string   `long:"listen" value-name:"IP:PORT" default:"127.0.0.1:7000" description:"Main address, which is never cut off."`
	DomainListen []string `long:"domain-listen" value-name:"DOMAIN=IP:PORT" description:"Address for the clients of one failure domain; may be given several times."`
	RetentionMS  int64    `long:"retention-ms" value-name:"MS" default:"3600000" description:"How long the log keeps records; 0 for ever."`
	MaxAppends   int      `long:"max-appends-per-second" value-name:"N" default:"0" description:"Refuse more appends than that; 0 for no limit."`
	ListLagMS    int64    `long:"list-lag-ms" value-name:"MS" default:"1000" description:"Lag of the VM list."`
	UsageLagMS   int64    `long:"usage-lag-ms" value-name:"MS" default:"1000" description:"Lag of usage reports."`
	OutGraceMS   int64    `long:"out-grace-ms" value-name:"MS" default:"5000" description:"The witness allows starts so long after a mark out."`
	Seed         uint64   `long:"seed" value-name:"N" default:"1" description:"Seed of the lots drawn for lost answers."`
}

// listening is the line that the platform process prints.
type listening struct {
	Listening string            `json:"listening"`
	Domains   map[string]string `json:"failure_domains,omitempty"`
}

// Site is the platform's services in one process, with the witness.
type Site struct {
	Clock  clock.Clock // the witness's
	Log    *journal.Journal
	List   *fleet.Fleet
	Record *witness.Witness
}

// NewSite returns services that nobody serves yet.
func NewSite(flags PlatformFlags) *Site {
	shared := witness.SharedClock()
	return &Site{
		Clock: shared,
		Log: journal.New(journal.Options{
			Clock: shared, RetentionMS: clock.Millis(flags.RetentionMS), MaxAppendsPerSecond: flags.MaxAppends, Seed: flags.Seed,
		}),
		List:   fleet.New(fleet.Options{Clock: shared, LagMS: clock.Millis(flags.ListLagMS), UsageLagMS: clock.Millis(flags.UsageLagMS)}),
		Record: witness.New(witness.Options{OutGraceMS: clock.Millis(flags.OutGraceMS)}),
	}
}

// Handler serves clients of a failure domain, or of none.
func (site *Site) Handler(domain string) http.Handler {
	mux := http.NewServeMux()
	log, list := site.Log.HandlerFrom(domain), site.List.HandlerFrom(domain)
	mux.Handle("/streams/", log)
	mux.Handle("/standin/log/", log)
	mux.Handle("/standin/witness/", site.Record.Handler())
	mux.Handle("/", list)
	return mux
}

func runPlatform(ctx context.Context, flags PlatformFlags, out io.Writer) error {
	addresses, err := pairs(flags.DomainListen)
	if err != nil {
		return errors.Wrap(err, "domain-listen")
	}
	listener, err := listen(ctx, flags.Listen)
	if err != nil {
		return err
	}
	site := NewSite(flags)
	group, ctx := errgroup.WithContext(ctx)
	serve(ctx, group, listener, site.Handler(""))
	line := listening{Listening: listener.Addr().String(), Domains: map[string]string{}}
	for domain, address := range addresses {
		listener, err := listen(ctx, address)
		if err != nil {
			return err
		}
		serve(ctx, group, listener, site.Handler(domain))
		line.Domains[domain] = listener.Addr().String()
	}
	printJSON(out, line)
	return group.Wait()
}

// serve answers on a listener until the context ends.
func serve(ctx context.Context, group *errgroup.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve")
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
}
