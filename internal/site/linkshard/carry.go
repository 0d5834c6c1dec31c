package linkshard

import (
	"context"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// route returns the session of a worker's link, or nil where this entry calls
// the worker itself.
func (p *Pool) route(worker string) *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.doubts[worker]; ok && known.own && p.options.Clock.Now() <= known.until {
		return nil
	}
	return p.sessions[p.assigned[worker]]
}

func (p *Pool) note(worker string, own bool, span clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doubts[worker] = doubt{until: p.options.Clock.Now() + span, own: own}
}

// checked reports whether a worker that its link does not reach was tried from
// here lately.
func (p *Pool) checked(worker string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.doubts[worker]
	return ok && p.options.Clock.Now() <= known.until
}

// order carries a start, a stop or a pace. When it is not answered, the owner
// tries again; that goes from here.
func (p *Pool) order(worker string, o order, answer func(fleet.Answer)) {
	s := p.route(worker)
	taken := s != nil && s.carry(o, func(end ending) {
		if end.result.outcome().Doubtful() {
			p.note(worker, true, startSpan)
		}
		answer(*end.result.Answer)
	})
	if taken {
		p.options.Counts.byLink.Inc()
		return
	}
	p.here(o, func(done result) { answer(*done.Answer) })
}

// hold carries a hold. A link's silence says nothing of the worker, so this
// entry asks again before the owner is told of a miss.
func (p *Pool) hold(o fleet.Hold, report func(fleet.Report)) {
	if p.park(func() { p.hold(o, report) }) {
		return
	}
	s := p.route(o.To.ID)
	if s != nil && s.carry(order{Hold: &o}, func(end ending) { p.held(o, end, report) }) {
		p.options.Counts.byLink.Inc()
		return
	}
	p.here(order{Hold: &o}, func(done result) { report(*done.Report) })
}

func (p *Pool) held(o fleet.Hold, end ending, report func(fleet.Report)) {
	again := o
	again.WaitMS = 0
	switch {
	case end.dropped:
		p.hold(again, report)
	case !end.result.outcome().Doubtful() || p.checked(o.To.ID):
		report(*end.result.Report)
	default:
		p.here(order{Hold: &again}, func(done result) {
			reached := !done.outcome().Doubtful()
			span := checkSpan
			if reached {
				span = ownSpan
			}
			p.note(o.To.ID, reached, span)
			p.options.Counts.bypassed.Inc()
			p.options.Logger.Info().Str("event", "link_bypassed").Str("worker", o.To.ID).Bool("reached", reached).
				Str("by_link", end.result.outcome().String()).Str("from_here", done.outcome().String()).Send()
			report(*done.Report)
		})
	}
}

// here makes a call from this entry.
func (p *Pool) here(o order, done func(result)) {
	p.options.Counts.fromHere.Inc()
	if !p.spawn(func(ctx context.Context) { done(p.options.Own.carryOut(ctx, o)) }) {
		done(failed(o, fleet.NotSent))
	}
}
