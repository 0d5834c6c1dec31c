package proxy

import (
	"expvar"

	"github.com/oriolepier/oriolepier/internal/base/problem"
	"github.com/oriolepier/oriolepier/internal/traffic/dispatch"
)

// counters are the proxy's counters; root is the expvar map that exports them.
type counters struct {
	root             *expvar.Map
	refusedByStep    *expvar.Map
	refusedByOutcome *expvar.Map
	routes           *expvar.Map
	pools            *expvar.Map
	servers          *expvar.Map
	domains          *expvar.Map

	requests          *expvar.Int
	answered          *expvar.Int
	truncated         *expvar.Int // answers not completely delivered: the server or the caller broke off after the first byte
	retries           *expvar.Int
	hedges            *expvar.Int
	retriesOverBudget *expvar.Int // retries denied by the budget
	tablesCompiled    *expvar.Int
}

type routeVars struct{ requests, answered, refused, retries, hedges *expvar.Int }

type poolVars struct{ requests, queued *expvar.Int }

type serverVars struct {
	name     string
	requests *expvar.Int // started attempts, hedges excluded
	domain   *expvar.Int // ended attempts at the servers of its failure domain, hedges included
	results  map[dispatch.Result]*expvar.Int
}

func newCounters(root *expvar.Map) counters {
	return counters{
		root:              root,
		refusedByStep:     childMap(root, "refused_by_step"),
		refusedByOutcome:  childMap(root, "refused_by_outcome"),
		routes:            childMap(root, "routes"),
		pools:             childMap(root, "pools"),
		servers:           childMap(root, "workers"),
		domains:           childMap(root, "failure_domains"),
		requests:          childInt(root, "requests"),
		answered:          childInt(root, "answered"),
		truncated:         childInt(root, "cut"),
		retries:           childInt(root, "retries"),
		hedges:            childInt(root, "hedges"),
		retriesOverBudget: childInt(root, "retries_over_budget"),
		tablesCompiled:    childInt(root, "route_tables_compiled"),
	}
}

func childMap(parent *expvar.Map, name string) *expvar.Map {
	if existing, ok := parent.Get(name).(*expvar.Map); ok {
		return existing
	}
	child := new(expvar.Map).Init()
	parent.Set(name, child)
	return child
}

func childInt(parent *expvar.Map, name string) *expvar.Int {
	if existing, ok := parent.Get(name).(*expvar.Int); ok {
		return existing
	}
	child := new(expvar.Int)
	parent.Set(name, child)
	return child
}

func (counters *counters) refused(refusal *problem.Problem) {
	counters.refusedByStep.Add(refusal.Step, 1)
	counters.refusedByOutcome.Add(string(refusal.Outcome), 1)
}

func (counters *counters) route(name string) *routeVars {
	child := childMap(counters.routes, name)
	return &routeVars{
		requests: childInt(child, "requests"),
		answered: childInt(child, "answered"),
		refused:  childInt(child, "refused"),
		retries:  childInt(child, "retries"),
		hedges:   childInt(child, "hedges"),
	}
}

func (counters *counters) pool(name string) poolVars {
	child := childMap(counters.pools, name)
	return poolVars{requests: childInt(child, "requests"), queued: childInt(child, "queued")}
}

func (counters *counters) server(name, domain string) *serverVars {
	child := childMap(counters.servers, name)
	vars := &serverVars{
		name:     name,
		requests: childInt(child, "requests"),
		domain:   childInt(childMap(counters.domains, domain), "requests"),
		results:  map[dispatch.Result]*expvar.Int{},
	}
	for _, result := range dispatch.Results {
		vars.results[result] = childInt(child, string(result))
	}
	return vars
}

// removeServer deletes the counters of a server that was removed from the pool.
func (counters *counters) removeServer(name string) { counters.servers.Delete(name) }

func (vars *serverVars) countResult(result dispatch.Result) {
	vars.results[result].Add(1)
	vars.domain.Add(1)
}
