// Package choice picks the backend server of a request from what one entry
// has seen of each: requests in flight from here, smoothed latency, refusals,
// failures.
//
// A few servers with a free place are drawn at random from the entry's own
// failure domain and a few from the others, and the cheapest wins. The cost of
// a server is the time that an answer from it is expected to take, so requests
// leave their failure domain exactly when that is measured to be faster, or
// when their own has no place left.
//
// [Server] is mutable and holds counters; [Chooser] draws with a generator
// that is passed in. Neither is safe for concurrent use, does I/O or reads a
// clock.
//
// # Usage
//
//	chooser := choice.New(rng, servers)
//	server := chooser.Pick(choice.Query{Now: now, Tried: tried})
//	if server == nil { ... } // no place anywhere
//	server.Begin(now)
//	...
//	server.Answered(now, latencyMS)
package choice

import (
	"math/rand/v2"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

const (
	draws       = 4    // servers compared within a tier; one alone leaves all balancing to the guards
	maxVisits   = 128  // servers looked at for a free place in a large pool
	tolerance   = 1.2  // latency over the usual one at which a server of the own failure domain is taken at once
	remoteBias  = 1.15 // how much faster another failure domain must look
	levelMS     = 30.0 // added to latencies in comparisons, where chance differences of a few answers must not rule
	refusalCost = 2.0  // a server that refused just now costs this much more; fades within the usual latency
	firstShare  = 0.1  // load of a server at the start of its warm-up

	sampleShare    = 0.3              // weight of a new answer in a server's smoothed latency
	forgetAfter    = 3 * clock.Second // time constant by which an old latency loses its meaning
	lateDeviations = 2.0              // mean deviations above the mean latency, for a second attempt
	highDeviations = 4.0              // the same for a latency that few answers exceed

	failuresToEject = 5                 // in a row; a single lost connection is no sign
	refusalsToEject = 5                 // without an answer; a full server rarely refuses as many
	firstEjection   = clock.Second      // doubles at each further one
	maxEjection     = 30 * clock.Second // a server that recovers gets requests within this time
	patience        = 2 * clock.Second  // how long a trial waits for a repeatable request
)

// Chooser picks among the servers of one pool.
type Chooser struct {
	rng    *rand.Rand
	local  []*Server // in random order, shuffled further by each pick
	remote []*Server
}

// Query is one request's wish.
type Query struct {
	Now        clock.Millis
	Repeatable bool      // may be sent to a server that is on trial
	Tried      []*Server // left out
	Freed      *Server   // has just answered, so that a slot of it is free; may be nil
	Worth      float64   // longest expected latency that beats waiting, ms; 0 for any
}

// New returns a chooser over servers of the own and of other failure domains.
func New(rng *rand.Rand, servers []*Server) *Chooser {
	chooser := &Chooser{rng: rng}
	for _, server := range servers {
		if server.Local {
			chooser.local = append(chooser.local, server)
		} else {
			chooser.remote = append(chooser.remote, server)
		}
	}
	return chooser
}

// Pick returns a server with a free place, or nil.
func (chooser *Chooser) Pick(query Query) *Server {
	if freed := query.Freed; freed != nil && chooser.fits(freed, query) {
		return freed
	}
	near, nearCost := chooser.draw(chooser.local, query)
	far, farCost := chooser.draw(chooser.remote, query)
	if near == nil {
		return far
	}
	if far != nil && farCost*remoteBias < nearCost {
		return far
	}
	return near
}

func (chooser *Chooser) fits(server *Server, query Query) bool {
	return server.Free(query) && server.worth(query) && !slices.Contains(query.Tried, server)
}

// draw visits servers in random order until it has seen enough free ones.
func (chooser *Chooser) draw(tier []*Server, query Query) (best *Server, cost float64) {
	seen := 0
	for i := range min(len(tier), maxVisits) {
		j := i + chooser.rng.IntN(len(tier)-i)
		tier[i], tier[j] = tier[j], tier[i]
		server := tier[i]
		if !chooser.fits(server, query) {
			continue
		}
		if price := server.cost(query); best == nil || price < cost {
			best, cost = server, price
		}
		if seen++; seen == draws {
			break
		}
	}
	return best, cost
}
