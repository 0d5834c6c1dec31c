package table

import (
	"fmt"
	"strings"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/config/pool"
)

// CheckPool reports the faults of one pool by itself.
func CheckPool(pl pool.Pool) []Finding {
	row := &report{}
	row.name("name", pl.Name)
	checkPoolDomains(row, pl.FailureDomains)
	if pl.VMPrefix != "" && !ValidVM(pl.VMPrefix) {
		row.addf("vm_prefix", "%q can't begin the name of a VM", pl.VMPrefix)
	}
	within(row, "slots", pl.Slots, 1, maxSlots)
	within(row, "connections", pl.Connections, 1, maxConnections)
	if pl.Slots >= 1 && pl.Connections >= 1 && pl.Connections < pl.Slots {
		row.addf("connections", "unsafe: %d connections can't fill %d slots", pl.Connections, pl.Slots)
	}
	within(row, "reserve_percent", pl.ReservePercent, 0, 100)
	within(row, "lease_ms", pl.LeaseMS, minLease, maxLease)
	within(row, "hold_ms", pl.HoldMS, 1, maxHold)
	if pl.HoldMS >= 1 && pl.LeaseMS >= minLease && pl.HoldMS < pl.LeaseMS {
		row.addf("hold_ms", "unsafe: hold of %d ms is shorter than lease_ms, %d, so a cut-off domain would drop tasks at once", pl.HoldMS, pl.LeaseMS)
	}
	within(row, "warmup_ms", pl.WarmupMS, 0, maxWarmup)
	within(row, "max_moves_per_second", pl.MaxMovesPerSec, 1, maxMoves)
	return row.found
}

// CheckDomain reports the faults of one failure domain by itself.
func CheckDomain(domain pool.Domain) []Finding {
	row := &report{}
	row.name("name", domain.Name)
	if domain.Region != "" {
		row.name("region", domain.Region)
	}
	within(row, "cells", domain.Cells, 1, maxCells)
	return row.found
}

func checkPoolDomains(row *report, names []string) {
	if len(names) == 0 {
		row.addf("failure_domains", "names no failure domain")
	}
	if len(names) > MaxDomains {
		row.addf("failure_domains", "names %d failure domains; the limit is %d", len(names), MaxDomains)
		return
	}
	for at, name := range names {
		field := fmt.Sprintf("failure_domains[%d]", at)
		row.name(field, name)
		if lo.IndexOf(names, name) < at {
			row.addf(field, "failure domain %q is named twice", name)
		}
	}
}

// Checks the table of pools by itself.
func checkPools(table pool.Table) []Finding {
	whole := &report{}
	if len(table.Pools) > maxPools || len(table.Domains) > MaxDomains {
		whole.addf("", "%d pools and %d failure domains; the limits are %d and %d", len(table.Pools), len(table.Domains), maxPools, MaxDomains)
		return whole.found
	}
	for at, domain := range table.Domains {
		whole.found = append(whole.found, inRow("failure_domains", at, CheckDomain(domain))...)
	}
	for at, pl := range table.Pools {
		whole.found = append(whole.found, inRow("pools", at, CheckPool(pl))...)
	}
	whole.duplicates("failure_domains", lo.Map(table.Domains, func(domain pool.Domain, _ int) string { return domain.Name }), "failure domain")
	whole.duplicates("pools", lo.Map(table.Pools, func(pl pool.Pool, _ int) string { return pl.Name }), "pool")
	checkKnownDomains(whole, table)
	checkShadows(whole, table)
	return whole.found
}

func checkKnownDomains(whole *report, table pool.Table) {
	known := lo.SliceToMap(table.Domains, func(domain pool.Domain) (string, bool) { return domain.Name, true })
	for at, pl := range table.Pools {
		for place, name := range pl.FailureDomains {
			if name != "" && !known[name] {
				whole.addf(fmt.Sprintf("pools[%d].failure_domains[%d]", at, place), "no failure domain %q in this table", name)
			}
		}
	}
}

// Reports pools that get no VM in some failure domain because an earlier pool
// selects all that they would: a VM belongs to the first pool that selects it.
func checkShadows(whole *report, table pool.Table) {
	for at, pl := range table.Pools {
		for _, domain := range pl.FailureDomains {
			earlier, shadowed := lo.Find(table.Pools[:at], func(other pool.Pool) bool {
				return strings.HasPrefix(pl.VMPrefix, other.VMPrefix) && lo.Contains(other.FailureDomains, domain)
			})
			if shadowed && earlier.Name != pl.Name {
				whole.addf(fmt.Sprintf("pools[%d].vm_prefix", at),
					"unreachable: in failure domain %q the earlier pool %q with vm_prefix %q takes every VM of %q",
					domain, earlier.Name, earlier.VMPrefix, pl.VMPrefix)
				break
			}
		}
	}
}
