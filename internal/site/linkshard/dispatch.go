package linkshard

import (
	"context"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// linkSession returns the session of a worker's link, or nil if this entry calls
// the worker directly.
func (p *Pool) linkSession(worker string) *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.failures[worker]; ok && known.callDirectly && p.options.Clock.Now() <= known.until {
		return nil
	}
	return p.sessions[p.assigned[worker]]
}

// recordFailure records for a period that a worker's link did not reach it.
func (p *Pool) recordFailure(worker string, callDirectly bool, period clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures[worker] = linkFailure{until: p.options.Clock.Now() + period, callDirectly: callDirectly}
}

// failureRecorded reports whether a link failure of the worker is recorded and has not
// expired.
func (p *Pool) failureRecorded(worker string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.failures[worker]
	return ok && p.options.Clock.Now() <= known.until
}

// order sends a start, a stop or a pace to the worker's link. If the link
// leaves it unanswered, the owner's retry is sent to the worker directly.
func (p *Pool) order(worker string, o order, answer func(fleet.Answer)) {
	s := p.linkSession(worker)
	queued := s != nil && s.enqueue(o, func(end completion) {
		if end.result.outcome().MaybeUnreachable() {
			p.recordFailure(worker, true, orderRetryPeriod)
		}
		answer(*end.result.Answer)
	})
	if queued {
		p.options.Metrics.ordersByLink.Inc()
		return
	}
	p.callWorker(o, func(done result) { answer(*done.Answer) })
}

// hold sends a hold to the worker's link. A missing answer may be the link's
// fault, so this entry calls the worker directly before a miss is reported to the owner.
func (p *Pool) hold(o fleet.Hold, report func(fleet.Report)) {
	if p.parkHold(func() { p.hold(o, report) }) {
		return
	}
	s := p.linkSession(o.To.ID)
	if s != nil && s.enqueue(order{Hold: &o}, func(end completion) { p.finishHold(o, end, report) }) {
		p.options.Metrics.ordersByLink.Inc()
		return
	}
	p.callWorker(order{Hold: &o}, func(done result) { report(*done.Report) })
}

// finishHold reports a hold that a link has answered or left unanswered. A hold whose
// session was lost is dispatched again. A repeated hold acknowledges no ends: the
// worker may have restarted since, and number its ends from the start again.
func (p *Pool) finishHold(o fleet.Hold, end completion, report func(fleet.Report)) {
	recheck := o
	recheck.WaitMS, recheck.Acked = 0, 0
	switch {
	case end.sessionLost:
		p.hold(recheck, report)
	case !end.result.outcome().MaybeUnreachable() || p.failureRecorded(o.To.ID):
		report(*end.result.Report)
	default:
		p.callWorker(order{Hold: &recheck}, func(done result) {
			reached := !done.outcome().MaybeUnreachable()
			period := recheckInterval
			if reached {
				period = directCallPeriod
			}
			p.recordFailure(o.To.ID, reached, period)
			p.options.Metrics.workersBypassed.Inc()
			p.options.Logger.Info().Str("event", "link_bypassed").Str("worker", o.To.ID).Bool("reached", reached).
				Str("by_link", end.result.outcome().String()).Str("by_owner", done.outcome().String()).Send()
			report(*done.Report)
		})
	}
}

// callWorker calls the worker from this entry, without a link.
func (p *Pool) callWorker(o order, done func(result)) {
	p.options.Metrics.ordersDirect.Inc()
	if !p.spawn(func(ctx context.Context) { done(p.options.LocalShard.execute(ctx, o)) }) {
		done(failedResult(o, fleet.NotSent))
	}
}
