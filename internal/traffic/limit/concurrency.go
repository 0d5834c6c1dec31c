package limit

import "github.com/oriolepier/oriolepier/internal/base/clock"

const (
	minConcurrency    = 1.0              // a worker is never given up by its limit alone; ejection does that
	increase          = 1.0              // places won per limit's worth of answers while the limit was in use
	decrease          = 0.75             // share kept after a refusal
	minPause          = clock.Millis(2)  // first pause after a refusal; a slot frees within a few ms
	maxPause          = clock.Millis(64) // longer pauses leave freed slots idle
	decreaseSpacingMS = clock.Millis(20) // refusals closer together are one event
)

// Concurrency is how many requests one entry keeps in flight at one backend
// server. Its slots are shared by all entries, none of which sees the others:
// the limit grows while answers come at the limit and shrinks at a guard's
// refusal. It is an immutable value.
type Concurrency struct {
	Limit    float64 // places; at least 1
	Ceiling  float64 // places that slots and connections allow
	Pause    clock.Millis
	Until    clock.Millis // no request before this time, after a refusal
	shrunkAt clock.Millis
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
	c.Limit = min(max(limit, minConcurrency), max(c.Ceiling, minConcurrency))
	return c
}

// Allows reports whether one more request may be sent.
func (c Concurrency) Allows(inFlight int, now clock.Millis) bool {
	return float64(inFlight)+1 <= c.Limit && now >= c.Until
}

// Answered returns the limit after an answer, given the requests in flight
// with the answered one.
func (c Concurrency) Answered(inFlight int) Concurrency {
	c.Pause = 0
	if float64(inFlight)+1 <= c.Limit {
		return c
	}
	return c.withLimit(c.Limit + increase/c.Limit)
}

// Refused returns the limit after a guard's refusal.
func (c Concurrency) Refused(now clock.Millis) Concurrency {
	c.Pause = min(max(c.Pause*2, minPause), maxPause)
	c.Until = now + c.Pause
	if now-c.shrunkAt < decreaseSpacingMS {
		return c
	}
	c.shrunkAt = now
	return c.withLimit(c.Limit * decrease)
}
