package table

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/config/route"
)

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// CheckRoute returns the findings of one route, checked without the other rows.
// Field paths are relative to the row.
func CheckRoute(rt route.Route) []Finding {
	c := &checker{}
	c.name("name", rt.Name)
	c.name("team", rt.Team)
	checkPoolNames(c, rt.Pools)
	within(c, "max_request_bytes", rt.MaxRequestBytes, 1, maxBodyBytes)
	within(c, "max_answer_bytes", rt.MaxAnswerBytes, 1, maxBodyBytes)
	within(c, "max_queued", rt.MaxQueued, 1, maxQueuedLimit)
	switch rt.Class {
	case route.Urgent:
		checkUrgent(c, rt)
	case route.Batch:
		checkBatch(c, rt)
	default:
		c.addf("class", "must be %q or %q, not %q", route.Urgent, route.Batch, rt.Class)
	}
	return c.found
}

// CheckTeam returns the findings of one team, checked without the other rows.
func CheckTeam(team route.Team) []Finding {
	c := &checker{}
	c.name("name", team.Name)
	c.amount("quota", team.Quota, maxQuota)
	return c.found
}

func checkPoolNames(c *checker, names []string) {
	if len(names) == 0 {
		c.addf("pools", "names no pool")
	}
	if len(names) > maxPoolNames {
		c.addf("pools", "names %d pools; the limit is %d", len(names), maxPoolNames)
		return
	}
	for i, name := range names {
		field := fmt.Sprintf("pools[%d]", i)
		c.name(field, name)
		if lo.IndexOf(names, name) < i {
			c.addf(field, "pool %q is named twice", name)
		}
	}
}

func checkUrgent(c *checker, rt route.Route) {
	within(c, "deadline_ms", rt.DeadlineMS, 1, maxUrgentDeadline)
	within(c, "retry_percent", rt.RetryPercent, 0, maxRetryPercent)
	within(c, "hedge_percent", rt.HedgePercent, 0, maxHedgePercent)
	if rt.HedgePercent > 0 && !rt.Repeatable {
		c.addf("hedge_percent", "unsafe: a hedge runs a request twice, and this route is not repeatable")
	}
	if rt.MaxAttempts != 0 {
		c.addf("max_attempts", "is for batch routes; urgent ones have retry_percent")
	}
	checkMatch(c, rt.Match)
}

func checkBatch(c *checker, rt route.Route) {
	within(c, "deadline_ms", rt.DeadlineMS, 1, maxBatchDeadline)
	within(c, "max_attempts", rt.MaxAttempts, 1, maxAttemptsLimit)
	if rt.RetryPercent != 0 {
		c.addf("retry_percent", "is for urgent routes; batch ones have max_attempts")
	}
	if rt.HedgePercent != 0 {
		c.addf("hedge_percent", "unsafe: a task never runs in two places at once")
	}
	if rt.Match.Host != "" || rt.Match.PathPrefix != "" || len(rt.Match.Methods) > 0 {
		c.addf("match", "is for urgent routes; tasks name their route")
	}
}

func checkMatch(c *checker, match route.Match) {
	if match.Host == "" && match.PathPrefix == "" {
		c.addf("match", "needs a host or a path_prefix; \"/\" takes every path")
	}
	if strings.ContainsAny(match.Host, ":/ ") || strings.ToLower(match.Host) != match.Host || len(match.Host) > 253 {
		c.addf("match.host", "%q is not a host name in lower case without a port", match.Host)
	}
	checkPrefix(c, match.PathPrefix)
	if len(match.Methods) > maxMethods {
		c.addf("match.methods", "names %d methods; the limit is %d", len(match.Methods), maxMethods)
		return
	}
	for i, method := range match.Methods {
		field := fmt.Sprintf("match.methods[%d]", i)
		if !lo.Contains(knownMethods, method) {
			c.addf(field, "%q is not one of %s", method, strings.Join(knownMethods, ", "))
		}
		if lo.IndexOf(match.Methods, method) < i {
			c.addf(field, "method %q is named twice", method)
		}
	}
}

