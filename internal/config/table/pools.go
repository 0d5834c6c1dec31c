package table

import (
	"fmt"
	"strings"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/config/pool"
)

// CheckPool returns the findings of one pool, checked without the other rows.
func CheckPool(pl pool.Pool) []Finding {
	c := &checker{}
	c.name("name", pl.Name)
	checkPoolDomains(c, pl.FailureDomains)
	if pl.VMPrefix != "" && !ValidVM(pl.VMPrefix) {
		c.addf("vm_prefix", "%q can't begin the name of a VM", pl.VMPrefix)
	}
	within(c, "slots", pl.Slots, 1, maxSlots)
	within(c, "connections", pl.Connections, 1, maxConnections)
	if pl.Slots >= 1 && pl.Connections >= 1 && pl.Connections < pl.Slots {
		c.addf("connections", "unsafe: %d connections can't fill %d slots", pl.Connections, pl.Slots)
	}
	within(c, "reserve_percent", pl.ReservePercent, 0, 100)
	within(c, "lease_ms", pl.LeaseMS, minLease, maxLease)
	within(c, "hold_ms", pl.HoldMS, 1, maxHold)
	if pl.HoldMS >= 1 && pl.LeaseMS >= minLease && pl.HoldMS < pl.LeaseMS {
		c.addf("hold_ms", "unsafe: hold of %d ms is shorter than lease_ms, %d, so a cut-off domain would drop tasks at once", pl.HoldMS, pl.LeaseMS)
	}
	within(c, "warmup_ms", pl.WarmupMS, 0, maxWarmup)
	within(c, "max_moves_per_second", pl.MaxMovesPerSec, 1, maxMoves)
	return c.found
}

// CheckDomain returns the findings of one failure domain, checked without the
// other rows.
func CheckDomain(domain pool.Domain) []Finding {
	c := &checker{}
	c.name("name", domain.Name)
	if domain.Region != "" {
		c.name("region", domain.Region)
	}
	within(c, "cells", domain.Cells, 1, maxCells)
	return c.found
}

func checkPoolDomains(c *checker, names []string) {
	if len(names) == 0 {
		c.addf("failure_domains", "names no failure domain")
	}
	if len(names) > MaxDomains {
		c.addf("failure_domains", "names %d failure domains; the limit is %d", len(names), MaxDomains)
		return
	}
	for i, name := range names {
		field := fmt.Sprintf("failure_domains[%d]", i)
		c.name(field, name)
		if lo.IndexOf(names, name) < i {
			c.addf(field, "failure domain %q is named twice", name)
		}
	}
}

// checkPools checks the table of pools without the table of routes.
func checkPools(table pool.Table) []Finding {
	c := &checker{}
	if len(table.Pools) > maxPools || len(table.Domains) > MaxDomains {
		c.addf("", "%d pools and %d failure domains; the limits are %d and %d", len(table.Pools), len(table.Domains), maxPools, MaxDomains)
		return c.found
	}
	for i, domain := range table.Domains {
		c.found = append(c.found, withRowPrefix("failure_domains", i, CheckDomain(domain))...)
	}
	for i, pl := range table.Pools {
		c.found = append(c.found, withRowPrefix("pools", i, CheckPool(pl))...)
	}
	c.duplicates("failure_domains", lo.Map(table.Domains, func(domain pool.Domain, _ int) string { return domain.Name }), "failure domain")
	c.duplicates("pools", lo.Map(table.Pools, func(pl pool.Pool, _ int) string { return pl.Name }), "pool")
	checkDomainReferences(c, table)
	checkShadowedPools(c, table)
	return c.found
}

func checkDomainReferences(c *checker, table pool.Table) {
	known := lo.SliceToMap(table.Domains, func(domain pool.Domain) (string, bool) { return domain.Name, true })
	for i, pl := range table.Pools {
		for j, name := range pl.FailureDomains {
			if name != "" && !known[name] {
				c.addf(fmt.Sprintf("pools[%d].failure_domains[%d]", i, j), "no failure domain %q in this table", name)
			}
		}
	}
}

// checkShadowedPools reports pools that get no VM in some failure domain because
// an earlier pool selects all of the same VMs: a VM belongs to the first pool
// that selects it.
func checkShadowedPools(c *checker, table pool.Table) {
	for i, pl := range table.Pools {
		for _, domain := range pl.FailureDomains {
			earlier, shadowed := lo.Find(table.Pools[:i], func(other pool.Pool) bool {
				return strings.HasPrefix(pl.VMPrefix, other.VMPrefix) && lo.Contains(other.FailureDomains, domain)
			})
			if shadowed && earlier.Name != pl.Name {
				c.addf(fmt.Sprintf("pools[%d].vm_prefix", i),
					"unreachable: in failure domain %q the earlier pool %q with vm_prefix %q takes every VM of %q",
					domain, earlier.Name, earlier.VMPrefix, pl.VMPrefix)
				break
			}
		}
	}
}
