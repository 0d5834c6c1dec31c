package table

import (
	"fmt"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// checkReferences checks the references from routes to pools.
func checkReferences(routes route.Table, pools pool.Table) []Finding {
	poolsByName := lo.SliceToMap(pools.Pools, func(pl pool.Pool) (string, pool.Pool) { return pl.Name, pl })
	c := &checker{}
	for i, rt := range routes.Routes {
		c.found = append(c.found, withRowPrefix("routes", i, checkPoolReferences(rt, poolsByName))...)
	}
	return c.found
}

// checkPoolReferences checks one route against the pools that it names.
func checkPoolReferences(rt route.Route, poolsByName map[string]pool.Pool) []Finding {
	c := &checker{}
	fullyReserved := 0
	for i, name := range rt.Pools {
		pl, ok := poolsByName[name]
		if !ok && name != "" {
			c.addf(fmt.Sprintf("pools[%d]", i), "no pool %q in the table of pools", name)
		}
		if ok && pl.ReservePercent == 100 {
			fullyReserved++
		}
	}
	if rt.Class == route.Batch && fullyReserved > 0 && fullyReserved == len(rt.Pools) {
		c.addf("pools", "unsafe: every pool named reserves 100 percent, so no task of this batch route could start")
	}
	return c.found
}
