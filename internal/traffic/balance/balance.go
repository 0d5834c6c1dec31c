// Package balance picks the backend server for a request from what this entry
// has measured of each server: its own requests in flight, smoothed latency,
// refusals and failures.
//
// Pick samples a few servers with spare capacity at random from the entry's
// own failure domain and a few from the others, and takes the one with the
// lowest cost. The cost of a server is the expected time to an answer, so
// requests leave their failure domain only when another one is measured to be
// faster, or when no server of their own has spare capacity.
//
// [Server] is mutable and holds counters; [Balancer] uses the random generator
// that is passed in. Neither is safe for concurrent use, does I/O or reads a
// clock.
//
// # Usage
//
//	balancer := balance.New(rng, servers)
//	server := balancer.Pick(balance.Query{Now: now, Exclude: tried})
//	if server == nil { ... } // no server has spare capacity
//	server.Begin(now)
//	...
//	server.Answered(now, latencyMS, growthFactor)
package balance

import (
	"math/rand/v2"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

const (
	sampleSize            = 4    // eligible servers compared per tier (own failure domain, others); with 1, only the guards' refusals would balance load
	maxVisits             = 128  // servers checked for eligibility per tier, which bounds the cost in a large pool
	localLatencyTolerance = 1.2  // 1 + the share of the pool's mean latency by which a local server may exceed Query.MaxLatencyMS
	remoteCostFactor      = 1.15 // a remote server is picked only if it is cheaper by this factor
	latencyOffsetMS       = 30.0 // added to compared latencies, so that random variation over a few answers does not decide
	refusalPenalty        = 2.0  // multiple of the cost added right after a refusal; decays with a time constant of the pool's mean latency
	initialWarmupShare    = 0.1  // share of its load that a server gets at the start of its warm-up

	defaultSampleWeight = 0.3              // weight of a new answer in a server's smoothed latency
	latencyDecay        = 3 * clock.Second // time constant with which a measured latency decays to the pool's mean
	hedgeDeviations     = 2.0              // mean deviations above the mean latency at which a second attempt may start
	highDeviations      = 4.0              // mean deviations above the mean latency; few answers exceed it

	failuresToEject    = 5                 // consecutive; a single lost connection does not indicate a failed server
	refusalsToEject    = 5                 // without an answer between them; a server at capacity rarely refuses as many
	minEjection        = clock.Second      // doubles with each further ejection until an answer resets it
	maxEjection        = 30 * clock.Second // longest ejection period; a recovered server gets a trial request shortly after its end
	repeatableOnlyTime = 2 * clock.Second  // time after the end of an ejection period in which a server on trial gets only repeatable requests
)

// Balancer picks among the servers of one pool.
type Balancer struct {
	rng    *rand.Rand
	local  []*Server // shuffled further by each pick
	remote []*Server // shuffled further by each pick
}

// Query describes the request that a server is picked for.
type Query struct {
	Now          clock.Millis
	Repeatable   bool      // may be sent to a server on trial
	Exclude      []*Server // excluded from the pick
	Preferred    *Server   // has just answered and so has a free slot; picked if eligible; may be nil
	MaxLatencyMS float64   // longest expected latency that is better than waiting, ms; 0 for no bound
}

// New returns a balancer over the servers of all failure domains.
func New(rng *rand.Rand, servers []*Server) *Balancer {
	balancer := &Balancer{rng: rng}
	for _, server := range servers {
		if server.Local {
			balancer.local = append(balancer.local, server)
		} else {
			balancer.remote = append(balancer.remote, server)
		}
	}
	return balancer
}

// Pick returns an eligible server, or nil if there is none.
func (balancer *Balancer) Pick(query Query) *Server {
	if freed := query.Preferred; freed != nil && balancer.eligible(freed, query) {
		return freed
	}
	bestLocal, localCost := balancer.cheapest(balancer.local, query)
	bestRemote, remoteCost := balancer.cheapest(balancer.remote, query)
	if bestLocal == nil {
		return bestRemote
	}
	if bestRemote != nil && remoteCost*remoteCostFactor < localCost {
		return bestRemote
	}
	return bestLocal
}

func (balancer *Balancer) eligible(server *Server, query Query) bool {
	return server.CanAccept(query) && server.acceptable(query) && !slices.Contains(query.Exclude, server)
}

// cheapest returns the server of the lowest cost among sampleSize eligible
// ones, visited in random order.
func (balancer *Balancer) cheapest(tier []*Server, query Query) (best *Server, cost float64) {
	compared := 0
	for i := range min(len(tier), maxVisits) {
		j := i + balancer.rng.IntN(len(tier)-i)
		tier[i], tier[j] = tier[j], tier[i]
		server := tier[i]
		if !balancer.eligible(server, query) {
			continue
		}
		if candidateCost := server.cost(query); best == nil || candidateCost < cost {
			best, cost = server, candidateCost
		}
		if compared++; compared == sampleSize {
			break
		}
	}
	return best, cost
}
