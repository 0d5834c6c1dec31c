package peer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
	"github.com/oriolepier/oriolepier/internal/site/budget"
	"github.com/oriolepier/oriolepier/internal/site/linkshard"
)

// Handlers answer the methods. Each call runs in its own goroutine.
type Handlers struct {
	Ping         func(ctx context.Context, query PingQuery) PingAnswer
	OwnerContact func(ctx context.Context, query OwnerContactQuery) OwnerContactAnswer
	Submit       func(ctx context.Context, query SubmitQuery) owner.Verdict
	Cancel       func(ctx context.Context, query owner.JobRef) owner.Verdict
	Lookup       func(ctx context.Context, query owner.JobRef) owner.LookupResult
	CountWaiting func(ctx context.Context, query QueueQuery) WaitingAnswer
	Tables       func(ctx context.Context) TablesAnswer // the whole copy; the server divides it into pages
	// OpenLink serves a link session until it ends; nil if this entry does not serve as a link.
	OpenLink func(ctx context.Context, query linkshard.OpenRequest, line linkshard.ServerConn) error
}

// Server answers the calls of other entries.
type Server struct {
	security        Security
	handlers        Handlers
	openConnections atomic.Int64
	bounds          *budget.Budget // nil: no bounds but maxConnections
	forwarded       *budget.Pool   // bytes of callers' requests that are being answered; nil: no limit
}

// NewServer returns a server; Serve accepts its connections.
func NewServer(security Security, handlers Handlers) *Server {
	return &Server{security: security, handlers: handlers}
}

// WithBudget bounds the connections and the memory of callers' requests that are being
// answered, and returns the server. It is called before Serve.
func (s *Server) WithBudget(bounds *budget.Budget) *Server {
	s.bounds, s.forwarded = bounds, bounds.Forwarded
	return s
}

// Serve accepts connections until the context ends; it closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if s.bounds != nil {
		listener = s.bounds.Peers(listener)
	}
	if s.security.Server != nil {
		listener = tls.NewListener(listener, s.security.Server)
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
			if s.openConnections.Load() >= maxConnections {
				_ = conn.Close()
				continue
			}
			s.openConnections.Add(1)
			group.Go(func() error {
				defer s.openConnections.Add(-1)
				s.handle(ctx, conn)
				return nil
			})
		}
	})
	return group.Wait()
}

func (s *Server) handle(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ses := &session{conn: conn, token: s.security.Token, handlers: s.handlers, forwarded: s.forwarded, orderBatches: make(chan []byte, maxQueuedBatches)}
	ses.authenticated.Store(s.security.Token == "")
	handler := jsonrpc2.AsyncHandler(ses)
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, boundedCodec{}), handler, discardLog)
	defer func() { _ = rpc.Close() }()
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
	}
}

// session answers the calls on one connection.
type session struct {
	conn          net.Conn
	token         string
	handlers      Handlers
	forwarded     *budget.Pool
	authenticated atomic.Bool // the caller has presented the token, or none is required
	linkOpened    atomic.Bool // a link session was opened
	orderBatches  chan []byte // received for the link session
}

// Handle implements jsonrpc2.Handler.
func (s *session) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	budget.Touch(s.conn)
	if request.Method == methodLink && s.authenticated.Load() {
		if err := s.serveLink(ctx, rpc, request); err != nil {
			s.replyError(ctx, rpc, request, err)
		}
		return
	}
	answer, err := s.answer(ctx, request)
	if request.Notif {
		return
	}
	if err != nil {
		s.replyError(ctx, rpc, request, err)
		return
	}
	_ = rpc.Reply(ctx, request.ID, answer)
}

func (s *session) replyError(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request, err error) {
	// If the connection has ended, the caller gets that as its error.
	_ = rpc.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()})
}

func (s *session) answer(ctx context.Context, request *jsonrpc2.Request) (any, error) {
	if request.Method == methodHello {
		return s.authenticate(request)
	}
	if !s.authenticated.Load() {
		return nil, errors.New("not admitted")
	}
	switch request.Method {
	case methodPing:
		return callHandler(ctx, request, s.handlers.Ping)
	case methodHeard:
		return callHandler(ctx, request, s.handlers.OwnerContact)
	case methodSubmit:
		return callBounded(ctx, s, request, s.handlers.Submit)
	case methodCancel:
		return callBounded(ctx, s, request, s.handlers.Cancel)
	case methodLookup:
		return callBounded(ctx, s, request, s.handlers.Lookup)
	case methodWaiting:
		return callBounded(ctx, s, request, s.handlers.CountWaiting)
	case methodTables:
		return callHandler(ctx, request, func(ctx context.Context, query TablesQuery) TablesAnswer {
			return pageOf(query, s.handlers.Tables(ctx))
		})
	case methodOrders:
		return nil, s.queueOrders(ctx, request)
	}
	return nil, errors.Errorf("unknown method %q", request.Method)
}

// authenticate checks the token of the hello call.
func (s *session) authenticate(request *jsonrpc2.Request) (any, error) {
	presented, err := decode[credentials](request.Params)
	if err != nil || subtle.ConstantTimeCompare([]byte(presented.Token), []byte(s.token)) != 1 {
		return nil, errors.New("not admitted")
	}
	s.authenticated.Store(true)
	return credentials{}, nil
}

// Memory of a forwarded request of a caller until it is answered.
const (
	forwardedBaseBytes    = 4 << 10 // a goroutine
	forwardedParamsFactor = 3       // parameters as received and as decoded, by their size as received
)

// callBounded calls a handler within the budget. A request beyond it is not carried
// out, and its error tells the sender so.
func callBounded[Query, Answer any](ctx context.Context, s *session, request *jsonrpc2.Request, handler func(context.Context, Query) Answer) (any, error) {
	size := int64(forwardedBaseBytes)
	if request.Params != nil {
		size += forwardedParamsFactor * int64(len(*request.Params))
	}
	if err := s.forwarded.Take(size); err != nil {
		return nil, err
	}
	defer s.forwarded.Return(size)
	return callHandler(ctx, request, handler)
}

func callHandler[Query, Answer any](ctx context.Context, request *jsonrpc2.Request, handler func(context.Context, Query) Answer) (any, error) {
	query, err := decode[Query](request.Params)
	if err != nil {
		return nil, err
	}
	return handler(ctx, query), nil
}
