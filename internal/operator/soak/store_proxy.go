package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/platform"
)

// storeFault is how a storeProxy treats calls.
type storeFault struct {
	topic  string       // of the calls concerned; empty: all
	writes bool         // only appends are concerned
	before clock.Millis // wait before a call is passed on, also if the caller is gone
	after  clock.Millis // wait before its answer is returned
	lose   float64      // share of calls that are passed on and get no answer
	refuse bool         // calls are refused and do nothing
	silent bool         // calls get no answer and do nothing
}

// storeProxy is the store as one process sees it.
type storeProxy struct {
	address string
	log     journal.Log // the store

	mu sync.Mutex
	// rewrite changes a record as this process reads it.
	rewrite func(topic string, record *journal.Record)
	fault   storeFault
	changed chan struct{} // closed and replaced when the fault changes
	rng     *rand.Rand
}

// serveStoreProxy returns a proxy that serves at a free port of an address until the
// context ends.
func serveStoreProxy(ctx context.Context, ip, store string, seed uint64, group *errgroup.Group) (*storeProxy, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy of the store")
	}
	p := &storeProxy{
		address: listener.Addr().String(), log: platform.NewStore(store).Log(), rng: rand.New(rand.NewPCG(seed, 3)),
		rewrite: func(string, *journal.Record) {}, changed: make(chan struct{}),
	}
	handler := platform.ServeStore(journal.Log{Append: p.append, Read: p.read, Newest: p.newest})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	group.Go(func() error { _ = server.Serve(listener); return nil })
	group.Go(func() error {
		<-ctx.Done()
		_ = server.Close()
		return nil
	})
	return p, nil
}

// set changes the fault. Calls that are slow keep the fault that they began with.
func (p *storeProxy) set(fault storeFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	close(p.changed)
	p.changed = make(chan struct{})
}

// await waits until the fault changes or the context ends.
func (p *storeProxy) await(ctx context.Context) {
	p.mu.Lock()
	changed := p.changed
	p.mu.Unlock()
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// callFault returns the fault of a call, and whether its answer is lost.
func (p *storeProxy) callFault(topic string, write bool) (fault storeFault, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.topic != "" && p.fault.topic != topic || p.fault.writes && !write {
		return storeFault{}, false
	}
	return p.fault, p.rng.Float64() < p.fault.lose
}

// abort ends a call without an answer.
func abort() { panic(http.ErrAbortHandler) }

// begin applies the part of a fault that comes before a call. It reports whether
// the call is refused.
func (p *storeProxy) begin(ctx context.Context, fault storeFault) (refused bool) {
	if fault.silent {
		p.await(ctx)
		abort()
	}
	time.Sleep(fault.before.Duration())
	return fault.refuse
}

// end applies the part of a fault that comes after a call.
func (fault storeFault) end(lost bool) {
	time.Sleep(fault.after.Duration())
	if lost {
		abort()
	}
}

func (p *storeProxy) append(ctx context.Context, call journal.Append) journal.Answer {
	fault, lost := p.callFault(call.Topic, true)
	if p.begin(ctx, fault) {
		return journal.Answer{Outcome: journal.NotDone}
	}
	answer := p.log.Append(context.WithoutCancel(ctx), call)
	fault.end(lost || answer.Outcome == journal.Unknown)
	return answer
}

func (p *storeProxy) read(ctx context.Context, call journal.Read) journal.Page {
	fault, lost := p.callFault(call.Topic, false)
	if p.begin(ctx, fault) {
		return journal.Page{Outcome: journal.NotDone}
	}
	page := p.log.Read(ctx, call)
	fault, _ = p.callFault(call.Topic, false) // a long poll may have begun before the fault
	if fault.silent || fault.refuse {
		abort()
	}
	fault.end(lost || page.Outcome == journal.Unknown)
	p.rewritePage(call.Topic, page)
	return page
}

func (p *storeProxy) newest(ctx context.Context, topic string) journal.Page {
	fault, lost := p.callFault(topic, false)
	if p.begin(ctx, fault) {
		return journal.Page{Outcome: journal.NotDone}
	}
	page := p.log.Newest(ctx, topic)
	fault.end(lost || page.Outcome == journal.Unknown)
	p.rewritePage(topic, page)
	return page
}

func (p *storeProxy) setRewrite(rewrite func(topic string, record *journal.Record)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rewrite = rewrite
}

func (p *storeProxy) rewritePage(topic string, page journal.Page) {
	p.mu.Lock()
	rewrite := p.rewrite
	p.mu.Unlock()
	for i := range page.Records {
		rewrite(topic, &page.Records[i].Record)
	}
}
