package balance

import (
	"math"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/limit"
)

// Server is the state of one backend server as one entry sees it.
type Server struct {
	Name           string
	Address        string // ip:port
	Domain         string
	Local          bool         // in the entry's own failure domain
	OutOfService   bool         // draining, marked out, or in a failure domain that is out: gets no new requests
	Warmup         clock.Millis // length of the ramp after InServiceSince; 0 for none
	InServiceSince clock.Millis // start of the warm-up: first listed by this entry, or end of the last ejection
	PoolLatency    *Latency     // of the whole pool; used where the server has no recent latency

	InFlight         int               // requests from this entry
	ConcurrencyLimit limit.Concurrency // bound of InFlight
	Latency          Latency
	Health           Health

	lastRefusal  clock.Millis
	lastProgress clock.Millis // last answer, or start of the first request in flight
}

// CanAccept reports whether the server may get a request now.
func (server *Server) CanAccept(query Query) bool {
	if server.OutOfService || !server.ConcurrencyLimit.Allows(server.InFlight, query.Now) {
		return false
	}
	return server.Health.Allows(server.InFlight, query)
}

// acceptable reports whether the expected latency is within query.MaxLatencyMS. A
// server whose measured latency was above it and has decayed since gets a
// single request at a time.
func (server *Server) acceptable(query Query) bool {
	if query.MaxLatencyMS == 0 {
		return true
	}
	acceptable := query.MaxLatencyMS
	if server.Local {
		acceptable += server.PoolLatency.Mean() * (localLatencyTolerance - 1)
	}
	if server.LatencyMS(query.Now) > acceptable {
		return false
	}
	return server.InFlight == 0 || server.Latency.Mean() <= acceptable
}

// cost is the expected time to an answer, in milliseconds, raised by the
// probability of a refusal.
func (server *Server) cost(query Query) float64 {
	latency := server.LatencyMS(query.Now)
	utilization := float64(server.InFlight+1) / server.ConcurrencyLimit.Limit
	cost := (latency + latencyOffsetMS) * (1 + utilization) / server.warmupShare(query.Now)
	if server.lastRefusal > 0 {
		age := float64(query.Now-server.lastRefusal) / server.PoolLatency.Mean()
		cost *= 1 + refusalPenalty*math.Exp(-age)
	}
	return cost
}

// LatencyMS is the expected latency in milliseconds: the server's smoothed
// latency, which decays to the pool's mean, or the time since its last
// progress if that is longer.
func (server *Server) LatencyMS(now clock.Millis) float64 {
	return max(server.decayedLatency(now), server.sinceProgress(now))
}

// sinceProgress is how long requests have been in flight without an answer.
// The oldest one was sent at lastProgress or before it, unless an earlier one
// ended without an answer since, so its latency will be about that or more.
func (server *Server) sinceProgress(now clock.Millis) float64 {
	if server.InFlight == 0 {
		return 0
	}
	return float64(now - server.lastProgress)
}

func (server *Server) decayedLatency(now clock.Millis) float64 {
	poolMean := server.PoolLatency.Mean()
	if !server.Latency.Known() {
		return poolMean
	}
	age := float64(now-server.Latency.updated) / float64(latencyDecay)
	return poolMean + (server.Latency.Mean()-poolMean)*math.Exp(-age)
}

// warmupShare is the share of its load that the server gets, 1 outside of
// warm-up.
func (server *Server) warmupShare(now clock.Millis) float64 {
	if server.Warmup <= 0 || now-server.InServiceSince >= server.Warmup {
		return 1
	}
	share := float64(now-server.InServiceSince) / float64(server.Warmup)
	return max(share, initialWarmupShare)
}

// WarmupPercent is the share of its load that the server gets, 100 outside of
// warm-up.
func (server *Server) WarmupPercent(now clock.Millis) int {
	return int(100 * server.warmupShare(now))
}

// Begin counts a request that is about to be sent.
func (server *Server) Begin(now clock.Millis) {
	if server.InFlight == 0 {
		server.lastProgress = now
	}
	server.InFlight++
}

// Answered records an answer after latency milliseconds. The growth of the
// concurrency limit is scaled by growthFactor.
func (server *Server) Answered(now clock.Millis, latency, growthFactor float64) {
	server.ConcurrencyLimit = server.ConcurrencyLimit.Answered(server.InFlight, now, server.PoolLatency.Mean(), growthFactor)
	server.InFlight--
	server.Latency.Add(now, latency)
	server.lastProgress = now
	if server.Health.Ejected {
		server.InServiceSince = now
	}
	server.Health = Health{}
}

// Refused records a refusal by the server's guard.
func (server *Server) Refused(now clock.Millis, mayEject bool) {
	server.InFlight--
	server.lastRefusal = now
	server.Health = server.Health.Refused(now, mayEject)
	server.ConcurrencyLimit = server.ConcurrencyLimit.Refused(now, server.PoolLatency.Mean())
}

// Failed records an attempt without an answer.
func (server *Server) Failed(now clock.Millis, mayEject bool) {
	server.InFlight--
	server.Health = server.Health.Failed(now, mayEject)
}

// Abandoned records an attempt that was cancelled after elapsed milliseconds,
// which is a lower bound of its latency.
func (server *Server) Abandoned(now clock.Millis, elapsed float64) {
	server.InFlight--
	if elapsed > server.LatencyMS(now) {
		server.Latency.Add(now, elapsed)
	}
}
