package machine

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/standin/wire"
)

// AgentHandler serves the task agent, with the switches beside it.
//
//	POST /tasks/start|stop|throttle -> worker.Task
//	POST /tasks/renew               -> worker.Report
//	POST /tasks/forget
//	GET  /tasks                     -> worker.Report
//	PUT  /standin/faults            Faults
//	GET  /standin/stats             -> Stats
//	POST /standin/restart
func (machine *Machine) AgentHandler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, machine, "POST /tasks/start", (*Machine).startTask)
	handle(mux, machine, "POST /tasks/renew", (*Machine).renew)
	handle(mux, machine, "POST /tasks/stop", (*Machine).stopTask)
	handle(mux, machine, "POST /tasks/throttle", (*Machine).throttle)
	handle(mux, machine, "POST /tasks/forget", (*Machine).forget)
	mux.HandleFunc("GET /tasks", func(w http.ResponseWriter, r *http.Request) {
		report, err := call(r.Context(), machine, r.Pattern, "", struct{}{}, (*Machine).look)
		wire.Answer(w, report, err)
	})
	mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if wire.Decode(w, r, &faults) {
			machine.SetFaults(faults)
			wire.Send(w, faults)
		}
	})
	mux.HandleFunc("GET /standin/stats", func(w http.ResponseWriter, _ *http.Request) {
		wire.Send(w, machine.Stats())
	})
	mux.HandleFunc("POST /standin/restart", func(w http.ResponseWriter, _ *http.Request) {
		machine.Restart()
		wire.Send(w, true)
	})
	return mux
}

func handle[O, A any](mux *http.ServeMux, machine *Machine, pattern string, obey func(*Machine, O) (A, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		var order O
		if !wire.Decode(w, r, &order) {
			return
		}
		answer, err := call(r.Context(), machine, pattern, "", order, obey)
		wire.Answer(w, answer, err)
	})
}

// connection is what a request knows of its connection.
type connection struct{ over bool }

type connectionKey struct{}

// overLimit reports whether a request came on a connection beyond the limit.
func overLimit(ctx context.Context) bool {
	known, _ := ctx.Value(connectionKey{}).(connection)
	return known.over
}

// Serve answers on both listeners until the context ends, then breaks off all
// connections and halts the VM.
func (machine *Machine) Serve(ctx context.Context, requests, agent net.Listener) error {
	front := &http.Server{
		Handler:     machine.RequestHandler(),
		ConnContext: machine.connected,
		ConnState:   machine.disconnected,
	}
	back := &http.Server{Handler: machine.AgentHandler()}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serve(front, requests) })
	group.Go(func() error { return serve(back, agent) })
	group.Go(func() error {
		<-ctx.Done()
		machine.Shutdown()
		_ = front.Close()
		_ = back.Close()
		return nil
	})
	return group.Wait()
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// connected counts a connection; beyond the limit its requests are refused
// and it is closed after the first.
func (machine *Machine) connected(ctx context.Context, _ net.Conn) context.Context {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	machine.stats.Connections++
	machine.stats.MostConnections = max(machine.stats.MostConnections, machine.stats.Connections)
	limit := machine.options.Connections
	over := limit > 0 && machine.stats.Connections > limit
	if over {
		machine.stats.ConnectionsRefused++
	}
	return context.WithValue(ctx, connectionKey{}, connection{over: over})
}

func (machine *Machine) disconnected(_ net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	machine.mu.Lock()
	defer machine.mu.Unlock()
	machine.stats.Connections--
}
