// Package standin runs stand-ins of the platform as separate processes, for
// trials of the system.
//
// # Usage
//
//	err := standin.RunStore(ctx, flags, os.Stdout)
//
// Each stand-in prints its listen address, so that port 0 may be given, and runs
// until its context ends.
package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/operator/option"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/standin/store"
	"github.com/oriolepier/oriolepier/internal/standin/worker"
	"github.com/oriolepier/oriolepier/platform"
)

// RunStore runs the stand-in of the store.
func RunStore(ctx context.Context, flags option.StandinStore, out io.Writer) error {
	listener, err := listen(ctx, flags.Listen, out)
	if err != nil {
		return err
	}
	log := store.New().Log()
	group, ctx := errgroup.WithContext(ctx)
	if flags.ExpireMS > 0 {
		workers := &expirer{log: log, clock: clock.New(), age: flags.ExpireMS, renewed: map[string]clock.Millis{}}
		log = workers.expiring()
		group.Go(func() error { return workers.serve(ctx) })
	}
	server := &http.Server{Handler: platform.ServeStore(log), ReadHeaderTimeout: time.Second}
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve store")
	}
	return nil
}

// RunWorker runs the stand-in of a worker, whose runs take one second each.
func RunWorker(ctx context.Context, flags option.StandinWorker, out io.Writer) error {
	listener, err := listen(ctx, flags.Listen, out)
	if err != nil {
		return err
	}
	clk := clock.New()
	host := worker.NewHost(worker.New(fleet.Entry{
		ID: flags.Name, Service: flags.Pool, Domain: flags.FailureDomain,
		Room: fleet.Room{MilliCPU: flags.MilliCores, MemoryMB: flags.MemoryMB},
	}, clk.Now()), clk, platform.NewStore(flags.Store).Log())
	return host.Serve(ctx, listener)
}

// listen listens at an address and prints the actual one.
func listen(ctx context.Context, address string, out io.Writer) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	_, err = fmt.Fprintln(out, listener.Addr())
	return listener, errors.Wrap(err, "print address")
}
