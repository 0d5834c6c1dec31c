package balance

import "github.com/oriolepier/oriolepier/internal/base/clock"

// Health says whether a server is ejected for its failures. It is an
// immutable value; the zero value is a healthy server.
//
//	healthy ──failures──> ejected ──probe──> on trial ──answer──> healthy, warm-up
//	                         ^                  │
//	                         └──────────────────┘ failure, refusal or failed probe: twice as long
type Health struct {
	Failures     int          // attempts without an answer since the last answer
	Refusals     int          // by the server's guard, since the last answer
	Ejected      bool         // gets no requests but those of a trial
	BlockedUntil clock.Millis // end of the ejection period; a probe and one trial request at a time follow
	Period       clock.Millis // length of the last ejection
	Reached      bool         // by a probe since BlockedUntil
}

// Failed returns the health after an attempt without an answer.
func (health Health) Failed(now clock.Millis, mayEject bool) Health {
	health.Failures++
	if health.Ejected || (mayEject && health.Failures >= failuresToEject) {
		return health.eject(now)
	}
	return health
}

// Refused returns the health after a refusal by the server's guard. A server
// at capacity answers now and then; one that only refuses is ejected.
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
	health.Period = min(max(health.Period*2, minEjection), maxEjection)
	health.BlockedUntil = now + health.Period
	return health
}

// ProbeDue reports whether the server should be probed.
func (health Health) ProbeDue(now clock.Millis) bool {
	return health.Ejected && !health.Reached && now >= health.BlockedUntil
}

// Probed returns the health after a probe. A successful probe starts the
// trial; only an answer to a trial request ends the ejection.
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
// a time, and only a repeatable one until repeatableOnlyTime has passed.
func (health Health) Allows(inFlight int, query Query) bool {
	if !health.Ejected {
		return true
	}
	if !health.Reached || query.Now < health.BlockedUntil || inFlight > 0 {
		return false
	}
	return query.Repeatable || query.Now >= health.BlockedUntil+repeatableOnlyTime
}
