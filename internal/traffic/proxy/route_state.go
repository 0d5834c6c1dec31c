package proxy

import (
	"sync"

	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/traffic/retry"
)

// routeState is a route's counters and its budgets for retries and hedges; it is
// carried over between snapshots.
type routeState struct {
	vars *routeVars

	mu      sync.Mutex
	retries *retry.Budget
	hedges  *retry.Budget
}

func newRouteState(rt *route.Route, vars *routeVars) *routeState {
	return &routeState{vars: vars, retries: retry.NewBudget(rt.RetryPercent), hedges: retry.NewBudget(rt.HedgePercent)}
}

// earn credits a request's share to the budgets, at the percentages in force.
func (routeState *routeState) earn(rt *route.Route) {
	routeState.mu.Lock()
	defer routeState.mu.Unlock()
	routeState.retries.SetPercent(rt.RetryPercent)
	routeState.retries.Deposit()
	routeState.hedges.SetPercent(rt.HedgePercent)
	routeState.hedges.Deposit()
}

func (routeState *routeState) spendRetry() bool {
	routeState.mu.Lock()
	defer routeState.mu.Unlock()
	return routeState.retries.TryWithdraw()
}

func (routeState *routeState) spendHedge() bool {
	routeState.mu.Lock()
	defer routeState.mu.Unlock()
	return routeState.hedges.TryWithdraw()
}
