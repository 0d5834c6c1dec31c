package choice

import "github.com/oriolepier/oriolepier/internal/base/clock"

// Health tells whether a server is ejected for its failures. It is an
// immutable value; the zero value is a healthy server.
//
//	healthy ──failures──> ejected ──time──> on trial ──answer──> healthy, warm-up
//	                         ^                  │
//	                         └─────failure──────┘ twice as long
type Health struct {
	Failures int // in a row
	Refusals int // by the guard, without an answer between them
	Ejected  bool
	Until    clock.Millis // end of the ejection; one trial request is sent after it
	Period   clock.Millis
	Reached  bool // by a probe, since Until
}

// Failed returns the health after an attempt without an answer.
func (health Health) Failed(now clock.Millis, mayEject bool) Health {
	health.Failures++
	if health.Ejected || (mayEject && health.Failures >= failuresToEject) {
		return health.eject(now)
	}
	return health
}

// Refused returns the health after a guard's refusal. Full servers answer now
// and then; one that only refuses takes part in nothing.
func (health Health) Refused(now clock.Millis, mayEject bool) Health {
	health.Refusals++
	if health.Ejected || (mayEject && health.Refusals >= refusalsToEject) {
		return health.eject(now)
	}
	return health
}

func (health Health) eject(now clock.Millis) Health {
	health.Ejected = true
	health.Reached = false
	health.Period = min(max(health.Period*2, firstEjection), maxEjection)
	health.Until = now + health.Period
	return health
}

// Due reports whether the server should be probed.
func (health Health) Due(now clock.Millis) bool {
	return health.Ejected && !health.Reached && now >= health.Until
}

// Probed returns the health after a probe. An answer to a trial request, not
// a probe, ends the ejection.
func (health Health) Probed(now clock.Millis, reached bool) Health {
	if !health.Ejected {
		return health
	}
	if !reached {
		return health.eject(now)
	}
	health.Reached = true
	return health
}

// Allows reports whether a request may be sent. A server on trial gets one at
// a time, preferably one that can be repeated.
func (health Health) Allows(inFlight int, query Query) bool {
	if !health.Ejected {
		return true
	}
	if !health.Reached || query.Now < health.Until || inFlight > 0 {
		return false
	}
	return query.Repeatable || query.Now >= health.Until+patience
}
