package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/balance"
	"github.com/oriolepier/oriolepier/internal/traffic/limit"
)

const now = clock.Hour

// eligible returns all servers that may get the request. It is the reference
// for Pick.
func eligible(servers []*balance.Server, query balance.Query) []*balance.Server {
	var found []*balance.Server
	for _, server := range servers {
		ejected := server.Health.Ejected && (query.Now < server.Health.BlockedUntil || !server.Health.Reached || server.InFlight > 0 || !query.Repeatable)
		if server.OutOfService || ejected || slices.Contains(query.Exclude, server) {
			continue
		}
		if float64(server.InFlight) >= max(server.ConcurrencyLimit.Limit, 1) || float64(server.InFlight)+1 > max(server.ConcurrencyLimit.Limit, 1) {
			continue
		}
		found = append(found, server)
	}
	return found
}

// TestPickReturnsOnlyEligibleServers draws servers in all states. Pick must
// return an eligible server, and nil only if there is none.
func TestPickReturnsOnlyEligibleServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		poolLatency := &balance.Latency{}
		poolLatency.Add(now, 20)
		var servers []*balance.Server
		for i := range rapid.IntRange(0, 12).Draw(t, "servers") {
			server := &balance.Server{Name: fmt.Sprint(i), PoolLatency: poolLatency, OutOfService: rapid.Bool().Draw(t, "out"), Local: rapid.Bool().Draw(t, "local")}
			server.ConcurrencyLimit = limit.NewConcurrency(rapid.Float64Range(0.1, 8).Draw(t, "limit"), 8)
			for range rapid.IntRange(0, 4).Draw(t, "in_flight") {
				server.Begin(now)
			}
			if rapid.IntRange(0, 2).Draw(t, "ejected") == 0 {
				server.Health = balance.Health{Ejected: true, Reached: rapid.Bool().Draw(t, "reached"), BlockedUntil: now + clock.Millis(rapid.IntRange(-1000, 1000).Draw(t, "until"))}
			}
			servers = append(servers, server)
		}
		query := balance.Query{Now: now, Repeatable: rapid.Bool().Draw(t, "repeatable")}
		if len(servers) > 0 {
			query.Exclude = servers[:rapid.IntRange(0, 1).Draw(t, "tried")]
		}
		want := eligible(servers, query)
		got := balance.New(rand.New(rand.NewPCG(1, 2)), servers).Pick(query)
		if (got == nil) != (len(want) == 0) || (got != nil && !slices.Contains(want, got)) {
			t.Fatalf("Pick returned %+v; %d servers are eligible", got, len(want))
		}
	})
}

// TestPickPrefersLocalServerUntilSlower checks that a remote server that is
// faster by less than remoteCostFactor is not picked, and one that is much
// faster is.
func TestPickPrefersLocalServerUntilSlower(t *testing.T) {
	poolLatency := &balance.Latency{}
	poolLatency.Add(now, 20)
	local := &balance.Server{Name: "local", PoolLatency: poolLatency, Local: true, ConcurrencyLimit: limit.NewConcurrency(8, 8)}
	remote := &balance.Server{Name: "remote", PoolLatency: poolLatency, ConcurrencyLimit: limit.NewConcurrency(8, 8)}
	chooser := balance.New(rand.New(rand.NewPCG(1, 2)), []*balance.Server{local, remote})
	local.Latency.Add(now, 20)
	remote.Latency.Add(now, 19)
	if got := chooser.Pick(balance.Query{Now: now}); got != local {
		t.Errorf("at 20 ms locally and 19 ms remotely, Pick returned %s", got.Name)
	}
	local.Latency.Add(now, 200)
	if got := chooser.Pick(balance.Query{Now: now}); got != remote {
		t.Errorf("after a local answer of 200 ms, Pick returned %s", got.Name)
	}
}

// TestPickLimitsLoadDuringWarmup picks 30 times among ten servers, one of
// which has just returned to service.
func TestPickLimitsLoadDuringWarmup(t *testing.T) {
	poolLatency := &balance.Latency{}
	poolLatency.Add(now, 20)
	var servers []*balance.Server
	for i := range 10 {
		servers = append(servers, &balance.Server{Name: fmt.Sprint(i), PoolLatency: poolLatency, Local: true, ConcurrencyLimit: limit.NewConcurrency(8, 8)})
	}
	servers[0].Warmup, servers[0].InServiceSince = 5000, now
	chooser := balance.New(rand.New(rand.NewPCG(1, 2)), servers)
	for range 30 {
		chooser.Pick(balance.Query{Now: now + 100}).Begin(now)
	}
	if servers[0].InFlight > 1 {
		t.Errorf("the server in warm-up has %d of 30 requests in flight, want at most 1", servers[0].InFlight)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{65, 1200} {
		b.Run(fmt.Sprintf("servers=%d", count), func(b *testing.B) {
			poolLatency := &balance.Latency{}
			var servers []*balance.Server
			for i := range count {
				servers = append(servers, &balance.Server{Name: fmt.Sprint(i), PoolLatency: poolLatency, Local: i%3 == 0, ConcurrencyLimit: limit.NewConcurrency(8, 8)})
			}
			chooser := balance.New(rand.New(rand.NewPCG(1, 2)), servers)
			b.ReportAllocs()
			for b.Loop() {
				chooser.Pick(balance.Query{Now: now})
			}
		})
	}
}
