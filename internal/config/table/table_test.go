package table

import (
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
)

// largeTables returns valid tables with count routes, one team and one pool.
func largeTables(count int) (route.Table, pool.Table) {
	pools := pool.Table{Domains: []pool.Domain{defaultDomain}, Pools: []pool.Pool{defaultPool}}
	pools.Domains[0].Name = "a"
	pools.Pools[0].Name, pools.Pools[0].FailureDomains, pools.Pools[0].Slots, pools.Pools[0].Connections = "p", []string{"a"}, 8, 64
	routes := route.Table{Teams: []route.Team{{Name: "t"}}}
	for i := range count {
		rt := defaultRoute
		rt.Name, rt.Class, rt.Team, rt.Pools, rt.DeadlineMS, rt.MaxAttempts = fmt.Sprint("r", i), route.Urgent, "t", []string{"p"}, 1000, 0
		rt.Match.PathPrefix = fmt.Sprint("/services/", i)
		routes.Routes = append(routes.Routes, rt)
	}
	return routes, pools
}

// Fields that a file omits get the defaults that docs/TABLES.md lists.
func TestParseFillsDefaults(t *testing.T) {
	routes, routeFindings := ParseRoutes("routes.json", []byte(`{
		"teams": [{"name": "t", "quota": {}}],
		"routes": [
			{"name": "u", "class": "urgent", "team": "t", "pools": ["p"], "deadline_ms": 100, "match": {"host": "h"}},
			{"name": "b", "class": "batch", "team": "t", "pools": ["p"], "deadline_ms": 100},
		],
	}`))
	pools, poolFindings := ParsePools("pools.json", []byte(`{
		"failure_domains": [{"name": "a"}],
		"pools": [{"name": "p", "failure_domains": ["a"], "slots": 8, "connections": 64}],
	}`))
	base := route.Route{Team: "t", Pools: []string{"p"}, DeadlineMS: 100, MaxRequestBytes: 1 << 20, MaxAnswerBytes: 16 << 20, MaxQueued: 1000}
	urgent, batch := base, base
	urgent.Name, urgent.Class, urgent.Match.Host, urgent.RetryPercent = "u", route.Urgent, "h", 10
	batch.Name, batch.Class, batch.MaxAttempts = "b", route.Batch, 5
	want := []any{
		route.Table{Routes: []route.Route{urgent, batch}, Teams: []route.Team{{Name: "t"}}},
		pool.Table{Domains: []pool.Domain{{Name: "a", Cells: 1}}, Pools: []pool.Pool{{
			Name: "p", FailureDomains: []string{"a"}, Slots: 8, Connections: 64, HoldMS: 60_000, LeaseMS: 10_000, WarmupMS: 10_000, MaxMovesPerSec: 50,
		}}},
		[]Finding{},
	}
	if diff := cmp.Diff(want, []any{routes, pools, append(routeFindings, poolFindings...)}, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("tables (-want +got):\n%s", diff)
	}
}

// Every finding has a message and no negative line, and tables that are accepted
// have no findings when they are checked again.
func FuzzTables(f *testing.F) {
	for _, name := range []string{"maraval", "tsetseg"} {
		for _, file := range []string{"routes.json", "pools.json"} {
			data, err := os.ReadFile("../../../examples/" + name + "/" + file)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
		}
	}
	f.Add([]byte(`{"routes": [{"name": "r", "match": {"path_prefix": "/"}, "deadline_ms": 1}]}`))
	f.Add([]byte(`{"pools": [{"vm_prefix": "w", "slots": 8}], "failure_domains": [{"name": "a"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		routes, routeFindings := ParseRoutes("f", data)
		pools, poolFindings := ParsePools("f", data)
		for _, finding := range append(routeFindings, poolFindings...) {
			if finding.Line < 0 || finding.Message == "" {
				t.Fatalf("finding without a position or message: %+v", finding)
			}
		}
		if len(routeFindings) == 0 && len(checkRoutes(routes)) > 0 || len(poolFindings) == 0 && len(checkPools(pools)) > 0 {
			t.Fatal("parser accepted a table that its checks report findings for")
		}
	})
}

func BenchmarkCheckAll(b *testing.B) {
	routes, pools := largeTables(43_000)
	b.ReportAllocs()
	for b.Loop() {
		if findings := Check(routes, pools); len(findings) > 0 {
			b.Fatal(findings[0])
		}
	}
}

func BenchmarkCheckOneRow(b *testing.B) {
	index, findings := NewIndex().WithTables(largeTables(43_000))
	if len(findings) > 0 {
		b.Fatal(findings[0])
	}
	rt, _ := index.Route("r20000")
	b.ReportAllocs()
	for b.Loop() {
		rt = rt.WithDeadline(rt.DeadlineMS%1000 + 1)
		if index, findings = index.WithRoute(rt); len(findings) > 0 {
			b.Fatal(findings[0])
		}
	}
}
