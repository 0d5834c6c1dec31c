package table

import (
	"fmt"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// Checks what holds between the two tables.
func checkJoins(routes route.Table, pools pool.Table) []Finding {
	known := lo.SliceToMap(pools.Pools, func(pl pool.Pool) (string, pool.Pool) { return pl.Name, pl })
	whole := &report{}
	for at, rt := range routes.Routes {
		whole.found = append(whole.found, inRow("routes", at, checkJoin(rt, known))...)
	}
	return whole.found
}

// Checks one route against the pools that it names.
func checkJoin(rt route.Route, known map[string]pool.Pool) []Finding {
	row := &report{}
	full := 0
	for place, name := range rt.Pools {
		pl, ok := known[name]
		if !ok && name != "" {
			row.addf(fmt.Sprintf("pools[%d]", place), "no pool %q in the table of pools", name)
		}
		if ok && pl.ReservePercent == 100 {
			full++
		}
	}
	if rt.Class == route.Batch && full > 0 && full == len(rt.Pools) {
		row.addf("pools", "unsafe: every pool named reserves 100 percent, so no task of this batch route could start")
	}
	return row.found
}
