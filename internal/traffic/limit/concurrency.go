package limit

import "github.com/oriolepier/oriolepier/internal/base/clock"

const (
	minConcurrency = 0.1   // one request per ten service times: a full server is still looked at
	growth         = 0.15  // places won per answer while the limit is in use
	decrease       = 0.8   // share kept after a refusal
	guestGrowth    = 0.2   // of growth, in another failure domain that has refused lately
	guestDecrease  = 0.5   // share kept after a refusal in another failure domain
	calmAnswers    = 64    // in a row; a full server refuses far more often
	refusalPause   = 0.125 // of the usual latency; a server of 8 slots frees one in this time
)

// Concurrency is how many requests one entry keeps in flight at one backend
// server. Its slots are shared by all entries, none of which sees the others:
// the limit grows a little with each answer while it is in use, and shrinks by
// a share at each guard's refusal. As all entries see refusals at the same
// rate, they come to equal limits, and refusals stay rare.
//
// A limit below 1 means one request at a time with pauses between: 0.25 is one
// service time in four. It is an immutable value.
type Concurrency struct {
	Limit   float64      // places
	Ceiling float64      // places that slots and connections allow
	Until   clock.Millis // end of the pause
	Guest   bool         // of another failure domain, whose own entries come first
	calm    int          // answers since the last refusal
}

// NewConcurrency returns a limit that starts at a share of the ceiling.
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
	return float64(inFlight)+1 <= max(c.Limit, 1) && now >= c.Until
}

// Answered returns the limit after an answer, given the requests in flight
// with the answered one and the usual latency in milliseconds. It grows only
// while one more request would not have been allowed.
func (c Concurrency) Answered(inFlight int, now clock.Millis, usual, eager float64) Concurrency {
	c.calm++
	if float64(inFlight)+1 > c.Limit {
		step := growth * eager
		if c.Guest && c.calm < calmAnswers {
			step *= guestGrowth
		}
		c = c.withLimit(c.Limit + step)
	}
	return c.pause(now, usual, 0)
}

// Refused returns the limit after a guard's refusal.
func (c Concurrency) Refused(now clock.Millis, usual float64) Concurrency {
	c.calm = 0
	keep := decrease
	if c.Guest {
		keep = guestDecrease
	}
	return c.withLimit(c.Limit*keep).pause(now, usual, refusalPause)
}

// pause sets the time between requests under a limit below 1, at least a share
// of the usual latency.
func (c Concurrency) pause(now clock.Millis, usual, least float64) Concurrency {
	c.Until = now + clock.Millis(usual*max(1/c.Limit-1, least))
	return c
}
