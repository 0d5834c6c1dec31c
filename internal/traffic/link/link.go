// Package link keeps an entry's connections to one backend server and sends
// requests over them.
//
// Each connection is an [http.ClientConn] of its own and carries one request
// at a time. [http.Transport] is used only to dial: its RoundTrip would send a
// request anew, unasked, when a kept connection breaks.
//
// What holds for every attempt:
//
//   - It sends its request at most once, and its error says whether anything
//     was sent.
//   - An answer without the request's own id never reaches the caller.
//   - A connection is used again only after a whole answer was read from it;
//     an abandoned one is closed.
//   - A cut answer is an error, or cuts the answer to the caller.
//
// # Usage
//
//	peer := link.New(link.Options{Name: vm.Name, Address: vm.Requests})
//	answer, err := peer.Send(ctx, link.Request{ID: id, Method: "GET", ...})
//	if err != nil { ... fault.OutcomeOf(err) ... }
//	defer answer.Close()
package link

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
)

// Steps of an attempt, as they stand in faults and refusals.
const (
	StepConnect = "connect"
	StepSend    = "send"
	StepWait    = "wait"
	StepRead    = "read_answer"
)

const (
	connectTimeout      clock.Millis = 500 // several times the round trip between failure domains, loss of one SYN left out
	maxAnswerHeader                  = 64 << 10
	maxAnswerFields                  = 128
	defaultKeepAlive                 = 15 * time.Second
	bufferedAnswerBytes              = 256 << 10 // answers up to this size are whole before the caller sees their first byte
)

// ErrNoConnection is the cause when the budget allows no further connection.
var ErrNoConnection = errors.New("connection budget is used up")

// Dial opens a connection, as net.Dialer does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options describe a link.
type Options struct {
	Name    string // VM name of the backend server
	Address string // its ip:port
	Dial    Dial   // nil: TCP
}

// Link holds the connections to one backend server. It is safe for many
// goroutines.
type Link struct {
	name      string
	address   string
	transport *http.Transport

	mu     sync.Mutex
	idle   []*conn // the most recently used one last
	open   int     // dialling, busy and idle
	budget int
	closed bool
}

// conn is one connection.
type conn struct {
	client *http.ClientConn
	socket *wire
	used   clock.Millis
}

// New returns a link without connections.
func New(options Options) *Link {
	dial := options.Dial
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: defaultKeepAlive}).DialContext
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &Link{
		name:    options.Name,
		address: options.Address,
		budget:  1,
		transport: &http.Transport{
			DialContext:            dialer(dial),
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxAnswerHeader,
			Protocols:              protocols,
		},
	}
}

// SetBudget bounds the connections, idle ones included, and closes idle ones
// above it. Busy ones above it are closed when their answer has been read.
func (link *Link) SetBudget(connections int) {
	link.mu.Lock()
	link.budget = connections
	surplus := link.takeSurplus()
	link.mu.Unlock()
	closeAll(surplus)
}

// takeSurplus removes the oldest idle connections above the budget.
func (link *Link) takeSurplus() []*conn {
	count := min(max(link.open-link.budget, 0), len(link.idle))
	surplus := append([]*conn(nil), link.idle[:count]...)
	link.idle = append(link.idle[:0], link.idle[count:]...)
	link.open -= count
	return surplus
}

// CloseIdle closes connections that were last used before a time.
func (link *Link) CloseIdle(before clock.Millis) {
	link.mu.Lock()
	count := 0
	for count < len(link.idle) && link.idle[count].used < before {
		count++
	}
	stale := append([]*conn(nil), link.idle[:count]...)
	link.idle = append(link.idle[:0], link.idle[count:]...)
	link.open -= count
	link.mu.Unlock()
	closeAll(stale)
}

// Close closes idle connections now and busy ones after their answers.
func (link *Link) Close() {
	link.mu.Lock()
	link.closed = true
	link.budget = 0
	idle := link.takeSurplus()
	link.mu.Unlock()
	closeAll(idle)
}

func closeAll(conns []*conn) {
	for _, each := range conns {
		_ = each.client.Close() // nothing is in flight on it
	}
}

// Open returns the connections that are open or being opened.
func (link *Link) Open() int {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.open
}

// Budget returns the connections that may be open.
func (link *Link) Budget() int {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.budget
}

// Probe opens a connection and keeps it for the next request.
func (link *Link) Probe(ctx context.Context, now func() clock.Millis) error {
	each, err := link.connect(ctx)
	if errors.Is(err, ErrNoConnection) {
		return nil // those that are open tell more than a probe
	}
	if err != nil {
		return err
	}
	link.keep(each, now())
	return nil
}

// take returns a kept connection or opens one.
func (link *Link) take(ctx context.Context) (*conn, error) {
	for {
		each := link.takeIdle()
		if each == nil {
			return link.connect(ctx)
		}
		if each.client.Err() == nil {
			return each, nil
		}
		link.drop(each)
	}
}

func (link *Link) takeIdle() *conn {
	link.mu.Lock()
	defer link.mu.Unlock()
	if len(link.idle) == 0 {
		return nil
	}
	last := len(link.idle) - 1
	each := link.idle[last]
	link.idle = link.idle[:last]
	return each
}

func (link *Link) connect(ctx context.Context) (*conn, error) {
	if !link.reserve() {
		return nil, fault.New(fault.NotSent, StepConnect, link.name, ErrNoConnection)
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout.Duration())
	defer cancel()
	each := &conn{}
	client, err := link.transport.NewClientConn(context.WithValue(ctx, wireKey{}, &each.socket), "http", link.address)
	if err != nil {
		link.release()
		return nil, fault.New(fault.NotSent, StepConnect, link.name, err)
	}
	each.client = client
	return each, nil
}

func (link *Link) reserve() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	if link.closed || link.open >= link.budget {
		return false
	}
	link.open++
	return true
}

func (link *Link) release() {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.open--
}

// keep puts a connection back, or closes it when the budget has shrunk.
func (link *Link) keep(each *conn, now clock.Millis) {
	each.used = now
	link.mu.Lock()
	if link.open <= link.budget {
		link.idle = append(link.idle, each)
		link.mu.Unlock()
		return
	}
	link.mu.Unlock()
	link.drop(each)
}

// drop closes a connection for good.
func (link *Link) drop(each *conn) {
	_ = each.client.Close() // the connection is given up whatever it says
	link.release()
}
