package match_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/traffic/match"
)

// scan is the reference for Find: it compares a request with every row and
// returns the name of the route of the highest precedence.
func scan(routes []route.Route, host, path, method string) string {
	best, bestScore := "", -1
	for _, row := range routes {
		prefix := strings.TrimRight(row.Match.PathPrefix, "/")
		switch {
		case row.Match.Host != "" && !strings.EqualFold(row.Match.Host, host):
			continue
		case path != prefix && !strings.HasPrefix(path, prefix+"/"):
			continue
		case len(row.Match.Methods) > 0 && !slices.Contains(row.Match.Methods, method):
			continue
		}
		score := 2 * len(prefix)
		if row.Match.Host != "" {
			score += 100000
		}
		if len(row.Match.Methods) > 0 {
			score++
		}
		if score > bestScore {
			best, bestScore = row.Name, score
		}
	}
	return best
}

// TestFindMatchesLinearScan compares Find with scan on random tables and
// requests.
func TestFindMatchesLinearScan(t *testing.T) {
	prefixes := rapid.SampledFrom([]string{"", "/", "/a", "/b", "/a/b", "/a/b/", "/ab", "/a/b/c", "/b/a"})
	paths := rapid.SampledFrom([]string{"/", "/a", "/a/", "/ab", "/a/b", "/a/b/c/d", "/b//a", "/c", "/a/b/"})
	methods := rapid.SampledFrom([][]string{nil, {"GET"}, {"GET", "PUT"}, {"PUT"}})
	hosts := rapid.SampledFrom([]string{"", "x.example", "Y.example"})
	rapid.Check(t, func(t *rapid.T) {
		var routes []route.Route
		for i := range rapid.IntRange(0, 12).Draw(t, "rows") {
			routes = append(routes, route.Route{Name: fmt.Sprint(i), Match: route.Match{
				Host: hosts.Draw(t, "host"), PathPrefix: prefixes.Draw(t, "prefix"), Methods: methods.Draw(t, "methods"),
			}})
		}
		table := match.New(routes)
		for range 20 {
			host, path, method := rapid.SampledFrom([]string{"x.example", "y.example", "z"}).Draw(t, "to"), paths.Draw(t, "path"), rapid.SampledFrom([]string{"GET", "PUT", "POST"}).Draw(t, "method")
			got := ""
			if found := table.Find(host+":80", path, method); found.Route != nil {
				got = found.Route.Name
			}
			if diff := cmp.Diff(scan(routes, host, path, method), got); diff != "" {
				t.Fatalf("%s %s%s: %s", method, host, path, diff)
			}
		}
	})
}

func TestFindReturnsAllowedMethodsOfPath(t *testing.T) {
	table := match.New([]route.Route{{Name: "r", Match: route.Match{PathPrefix: "/a", Methods: []string{"PUT"}}}})
	if diff := cmp.Diff([]string{"PUT"}, table.Find("h", "/a/b", "GET").Allow); diff != "" {
		t.Error(diff)
	}
}

func BenchmarkFind(b *testing.B) {
	for _, count := range []int{10, 1000, 43000} {
		b.Run(fmt.Sprintf("routes=%d", count), func(b *testing.B) {
			var routes []route.Route
			for i := range count {
				routes = append(routes, route.Route{Name: fmt.Sprint(i), Match: route.Match{PathPrefix: fmt.Sprintf("/team-%d/service-%d", i%200, i)}})
			}
			table := match.New(routes)
			path := fmt.Sprintf("/team-%d/service-%d/rations/17", (count-1)%200, count-1)
			b.ReportAllocs()
			for b.Loop() {
				if table.Find("x.example:80", path, "GET").Route == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}

func BenchmarkCompile(b *testing.B) {
	var routes []route.Route
	for i := range 43000 {
		routes = append(routes, route.Route{Name: fmt.Sprint(i), Match: route.Match{PathPrefix: fmt.Sprintf("/team-%d/service-%d", i%200, i)}})
	}
	b.ReportAllocs()
	for b.Loop() {
		match.New(routes)
	}
}

// TestFindIgnoresRoutesOfTasks guards against the empty match of a batch
// route: it must not win over a route that matches every path, nor match when
// no other route does.
func TestFindIgnoresRoutesOfTasks(t *testing.T) {
	tasks := route.Route{Name: "tasks", Class: route.Batch}
	all := route.Route{Name: "all", Class: route.Urgent, Match: route.Match{PathPrefix: "/"}}
	for _, rows := range [][]route.Route{{tasks, all}, {all, tasks}} {
		found := match.New(rows).Find("h", "/x", "GET")
		if found.Route == nil || found.Route.Name != "all" {
			t.Errorf("Find returned route %+v, want the one for all paths", found.Route)
		}
	}
	if found := match.New([]route.Route{tasks}).Find("h", "/x", "GET"); found.Route != nil {
		t.Errorf("Find returned route %+v, want none", found.Route)
	}
}
