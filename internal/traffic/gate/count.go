package gate

import (
	"expvar"

	"github.com/oriolepier/oriolepier/internal/base/problem"
	"github.com/oriolepier/oriolepier/internal/traffic/dispatch"
)

// counts are the gate's counters, by name in its expvar map.
type counts struct {
	root     *expvar.Map
	steps    *expvar.Map // refusals by step
	outcomes *expvar.Map // refusals by outcome
	routes   *expvar.Map
	pools    *expvar.Map
	workers  *expvar.Map
	domains  *expvar.Map

	requests *expvar.Int
	answered *expvar.Int
	cut      *expvar.Int // answers that broke after their first byte
	retries  *expvar.Int
	hedges   *expvar.Int
	noBudget *expvar.Int // retries that the budget did not allow
	compiled *expvar.Int // route tables
}

type routeVars struct{ requests, answered, refused, retries, hedges *expvar.Int }

type poolVars struct{ requests, queued *expvar.Int }

type serverVars struct {
	name     string
	requests *expvar.Int
	domain   *expvar.Int // requests of its failure domain
	results  map[dispatch.Result]*expvar.Int
}

func newCounts(root *expvar.Map) counts {
	return counts{
		root:     root,
		steps:    submap(root, "refused_by_step"),
		outcomes: submap(root, "refused_by_outcome"),
		routes:   submap(root, "routes"),
		pools:    submap(root, "pools"),
		workers:  submap(root, "workers"),
		domains:  submap(root, "failure_domains"),
		requests: number(root, "requests"),
		answered: number(root, "answered"),
		cut:      number(root, "cut"),
		retries:  number(root, "retries"),
		hedges:   number(root, "hedges"),
		noBudget: number(root, "retries_over_budget"),
		compiled: number(root, "route_tables_compiled"),
	}
}

func submap(parent *expvar.Map, name string) *expvar.Map {
	if found, ok := parent.Get(name).(*expvar.Map); ok {
		return found
	}
	child := new(expvar.Map).Init()
	parent.Set(name, child)
	return child
}

func number(parent *expvar.Map, name string) *expvar.Int {
	if found, ok := parent.Get(name).(*expvar.Int); ok {
		return found
	}
	child := new(expvar.Int)
	parent.Set(name, child)
	return child
}

func (counts *counts) refused(refusal *problem.Problem) {
	counts.steps.Add(refusal.Step, 1)
	counts.outcomes.Add(string(refusal.Outcome), 1)
}

func (counts *counts) route(name string) *routeVars {
	child := submap(counts.routes, name)
	return &routeVars{
		requests: number(child, "requests"),
		answered: number(child, "answered"),
		refused:  number(child, "refused"),
		retries:  number(child, "retries"),
		hedges:   number(child, "hedges"),
	}
}

func (counts *counts) pool(name string) poolVars {
	child := submap(counts.pools, name)
	return poolVars{requests: number(child, "requests"), queued: number(child, "queued")}
}

func (counts *counts) server(name, domain string) *serverVars {
	child := submap(counts.workers, name)
	vars := &serverVars{
		name:     name,
		requests: number(child, "requests"),
		domain:   number(submap(counts.domains, domain), "requests"),
		results:  map[dispatch.Result]*expvar.Int{},
	}
	for _, result := range dispatch.Results {
		vars.results[result] = number(child, string(result))
	}
	return vars
}

// forget drops the counters of a server that is gone for good.
func (counts *counts) forget(name string) { counts.workers.Delete(name) }

func (vars *serverVars) count(result dispatch.Result) {
	vars.results[result].Add(1)
	vars.domain.Add(1)
}
