package limit

import "github.com/oriolepier/oriolepier/internal/base/clock"

const (
	minConcurrency    = 0.1   // one request per ten service times, so that a server at capacity is still tried
	growthStep        = 0.15  // added to the limit per answer while the limit is reached
	refusalFactor     = 0.8   // applied to the limit at a refusal
	remoteGrowth      = 0.2   // factor of growthStep for a server of another failure domain that has refused lately
	remoteFactor      = 0.5   // refusalFactor for a server of another failure domain
	answersToRecover  = 64    // consecutive answers after which a refusal is no longer recent; a server at capacity refuses far more often
	refusalPauseShare = 0.125 // of the pool's mean latency; a server of 8 slots frees one in this time
)

// Concurrency limits the requests that one entry keeps in flight at one
// backend server. The server's slots are shared by all entries, none of which
// knows the load of the others: the limit grows by a small step with each
// answer while it is reached, and shrinks by a factor at each refusal of the
// server's guard (additive increase, multiplicative decrease). As all entries
// see refusals at the same rate, their limits converge, and refusals stay rare.
//
// A limit below 1 means one request at a time with pauses between: 0.25 is one
// service time in four. It is an immutable value.
type Concurrency struct {
	Limit        float64      // requests in flight
	Ceiling      float64      // upper bound of Limit, from slots and connections
	BlockedUntil clock.Millis // end of the pause before the next request
	Remote       bool         // the server is of another failure domain, whose own entries have precedence
	answers      int          // since the last refusal
}

// NewConcurrency returns a limit of start, bounded by the ceiling.
func NewConcurrency(start, ceiling float64) Concurrency {
	return Concurrency{Ceiling: ceiling}.withLimit(start)
}

// WithCeiling returns the limit under another ceiling.
func (c Concurrency) WithCeiling(ceiling float64) Concurrency {
	c.Ceiling = ceiling
	return c.withLimit(c.Limit)
}

func (c Concurrency) withLimit(limit float64) Concurrency {
	c.Limit = max(min(limit, c.Ceiling), minConcurrency)
	return c
}

// Allows reports whether one more request may be sent.
func (c Concurrency) Allows(inFlight int, now clock.Millis) bool {
	return float64(inFlight)+1 <= max(c.Limit, 1) && now >= c.BlockedUntil
}

// Answered returns the limit after an answer, given the requests in flight
// including the answered one and the pool's mean latency in milliseconds. The
// limit grows only while it would not have allowed one more request; growthFactor
// scales the step.
func (c Concurrency) Answered(inFlight int, now clock.Millis, meanLatency, growthFactor float64) Concurrency {
	c.answers++
	if float64(inFlight)+1 > c.Limit {
		step := growthStep * growthFactor
		if c.Remote && c.answers < answersToRecover {
			step *= remoteGrowth
		}
		c = c.withLimit(c.Limit + step)
	}
	return c.pause(now, meanLatency, 0)
}

// Refused returns the limit after a refusal by the server's guard.
func (c Concurrency) Refused(now clock.Millis, meanLatency float64) Concurrency {
	c.answers = 0
	factor := refusalFactor
	if c.Remote {
		factor = remoteFactor
	}
	return c.withLimit(c.Limit*factor).pause(now, meanLatency, refusalPauseShare)
}

// pause sets the time until the next request: for a limit below 1, so long
// that the limit is kept, and at least minShare of the pool's mean latency.
func (c Concurrency) pause(now clock.Millis, meanLatency, minShare float64) Concurrency {
	c.BlockedUntil = now + clock.Millis(meanLatency*max(1/c.Limit-1, minShare))
	return c
}
