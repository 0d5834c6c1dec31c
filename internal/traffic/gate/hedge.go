package gate

import (
	"context"
	"sync"
	"time"

	"github.com/oriolepier/oriolepier/internal/traffic/dispatch"
)

// race is two attempts of one repeatable request, of which the first whole
// answer wins. The second starts when the first takes longer than most.
type race struct {
	gate   *Gate
	req    *request
	first  runner
	second runner
	group  sync.WaitGroup // the second attempt

	mu  sync.Mutex
	won *runner
}

// runner is one attempt of a race.
type runner struct {
	ctx    context.Context
	cancel context.CancelFunc
	got    *delivery
	err    error
}

// hedged sends a request to a place, and to a second one when the answer is
// late and the budget allows.
//
//	first  ──send────────────────────────> answer? wins, or is cancelled
//	             └─delay─> second ──send─> answer? wins, or is cancelled
func (gate *Gate) hedged(ctx context.Context, req *request, place *place) (*delivery, error) {
	race := &race{gate: gate, req: req}
	race.first.ctx, race.first.cancel = context.WithCancel(ctx)
	race.second.ctx, race.second.cancel = context.WithCancel(ctx)
	race.group.Add(1)
	timer := time.AfterFunc(place.pool.hedgeDelay(), func() {
		defer race.group.Done()
		race.runSecond(place)
	})
	race.run(&race.first, &race.second, place)
	if timer.Stop() {
		race.group.Done()
	}
	race.group.Wait()
	if race.won != nil {
		return race.won.got, nil
	}
	return nil, race.first.err
}

// runSecond starts the second attempt if another server has a free place now.
func (race *race) runSecond(first *place) {
	ticket := &dispatch.Ticket{
		Route:      race.req.route.Name,
		Deadline:   race.req.deadline,
		Repeatable: true,
		Tried:      race.req.tried[:len(race.req.tried):len(race.req.tried)],
	}
	if race.decided() || !race.req.tally.spendHedge() {
		return
	}
	second := first.pool.try(race.gate.options.Clock.Now(), ticket)
	if second == nil {
		return
	}
	race.gate.counts.hedges.Add(1)
	race.req.tally.vars.hedges.Add(1)
	race.run(&race.second, &race.first, second)
}

// run makes one attempt; the first that ends well cancels the other.
func (race *race) run(self, other *runner, place *place) {
	self.got, self.err = race.gate.attempt(self.ctx, race.req, place)
	if self.err != nil {
		return
	}
	if race.win(self) {
		other.cancel()
		return
	}
	self.got.release(dispatch.Abandoned)
	self.got.Close()
}

func (race *race) win(self *runner) bool {
	race.mu.Lock()
	defer race.mu.Unlock()
	if race.won != nil {
		return false
	}
	race.won = self
	return true
}

func (race *race) decided() bool {
	race.mu.Lock()
	defer race.mu.Unlock()
	return race.won != nil
}

// hedgeDelay is a latency that few answers exceed.
func (pool *pool) hedgeDelay() time.Duration {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	delay := time.Duration(pool.engine.Usual().Late() * float64(time.Millisecond))
	return max(delay, minHedgeDelay.Duration())
}

// send makes an attempt, hedged where the route allows it.
func (gate *Gate) send(ctx context.Context, req *request, place *place) (*delivery, error) {
	if req.repeatable && req.route.HedgePercent > 0 {
		return gate.hedged(ctx, req, place)
	}
	return gate.attempt(ctx, req, place)
}
