package choice

import (
	"math"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/limit"
)

// Server is what one entry knows of a backend server.
type Server struct {
	Name    string
	Address string // ip:port
	Domain  string
	Local   bool         // in the entry's own failure domain
	Out     bool         // leaving, marked out, or in a failure domain that is out: gets nothing new
	Warmup  clock.Millis // length of the ramp after Since; 0 for none
	Since   clock.Millis // when it came into service or back from ejection
	Usual   *Latency     // of the whole pool; stands in where the server's own is old

	InFlight int
	Places   limit.Concurrency
	Latency  Latency
	Health   Health

	refusedAt clock.Millis
	movedAt   clock.Millis // last answer, or start of the first request in flight
}

// Free reports whether the server may get a request now.
func (server *Server) Free(query Query) bool {
	if server.Out || !server.Places.Allows(server.InFlight, query.Now) {
		return false
	}
	return server.Health.Allows(server.InFlight, query)
}

// worth reports whether an answer from the server is expected soon enough. One
// that was slow and may have recovered is tried with a single request.
func (server *Server) worth(query Query) bool {
	if query.Worth == 0 {
		return true
	}
	worth := query.Worth
	if server.Local {
		worth += server.Usual.Mean() * (tolerance - 1)
	}
	if server.LatencyMS(query.Now) > worth {
		return false
	}
	return server.InFlight == 0 || server.Latency.Mean() <= worth
}

// cost is the expected time to an answer, in milliseconds, raised by the
// chance of a refusal.
func (server *Server) cost(query Query) float64 {
	latency := server.LatencyMS(query.Now)
	full := float64(server.InFlight+1) / server.Places.Limit
	cost := (latency + levelMS) * (1 + full) / server.warmth(query.Now)
	if server.refusedAt > 0 {
		age := float64(query.Now-server.refusedAt) / server.Usual.Mean()
		cost *= 1 + refusalCost*math.Exp(-age)
	}
	return cost
}

// LatencyMS is the expected latency in milliseconds: the server's own, fading
// into the usual one as it ages.
func (server *Server) LatencyMS(now clock.Millis) float64 {
	return max(server.smoothed(now), server.stall(now))
}

// stall is how long requests in flight have seen no answer: the latency of
// the oldest is at least about that.
func (server *Server) stall(now clock.Millis) float64 {
	if server.InFlight == 0 {
		return 0
	}
	return float64(now - server.movedAt)
}

func (server *Server) smoothed(now clock.Millis) float64 {
	usual := server.Usual.Mean()
	if !server.Latency.Known() {
		return usual
	}
	age := float64(now-server.Latency.at) / float64(forgetAfter)
	return usual + (server.Latency.Mean()-usual)*math.Exp(-age)
}

// warmth is the share of its load that a returning server takes.
func (server *Server) warmth(now clock.Millis) float64 {
	if server.Warmup <= 0 || now-server.Since >= server.Warmup {
		return 1
	}
	share := float64(now-server.Since) / float64(server.Warmup)
	return max(share, firstShare)
}

// WarmupPercent is the share of its load that the server takes, 100 outside
// of warm-up.
func (server *Server) WarmupPercent(now clock.Millis) int { return int(100 * server.warmth(now)) }

// Begin counts a request that is about to be sent.
func (server *Server) Begin(now clock.Millis) {
	if server.InFlight == 0 {
		server.movedAt = now
	}
	server.InFlight++
}

// Answered counts an answer after latency milliseconds.
func (server *Server) Answered(now clock.Millis, latency, eager float64) {
	server.Places = server.Places.Answered(server.InFlight, now, server.Usual.Mean(), eager)
	server.InFlight--
	server.Latency.Add(now, latency)
	server.movedAt = now
	if server.Health.Ejected {
		server.Since = now
	}
	server.Health = Health{}
}

// Refused counts a guard's refusal.
func (server *Server) Refused(now clock.Millis, mayEject bool) {
	server.InFlight--
	server.refusedAt = now
	server.Health = server.Health.Refused(now, mayEject)
	server.Places = server.Places.Refused(now, server.Usual.Mean())
}

// Failed counts an attempt without an answer.
func (server *Server) Failed(now clock.Millis, mayEject bool) {
	server.InFlight--
	server.Health = server.Health.Failed(now, mayEject)
}

// Abandoned counts an attempt that was given up after a time that is a lower
// bound of its latency.
func (server *Server) Abandoned(now clock.Millis, elapsed float64) {
	server.InFlight--
	if elapsed > server.LatencyMS(now) {
		server.Latency.Add(now, elapsed)
	}
}
