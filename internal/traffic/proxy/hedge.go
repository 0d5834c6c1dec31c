package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/oriolepier/oriolepier/internal/traffic/dispatch"
)

// race is up to two attempts of one repeatable request, of which the first to
// succeed wins. The second, the hedge, starts when the first takes longer than
// most.
type race struct {
	proxy  *Proxy
	req    *request
	first  raceAttempt
	second raceAttempt
	hedge  sync.WaitGroup // ends with the second attempt

	mu     sync.Mutex
	winner *raceAttempt
}

// raceAttempt is one attempt of a race.
type raceAttempt struct {
	ctx    context.Context
	cancel context.CancelFunc
	answer *heldAnswer
	err    error
}

// sendHedged sends a request to the slot's server, and to a second server when
// the answer is late and the hedge budget allows.
//
//	first  ──send────────────────────────> answer? wins, or is cancelled
//	             └─delay─> second ──send─> answer? wins, or is cancelled
func (proxy *Proxy) sendHedged(ctx context.Context, req *request, slot *slot) (*heldAnswer, error) {
	race := &race{proxy: proxy, req: req}
	race.first.ctx, race.first.cancel = context.WithCancel(ctx)
	race.second.ctx, race.second.cancel = context.WithCancel(ctx)
	race.hedge.Add(1)
	timer := time.AfterFunc(slot.pool.hedgeDelay(), func() {
		defer race.hedge.Done()
		race.startHedge(slot)
	})
	race.run(&race.first, &race.second, slot)
	if timer.Stop() {
		race.hedge.Done()
	}
	race.hedge.Wait()
	if race.winner != nil {
		return race.winner.answer, nil
	}
	return nil, race.first.err
}

// startHedge makes the second attempt if the race is undecided, the hedge
// budget allows it and another server has a free slot.
func (race *race) startHedge(first *slot) {
	ticket := &dispatch.Ticket{
		Route:      race.req.route.Name,
		Deadline:   race.req.deadline,
		Repeatable: true,
		Exclude:    race.req.triedServers[:len(race.req.triedServers):len(race.req.triedServers)],
	}
	if race.decided() || !race.req.routeState.spendHedge() {
		return
	}
	second := first.pool.tryAcquire(race.proxy.options.Clock.Now(), ticket)
	if second == nil {
		return
	}
	race.proxy.counters.hedges.Add(1)
	race.req.routeState.vars.hedges.Add(1)
	race.run(&race.second, &race.first, second)
}

// run makes one attempt; the first to succeed cancels the other.
func (race *race) run(self, other *raceAttempt, slot *slot) {
	self.answer, self.err = race.proxy.attempt(self.ctx, race.req, slot)
	if self.err != nil {
		return
	}
	if race.claimWin(self) {
		other.cancel()
		return
	}
	self.answer.release(dispatch.Abandoned)
	self.answer.Close()
}

func (race *race) claimWin(self *raceAttempt) bool {
	race.mu.Lock()
	defer race.mu.Unlock()
	if race.winner != nil {
		return false
	}
	race.winner = self
	return true
}

func (race *race) decided() bool {
	race.mu.Lock()
	defer race.mu.Unlock()
	return race.winner != nil
}

// hedgeDelay returns the pool's HedgeDelay, at least minHedgeDelay.
func (pool *pool) hedgeDelay() time.Duration {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	delay := time.Duration(pool.engine.SmoothedLatency().HedgeDelay() * float64(time.Millisecond))
	return max(delay, minHedgeDelay.Duration())
}

// send makes an attempt, hedged where the route allows it.
func (proxy *Proxy) send(ctx context.Context, req *request, slot *slot) (*heldAnswer, error) {
	if req.repeatable && req.route.HedgePercent > 0 {
		return proxy.sendHedged(ctx, req, slot)
	}
	return proxy.attempt(ctx, req, slot)
}
