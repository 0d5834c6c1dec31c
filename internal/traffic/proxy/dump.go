package proxy

import (
	"cmp"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Dump is the state that the proxy's decisions depend on.
type Dump struct {
	Entry    string       `json:"entry"`
	Version  int64        `json:"config_version"`
	Domain   string       `json:"failure_domain"`
	Entries  int          `json:"entries_live"`
	Draining bool         `json:"draining"`
	InFlight int          `json:"in_flight"`
	Buffered int64        `json:"buffered_request_bytes"`
	Pools    []PoolDump   `json:"pools"`
	Routes   []BudgetDump `json:"routes"`
}

// PoolDump is the state of a pool.
type PoolDump struct {
	Name      string       `json:"name"`
	Waiting   int          `json:"waiting"`
	LatencyMS float64      `json:"latency_ms"` // smoothed over all servers
	HighMS    float64      `json:"latency_high_ms"`
	Servers   []ServerDump `json:"backend_servers"`
}

// ServerDump is the state of a backend server as this entry sees it.
type ServerDump struct {
	Name          string       `json:"name"`
	Address       string       `json:"address"`
	FailureDomain string       `json:"failure_domain"`
	OutOfService  bool         `json:"out"`
	InFlight      int          `json:"in_flight"`
	Limit         float64      `json:"limit"`
	Ceiling       float64      `json:"limit_ceiling"`
	PausedMS      clock.Millis `json:"paused_ms"` // remaining pause before the next request: after a refusal, or while the limit is below 1
	LatencyMS     float64      `json:"latency_ms"`
	Failures      int          `json:"failures_in_a_row"`
	Ejected       bool         `json:"ejected"`
	EjectedMS     clock.Millis `json:"ejected_for_ms"`
	WarmupPercent int          `json:"warmup_percent"`
	Connections   int          `json:"connections"`
	Budget        int          `json:"connection_budget"`
}

// BudgetDump is the number of retries and hedges that a route's budgets allow
// now.
type BudgetDump struct {
	Name    string `json:"name"`
	Retries int    `json:"retries_saved"`
	Hedges  int    `json:"hedges_saved"`
}

// Dump returns the current state.
func (proxy *Proxy) Dump() Dump {
	routing := proxy.current()
	dump := Dump{
		Entry:    proxy.options.Entry,
		Version:  routing.snap.Version,
		Domain:   routing.snap.Domain,
		Entries:  routing.snap.Entries,
		Draining: proxy.draining.Load(),
		InFlight: proxy.InFlight(),
		Buffered: proxy.bufferedBytes.Load(),
	}
	for _, pool := range routing.pools {
		dump.Pools = append(dump.Pools, pool.dump(proxy.options.Clock.Now()))
	}
	slices.SortFunc(dump.Pools, func(a, b PoolDump) int { return cmp.Compare(a.Name, b.Name) })
	proxy.routes.Range(func(name, value any) bool {
		dump.Routes = append(dump.Routes, value.(*routeState).dump(name.(string)))
		return true
	})
	slices.SortFunc(dump.Routes, func(a, b BudgetDump) int { return cmp.Compare(a.Name, b.Name) })
	return dump
}

func (routeState *routeState) dump(name string) BudgetDump {
	routeState.mu.Lock()
	defer routeState.mu.Unlock()
	return BudgetDump{Name: name, Retries: routeState.retries.Available(), Hedges: routeState.hedges.Available()}
}

func (pool *pool) dump(now clock.Millis) PoolDump {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	latency := pool.engine.SmoothedLatency()
	dump := PoolDump{Name: pool.name, Waiting: pool.engine.Waiting(), LatencyMS: latency.Mean(), HighMS: latency.UpperBound()}
	for server, serverState := range pool.serverStates {
		dump.Servers = append(dump.Servers, ServerDump{
			Name:          server.Name,
			Address:       server.Address,
			FailureDomain: server.Domain,
			OutOfService:  server.OutOfService,
			InFlight:      server.InFlight,
			Limit:         server.ConcurrencyLimit.Limit,
			Ceiling:       server.ConcurrencyLimit.Ceiling,
			PausedMS:      max(server.ConcurrencyLimit.BlockedUntil-now, 0),
			LatencyMS:     server.LatencyMS(now),
			Failures:      server.Health.Failures,
			Ejected:       server.Health.Ejected,
			EjectedMS:     max(server.Health.BlockedUntil-now, 0),
			WarmupPercent: server.WarmupPercent(now),
			Connections:   serverState.connpool.Open(),
			Budget:        serverState.connpool.Budget(),
		})
	}
	slices.SortFunc(dump.Servers, func(a, b ServerDump) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Address, b.Address))
	})
	return dump
}