func checkPrefix(c *checker, prefix string) {
	const field = "match.path_prefix"
	switch {
	case prefix == "":
	case prefix[0] != '/':
		c.addf(field, "must begin with '/', not %q", prefix)
	case len(prefix) > maxPathBytes:
		c.addf(field, "has %d bytes; the limit is %d", len(prefix), maxPathBytes)
	case prefix != "/" && strings.HasSuffix(prefix, "/"):
		c.addf(field, "takes whole segments; write it without the last '/'")
	case strings.Contains(prefix, "//") || strings.Contains(prefix+"/", "/./") || strings.Contains(prefix+"/", "/../"):
		c.addf(field, "has an empty or relative segment, which no request path has after cleaning")
	case strings.HasPrefix(prefix+"/", "/v1/tasks/"):
		c.addf(field, "%q belongs to the tasks interface", prefix)
	}
}

// checkRoutes checks the table of routes without the table of pools.
func checkRoutes(table route.Table) []Finding {
	c := &checker{}
	if len(table.Routes) > maxRoutes || len(table.Teams) > maxTeams {
		c.addf("", "%d routes and %d teams; the limits are %d and %d", len(table.Routes), len(table.Teams), maxRoutes, maxTeams)
		return c.found
	}
	for i, rt := range table.Routes {
		c.found = append(c.found, withRowPrefix("routes", i, CheckRoute(rt))...)
	}
	for i, team := range table.Teams {
		c.found = append(c.found, withRowPrefix("teams", i, CheckTeam(team))...)
	}
	c.duplicates("routes", lo.Map(table.Routes, func(rt route.Route, _ int) string { return rt.Name }), "route")
	c.duplicates("teams", lo.Map(table.Teams, func(team route.Team, _ int) string { return team.Name }), "team")
	checkTeamReferences(c, table)
	checkOverlaps(c, table)
	return c.found
}

func checkTeamReferences(c *checker, table route.Table) {
	teams := lo.SliceToMap(table.Teams, func(team route.Team) (string, bool) { return team.Name, true })
	for i, rt := range table.Routes {
		if rt.Team != "" && !teams[rt.Team] {
			c.addf(routeField(i, "team"), "no team %q in this table", rt.Team)
		}
	}
}

// checkOverlaps reports routes that match exactly the same requests, because the
// choice between them would be arbitrary.
func checkOverlaps(c *checker, table route.Table) {
	routeByKey := map[matchKey]string{}
	for i, rt := range table.Routes {
		for _, key := range matchKeys(rt) {
			other, taken := routeByKey[key]
			if taken && other != rt.Name {
				c.addf(routeField(i, "match"), "%s", overlapMessage(other, key))
				break
			}
			routeByKey[key] = rt.Name
		}
	}
}

func overlapMessage(other string, key matchKey) string {
	return fmt.Sprintf("route %q takes the same requests (host %q, path %q, method %q)", other, key.host, key.prefix, key.method)
}

// matchKey is a combination that at most one route may have. An empty method
// stands for all methods that no other route of the same host and prefix names.
type matchKey struct{ host, prefix, method string }

func matchKeys(rt route.Route) []matchKey {
	if rt.Class != route.Urgent {
		return nil
	}
	prefix := lo.CoalesceOrEmpty(rt.Match.PathPrefix, "/")
	if len(rt.Match.Methods) == 0 {
		return []matchKey{{rt.Match.Host, prefix, ""}}
	}
	return lo.Map(rt.Match.Methods, func(method string, _ int) matchKey { return matchKey{rt.Match.Host, prefix, method} })
}

// withRowPrefix prepends the path of a row in a list to the fields of findings.
func withRowPrefix(list string, i int, findings []Finding) []Finding {
	if len(findings) == 0 {
		return nil // avoids formatting the path, since most rows have no findings
	}
	return withPrefix(fmt.Sprintf("%s[%d]", list, i), findings)
}

func withPrefix(path string, findings []Finding) []Finding {
	return lo.Map(findings, func(finding Finding, _ int) Finding {
		finding.Field = path + "." + finding.Field
		return finding
	})
}
