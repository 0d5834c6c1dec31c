package linkshard

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// runSession opens a session, serves it until it ends and sets the backoff before
// the next one.
func (p *Pool) runSession(ctx context.Context, entry Entry) {
	abandoned, err := p.serveSession(ctx, entry)
	p.mu.Lock()
	delete(p.active, entry.Address)
	p.redialAfter[entry.Address] = p.options.Clock.Now() + reopenBackoff
	p.wakeCheck()
	p.mu.Unlock()
	if ctx.Err() == nil && !errors.Is(err, errRetired) {
		p.options.Metrics.sessionsLost.Inc()
		p.options.Logger.Warn().Str("event", "link_lost").Str("link", entry.Address).Int64("epoch", p.options.Epoch).
			EmbedObject(abandoned).Err(err).Send()
	}
}

// serveSession opens a session, serves it and returns the orders that it abandoned
// and why it ended.
func (p *Pool) serveSession(ctx context.Context, entry Entry) (abandoned abandonedOrders, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resultReceiver := &resultReceiver{ready: make(chan struct{}), failure: make(chan error, 1)}
	connection, err := p.openSession(ctx, entry, func(batch []byte) { resultReceiver.receive(ctx, batch) })
	if err != nil {
		return abandonedOrders{}, err
	}
	defer connection.Close()
	s := newSession(entry, p.options.Clock, connection.OpenReply.Stamp)
	resultReceiver.attach(s)
	p.addSession(s)
	defer func() { abandoned = p.removeSession(s) }()
	group := new(errgroup.Group)
	group.Go(func() error {
		defer cancel()
		return s.sendBatches(ctx, connection.Send)
	})
	err = p.watchSession(ctx, s, connection.Done, resultReceiver.failure)
	connection.Close() // also ends a send in progress
	cancel()
	if sending := group.Wait(); err == nil {
		return abandonedOrders{}, sending
	}
	return abandonedOrders{}, err
}

// resultReceiver hands batches to a session. Batches that arrive before attach wait
// for it.
type resultReceiver struct {
	session *session
	ready   chan struct{} // closed by attach
	failure chan error    // first decoding error
}

func (r *resultReceiver) attach(s *session) {
	r.session = s
	close(r.ready)
}

func (r *resultReceiver) receive(ctx context.Context, batch []byte) {
	select {
	case <-r.ready:
	case <-ctx.Done():
		return // no session was attached
	}
	if err := r.session.receiveResults(batch); err != nil {
		select {
		case r.failure <- err:
		default: // an earlier error is pending
		}
	}
}

// openSession connects to an entry and opens a session, within openTimeout.
func (p *Pool) openSession(ctx context.Context, entry Entry, received func([]byte)) (Connection, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout.Scale(clock.TimeoutFactor(entry.Cores)).Duration())
	defer cancel()
	connection, err := p.options.Dial(ctx, entry, OpenRequest{Epoch: p.options.Epoch, Owner: p.options.Name}, received)
	if err == nil && connection.OpenReply.Refused != "" {
		connection.Close()
		err = refusedError(connection.OpenReply.Refused)
	}
	return connection, err
}

// refusedError is the reason for which a link refused the session.
type refusedError string

func (r refusedError) Error() string { return "link refused the session: " + string(r) }

// errConnectionClosed ends a session whose connection was closed.
var errConnectionClosed = errors.New("connection closed")

// errRetired ends a session whose entry is leaving or no longer listed.
var errRetired = errors.New("entry is leaving or no longer listed")

// retired reports whether a session is retired and has no pending orders or has
// reached retireTimeout.
func (p *Pool) retired(s *session) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !s.retired {
		return false
	}
	if s.retiredAt == 0 {
		s.retiredAt = p.options.Clock.Now()
	}
	open, _ := s.status()
	return open == 0 || p.options.Clock.Now()-s.retiredAt > retireTimeout
}

// watchSession waits until a session must end and returns the reason.
func (p *Pool) watchSession(ctx context.Context, s *session, done <-chan struct{}, failure <-chan error) error {
	ticker := time.NewTicker(checkPeriod.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-done:
			return errConnectionClosed
		case err := <-failure:
			return err
		case <-ticker.C:
			if err := s.checkTimeouts(); err != nil {
				return err
			}
			if p.retired(s) {
				return errRetired
			}
		}
	}
}

// addSession registers an open session; it is assigned workers at the next check.
func (p *Pool) addSession(s *session) {
	p.mu.Lock()
	p.sessions[s.entry.Address] = s
	p.reassign = true
	p.wakeCheck()
	p.mu.Unlock()
	p.options.Metrics.sessionsOpened.Inc()
	p.options.Logger.Info().Str("event", "link_opened").Str("link", s.entry.Address).Str("failure_domain", s.entry.Domain).
		Float64("cores", s.entry.Cores).Int64("epoch", p.options.Epoch).Send()
}

// removeSession reassigns a session's workers to other links and abandons its
// pending orders, which it counts.
func (p *Pool) removeSession(s *session) abandonedOrders {
	p.mu.Lock()
	delete(p.sessions, s.entry.Address)
	p.assignWorkers()
	p.mu.Unlock()
	abandoned := s.closeSession()
	p.options.Logger.Info().Str("event", "link_removed").Str("link", s.entry.Address).Int64("epoch", p.options.Epoch).
		EmbedObject(abandoned).Send()
	return abandoned
}
