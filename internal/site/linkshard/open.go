package linkshard

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// run opens a session and keeps it until it fails.
func (p *Pool) run(ctx context.Context, entry Entry) {
	err := p.serve(ctx, entry)
	p.mu.Lock()
	delete(p.opening, entry.Address)
	p.restless[entry.Address] = p.options.Clock.Now() + openAgain
	p.look()
	p.mu.Unlock()
	if ctx.Err() == nil && !errors.Is(err, errRetired) {
		p.options.Counts.lost.Inc()
		p.options.Logger.Warn().Str("event", "link_lost").Str("link", entry.Address).Err(err).Send()
	}
}

// serve opens a session and returns why it ended.
func (p *Pool) serve(ctx context.Context, entry Entry) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	inlet := &inlet{ready: make(chan struct{}), broken: make(chan error, 1)}
	connection, err := p.dial(ctx, entry, func(batch []byte) { inlet.take(ctx, batch) })
	if err != nil {
		return err
	}
	defer connection.Close()
	s := newSession(entry, p.options.Clock, connection.Opening.Stamp)
	inlet.open(s)
	p.add(s)
	defer p.remove(s)
	group := new(errgroup.Group)
	group.Go(func() error {
		defer cancel()
		return s.send(ctx, connection.Send)
	})
	err = p.watch(ctx, s, connection.Done, inlet.broken)
	connection.Close() // a send under way ends with it
	cancel()
	if sending := group.Wait(); err == nil {
		return sending
	}
	return err
}

// inlet hands batches to a session, from the moment when there is one.
type inlet struct {
	session *session
	ready   chan struct{} // closed once the session is set
	broken  chan error    // why a batch could not be taken
}

func (i *inlet) open(s *session) {
	i.session = s
	close(i.ready)
}

func (i *inlet) take(ctx context.Context, batch []byte) {
	select {
	case <-i.ready:
	case <-ctx.Done():
		return // it was never opened
	}
	if err := i.session.receive(batch); err != nil {
		select {
		case i.broken <- err:
		default: // it is known already
		}
	}
}

// dial opens a session within a time.
func (p *Pool) dial(ctx context.Context, entry Entry, received func([]byte)) (Connection, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout.Stretch(clock.Patience(entry.Cores)).Duration())
	defer cancel()
	connection, err := p.options.Dial(ctx, entry, Query{Epoch: p.options.Epoch, Owner: p.options.Name}, received)
	if err == nil && connection.Opening.Refused != "" {
		connection.Close()
		err = refusal(connection.Opening.Refused)
	}
	return connection, err
}

// refusal is a link's reason not to serve this owner.
type refusal string

func (r refusal) Error() string { return "refused: " + string(r) }

// errEnded ends a session whose connection was closed by the link.
var errEnded = errors.New("the connection has ended")

// errRetired ends a session whose entry is leaving or was not heard.
var errRetired = errors.New("the entry is not to be used any more")

// retired reports whether a session that gets no new orders can end.
func (p *Pool) retired(s *session) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !s.retired {
		return false
	}
	if s.retiredAt == 0 {
		s.retiredAt = p.options.Clock.Now()
	}
	open, _ := s.state()
	return open == 0 || p.options.Clock.Now()-s.retiredAt > retireLimit
}

// watch returns why a session must end.
func (p *Pool) watch(ctx context.Context, s *session, done <-chan struct{}, broken <-chan error) error {
	ticker := time.NewTicker(keepPeriod.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-done:
			return errEnded
		case err := <-broken:
			return err
		case <-ticker.C:
			if err := s.check(); err != nil {
				return err
			}
			if p.retired(s) {
				return errRetired
			}
		}
	}
}

// add lets a session have workers, from the next look on.
func (p *Pool) add(s *session) {
	p.mu.Lock()
	p.sessions[s.entry.Address] = s
	p.changed = true
	p.look()
	p.mu.Unlock()
	p.options.Counts.opened.Inc()
	p.options.Logger.Info().Str("event", "link_opened").Str("link", s.entry.Address).Str("failure_domain", s.entry.Domain).
		Float64("cores", s.entry.Cores).Int64("epoch", p.options.Epoch).Send()
}

// remove takes a session's workers to other links and gives up its orders.
func (p *Pool) remove(s *session) {
	p.mu.Lock()
	delete(p.sessions, s.entry.Address)
	p.assign()
	p.mu.Unlock()
	open := s.lose()
	p.options.Logger.Info().Str("event", "link_removed").Str("link", s.entry.Address).Int("open_orders", open).Send()
}
