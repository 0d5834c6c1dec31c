package owner

import "github.com/oriolepier/oriolepier/internal/schedule/fleet"

// An order names its worker by the id, which is the same in each incarnation. So an order
// that is in transit while its worker restarts may be executed by the next incarnation: a
// start of a task that is done by then, or a lease that ends on the earlier incarnation's
// clock. Orders to the next incarnation therefore carry a higher fencing token. Once it
// has answered a hold with this token, it executes no order to an earlier one any more.

// newestToken returns the token of orders to incarnations that become known now.
func (o *Owner) newestToken() int64 { return fleet.NewToken(o.options.Epoch, o.restarts) }

// raiseToken gives orders to a worker's new incarnation a higher token than all orders to
// the earlier ones.
func (o *Owner) raiseToken(w *worker) {
	if o.restarts == fleet.MaxRestarts {
		o.resign("no fencing tokens are left for restarted workers")
		return
	}
	o.restarts++
	w.token, w.earlierFenced = o.newestToken(), false
}

// noteFencing notes that a worker's report answered a hold with the newest token. Until
// then, any report may follow an order of a previous owner, or to an earlier incarnation,
// that has just granted the longest lease that workers accept.
func (o *Owner) noteFencing(w *worker, report fleet.Report) {
	if w.earlierFenced {
		return
	}
	w.leaseUntilMS = max(w.leaseUntilMS, report.ClockMS+int64(o.options.Times.LongestLease))
	w.earlierFenced = w.holdToken == w.token
	if !w.earlierFenced {
		w.skipHoldWait = true // the next hold has the newest token
		return
	}
	if w.token != fleet.NewToken(o.options.Epoch, 0) {
		o.options.Log.Info().Str("event", "earlier_incarnations_fenced").Str("worker", w.id).Int64("born", report.Incarnation).
			Int64("token", w.token).Int64("since_known_ms", int64(age(w.incarnationKnownAt, o.now))).Int64("until_ms", w.leaseUntilMS).Send()
	}
}

// resignIfFenced counts a worker's answer to an order with a token. If the worker has
// seen a newer owner's token, it resigns and returns true. A token below that of the
// worker's present incarnation shows no newer owner: the worker may have seen the latter.
func (o *Owner) resignIfFenced(order, id string, token int64, outcome fleet.Outcome) bool {
	o.options.Metrics.Answered(order, outcome.String())
	newest := o.newestToken()
	if w := o.workers[id]; w != nil {
		newest = w.token
	}
	if outcome != fleet.Fenced || token < newest {
		return false
	}
	o.resign("worker " + id + " has seen a newer owner")
	return true
}
