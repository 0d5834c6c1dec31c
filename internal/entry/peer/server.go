package peer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"net"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/fault"
)

// Server answers other entries.
type Server struct {
	options Options
	open    atomic.Int64
}

// NewServer returns a server; it listens when Serve is called.
func NewServer(options Options) *Server {
	return &Server{options: options}
}

// Serve accepts connections until the context ends; it closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if s.options.TLS != nil {
		listener = tls.NewListener(listener, s.options.TLS)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if err != nil {
				return fault.New(fault.NotRun, "accept peer", listener.Addr().String(), err)
			}
			if s.open.Load() >= maxConnections {
				_ = conn.Close()
				continue
			}
			s.open.Add(1)
			group.Go(func() error {
				defer s.open.Add(-1)
				s.handle(ctx, conn)
				return nil
			})
		}
	})
	return group.Wait()
}

func (s *Server) handle(ctx context.Context, conn net.Conn) {
	ses := &session{options: s.options, admitted: make(chan struct{})}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, boundedCodec{}), ses, quiet)
	defer func() { _ = rpc.Close() }()

	timeout, cancel := context.WithTimeout(ctx, helloTimeout.Duration())
	defer cancel()
	select {
	case <-ses.admitted:
	case <-rpc.DisconnectNotify():
		return
	case <-timeout.Done():
		return
	}
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
	}
}

// session is one inbound connection. The library calls Handle for one message
// at a time.
type session struct {
	options  Options
	admitted chan struct{}
	open     bool
}

// Handle implements jsonrpc2.Handler.
func (s *session) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	if !s.open {
		s.admit(ctx, rpc, request)
		return
	}
	result, err := s.answer(request)
	if request.Notif {
		return
	}
	if err != nil {
		_ = rpc.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
		return
	}
	_ = rpc.Reply(ctx, request.ID, result)
}

func (s *session) admit(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	credentials, err := decode[Credentials](request.Params)
	valid := subtle.ConstantTimeCompare([]byte(credentials.Token), []byte(s.options.Token)) == 1
	if err != nil || request.Method != hello || !valid {
		_ = rpc.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "not admitted"})
		_ = rpc.Close()
		return
	}
	s.open = true
	close(s.admitted)
	_ = rpc.Reply(ctx, request.ID, Credentials{Name: s.options.Name})
}

func (s *session) answer(request *jsonrpc2.Request) (any, error) {
	handlers := s.options.Handlers
	switch request.Method {
	case Heartbeat:
		return serve(request, handlers.Heartbeat)
	case Config:
		return serve(request, handlers.Config)
	case Status:
		return serve(request, handlers.Status)
	case Fleet:
		return serve(request, handlers.Fleet)
	}
	return nil, fault.Newf(fault.NotRun, "answer peer", "", "unknown method %q", request.Method)
}

func serve[Query, Answer any](request *jsonrpc2.Request, handler func(Query) (Answer, error)) (any, error) {
	query, err := decode[Query](request.Params)
	if err != nil {
		return nil, err
	}
	return handler(query)
}
