package choice_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/choice"
	"github.com/oriolepier/oriolepier/internal/traffic/limit"
)

const now = clock.Hour

// eligible is the naive twin of Pick: all servers that may get the request.
func eligible(servers []*choice.Server, query choice.Query) []*choice.Server {
	var free []*choice.Server
	for _, server := range servers {
		ejected := server.Health.Ejected && (query.Now < server.Health.Until || !server.Health.Reached || server.InFlight > 0 || !query.Repeatable)
		if server.Out || ejected || slices.Contains(query.Tried, server) {
			continue
		}
		if float64(server.InFlight) >= max(server.Places.Limit, 1) || float64(server.InFlight)+1 > max(server.Places.Limit, 1) {
			continue
		}
		free = append(free, server)
	}
	return free
}

// TestPicksOnlyWhoMayBePicked draws servers in all states: a pick is eligible,
// and there is one whenever a server is.
func TestPicksOnlyWhoMayBePicked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usual := &choice.Latency{}
		usual.Add(now, 20)
		var servers []*choice.Server
		for i := range rapid.IntRange(0, 12).Draw(t, "servers") {
			server := &choice.Server{Name: fmt.Sprint(i), Usual: usual, Out: rapid.Bool().Draw(t, "out"), Local: rapid.Bool().Draw(t, "local")}
			server.Places = limit.NewConcurrency(rapid.Float64Range(0.1, 8).Draw(t, "limit"), 8)
			for range rapid.IntRange(0, 4).Draw(t, "in_flight") {
				server.Begin(now)
			}
			if rapid.IntRange(0, 2).Draw(t, "ejected") == 0 {
				server.Health = choice.Health{Ejected: true, Reached: rapid.Bool().Draw(t, "reached"), Until: now + clock.Millis(rapid.IntRange(-1000, 1000).Draw(t, "until"))}
			}
			servers = append(servers, server)
		}
		query := choice.Query{Now: now, Repeatable: rapid.Bool().Draw(t, "repeatable")}
		if len(servers) > 0 {
			query.Tried = servers[:rapid.IntRange(0, 1).Draw(t, "tried")]
		}
		free := eligible(servers, query)
		got := choice.New(rand.New(rand.NewPCG(1, 2)), servers).Pick(query)
		if (got == nil) != (len(free) == 0) || (got != nil && !slices.Contains(free, got)) {
			t.Fatalf("picked %+v of %d eligible", got, len(free))
		}
	})
}

// TestPrefersItsOwnDomainUntilItIsSlower compares both tiers by what is
// measured.
func TestPrefersItsOwnDomainUntilItIsSlower(t *testing.T) {
	usual := &choice.Latency{}
	usual.Add(now, 20)
	near := &choice.Server{Name: "near", Usual: usual, Local: true, Places: limit.NewConcurrency(8, 8)}
	far := &choice.Server{Name: "far", Usual: usual, Places: limit.NewConcurrency(8, 8)}
	chooser := choice.New(rand.New(rand.NewPCG(1, 2)), []*choice.Server{near, far})
	near.Latency.Add(now, 20)
	far.Latency.Add(now, 19)
	if got := chooser.Pick(choice.Query{Now: now}); got != near {
		t.Errorf("left the failure domain for %s", got.Name)
	}
	near.Latency.Add(now, 200)
	if got := chooser.Pick(choice.Query{Now: now}); got != far {
		t.Errorf("stayed at a slow %s", got.Name)
	}
}

// TestWarmupTakesLess draws many times between a returning server and others.
func TestWarmupTakesLess(t *testing.T) {
	usual := &choice.Latency{}
	usual.Add(now, 20)
	var servers []*choice.Server
	for i := range 10 {
		servers = append(servers, &choice.Server{Name: fmt.Sprint(i), Usual: usual, Local: true, Places: limit.NewConcurrency(8, 8)})
	}
	servers[0].Warmup, servers[0].Since = 5000, now
	chooser := choice.New(rand.New(rand.NewPCG(1, 2)), servers)
	for range 30 {
		chooser.Pick(choice.Query{Now: now + 100}).Begin(now)
	}
	if servers[0].InFlight > 1 {
		t.Errorf("the returning server has %d of 30 requests in flight", servers[0].InFlight)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{65, 1200} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			usual := &choice.Latency{}
			var servers []*choice.Server
			for i := range count {
				servers = append(servers, &choice.Server{Name: fmt.Sprint(i), Usual: usual, Local: i%3 == 0, Places: limit.NewConcurrency(8, 8)})
			}
			chooser := choice.New(rand.New(rand.NewPCG(1, 2)), servers)
			b.ReportAllocs()
			for b.Loop() {
				chooser.Pick(choice.Query{Now: now})
			}
		})
	}
}
