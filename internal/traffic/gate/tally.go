package gate

import (
	"sync"

	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/traffic/retry"
)

// tally is what a route has used and may still use; it outlives snapshots.
type tally struct {
	vars *routeVars

	mu      sync.Mutex
	retries *retry.Budget
	hedges  *retry.Budget
}

func newTally(row *route.Route, vars *routeVars) *tally {
	return &tally{vars: vars, retries: retry.NewBudget(row.RetryPercent), hedges: retry.NewBudget(row.HedgePercent)}
}

// earn adds a request's share to the budgets, under the limits now in force.
func (tally *tally) earn(row *route.Route) {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	tally.retries.SetPercent(row.RetryPercent)
	tally.retries.Earn()
	tally.hedges.SetPercent(row.HedgePercent)
	tally.hedges.Earn()
}

func (tally *tally) spendRetry() bool {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	return tally.retries.Spend()
}

func (tally *tally) spendHedge() bool {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	return tally.hedges.Spend()
}
