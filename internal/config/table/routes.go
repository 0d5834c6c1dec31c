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

// CheckRoute reports the faults of one row by itself. Fields are relative to
// the row.
func CheckRoute(rt route.Route) []Finding {
	row := &report{}
	row.name("name", rt.Name)
	row.name("team", rt.Team)
	checkTargets(row, rt.Pools)
	within(row, "max_request_bytes", rt.MaxRequestBytes, 1, maxBodyBytes)
	within(row, "max_answer_bytes", rt.MaxAnswerBytes, 1, maxBodyBytes)
	within(row, "max_queued", rt.MaxQueued, 1, maxQueuedLimit)
	switch rt.Class {
	case route.Urgent:
		checkUrgent(row, rt)
	case route.Batch:
		checkBatch(row, rt)
	default:
		row.addf("class", "must be %q or %q, not %q", route.Urgent, route.Batch, rt.Class)
	}
	return row.found
}

// CheckTeam reports the faults of one team by itself.
func CheckTeam(team route.Team) []Finding {
	row := &report{}
	row.name("name", team.Name)
	row.amount("quota", team.Quota, maxQuota)
	return row.found
}

func checkTargets(row *report, names []string) {
	if len(names) == 0 {
		row.addf("pools", "names no pool")
	}
	if len(names) > maxPoolNames {
		row.addf("pools", "names %d pools; the limit is %d", len(names), maxPoolNames)
		return
	}
	for at, name := range names {
		field := fmt.Sprintf("pools[%d]", at)
		row.name(field, name)
		if lo.IndexOf(names, name) < at {
			row.addf(field, "pool %q is named twice", name)
		}
	}
}

func checkUrgent(row *report, rt route.Route) {
	within(row, "deadline_ms", rt.DeadlineMS, 1, maxUrgentDeadline)
	within(row, "retry_percent", rt.RetryPercent, 0, maxRetryPercent)
	within(row, "hedge_percent", rt.HedgePercent, 0, maxHedgePercent)
	if rt.HedgePercent > 0 && !rt.Repeatable {
		row.addf("hedge_percent", "unsafe: a hedge runs a request twice, and this route is not repeatable")
	}
	if rt.MaxAttempts != 0 {
		row.addf("max_attempts", "is for batch routes; urgent ones have retry_percent")
	}
	checkMatch(row, rt.Match)
}

func checkBatch(row *report, rt route.Route) {
	within(row, "deadline_ms", rt.DeadlineMS, 1, maxBatchDeadline)
	within(row, "max_attempts", rt.MaxAttempts, 1, maxAttemptsLimit)
	if rt.RetryPercent != 0 {
		row.addf("retry_percent", "is for urgent routes; batch ones have max_attempts")
	}
	if rt.HedgePercent != 0 {
		row.addf("hedge_percent", "unsafe: a task never runs in two places at once")
	}
	if rt.Match.Host != "" || rt.Match.PathPrefix != "" || len(rt.Match.Methods) > 0 {
		row.addf("match", "is for urgent routes; tasks name their route")
	}
}

func checkMatch(row *report, match route.Match) {
	if match.Host == "" && match.PathPrefix == "" {
		row.addf("match", "needs a host or a path_prefix; \"/\" takes every path")
	}
	if strings.ContainsAny(match.Host, ":/ ") || strings.ToLower(match.Host) != match.Host || len(match.Host) > 253 {
		row.addf("match.host", "%q is not a host name in lower case without a port", match.Host)
	}
	checkPrefix(row, match.PathPrefix)
	if len(match.Methods) > maxMethods {
		row.addf("match.methods", "names %d methods; the limit is %d", len(match.Methods), maxMethods)
		return
	}
	for at, method := range match.Methods {
		field := fmt.Sprintf("match.methods[%d]", at)
		if !lo.Contains(knownMethods, method) {
			row.addf(field, "%q is not one of %s", method, strings.Join(knownMethods, ", "))
		}
		if lo.IndexOf(match.Methods, method) < at {
			row.addf(field, "method %q is named twice", method)
		}
	}
}

func checkPrefix(row *report, prefix string) {
	const field = "match.path_prefix"
	switch {
	case prefix == "":
	case prefix[0] != '/':
		row.addf(field, "must begin with '/', not %q", prefix)
	case len(prefix) > maxPathBytes:
		row.addf(field, "has %d bytes; the limit is %d", len(prefix), maxPathBytes)
	case prefix != "/" && strings.HasSuffix(prefix, "/"):
		row.addf(field, "takes whole segments; write it without the last '/'")
	case strings.Contains(prefix, "//") || strings.Contains(prefix+"/", "/./") || strings.Contains(prefix+"/", "/../"):
		row.addf(field, "has an empty or relative segment, which no request path has after cleaning")
	case strings.HasPrefix(prefix+"/", "/v1/tasks/"):
		row.addf(field, "%q belongs to the tasks interface", prefix)
	}
}

// Checks the table of routes by itself.
func checkRoutes(table route.Table) []Finding {
	whole := &report{}
	if len(table.Routes) > maxRoutes || len(table.Teams) > maxTeams {
		whole.addf("", "%d routes and %d teams; the limits are %d and %d", len(table.Routes), len(table.Teams), maxRoutes, maxTeams)
		return whole.found
	}
	for at, rt := range table.Routes {
		whole.found = append(whole.found, inRow("routes", at, CheckRoute(rt))...)
	}
	for at, team := range table.Teams {
		whole.found = append(whole.found, inRow("teams", at, CheckTeam(team))...)
	}
	whole.duplicates("routes", lo.Map(table.Routes, func(rt route.Route, _ int) string { return rt.Name }), "route")
	whole.duplicates("teams", lo.Map(table.Teams, func(team route.Team, _ int) string { return team.Name }), "team")
	checkTeams(whole, table)
	checkOverlaps(whole, table)
	return whole.found
}

func checkTeams(whole *report, table route.Table) {
	teams := lo.SliceToMap(table.Teams, func(team route.Team) (string, bool) { return team.Name, true })
	for at, rt := range table.Routes {
		if rt.Team != "" && !teams[rt.Team] {
			whole.addf(routeField(at, "team"), "no team %q in this table", rt.Team)
		}
	}
}

// Reports routes that take the very same requests: which of them would win is
// nobody's intention.
func checkOverlaps(whole *report, table route.Table) {
	taken := map[matchKey]string{}
	for at, rt := range table.Routes {
		for _, key := range matchKeys(rt) {
			other, clash := taken[key]
			if clash && other != rt.Name {
				whole.addf(routeField(at, "match"), "%s", overlap(other, key))
				break
			}
			taken[key] = rt.Name
		}
	}
}

func overlap(other string, key matchKey) string {
	return fmt.Sprintf("route %q takes the same requests (host %q, path %q, method %q)", other, key.host, key.prefix, key.method)
}

// matchKey is one combination that at most one route may take. An empty method
// stands for all that no other route of the same host and prefix names.
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

// Moves findings of a row of a list under the row's path.
func inRow(list string, at int, findings []Finding) []Finding {
	if len(findings) == 0 {
		return nil // spares the path, since most rows are good
	}
	return under(fmt.Sprintf("%s[%d]", list, at), findings)
}

func under(path string, findings []Finding) []Finding {
	return lo.Map(findings, func(finding Finding, _ int) Finding {
		finding.Field = path + "." + finding.Field
		return finding
	})
}
