// Package access decides which calls an entry accepts: by the key that a call carries,
// the customers of the manifest, and the age of the proof that no newer manifest exists.
//
// An entry's trust in its manifest is a lease. With strict revocation, an entry whose
// proof is too old refuses calls that need a key, since theirs may have been removed.
//
// # Usage
//
//	guard := access.New(options)
//	view := guard.View(clk.Now()) // after the header of the call was read
//	decision := guard.Check(view, queue, request.Header)
//	if decision.Outcome.Refused() { ... }
package access

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// Outcome is the decision on a call.
type Outcome uint8

// The decisions on a call.
const (
	Open         Outcome = iota // the manifest lists no customers
	Public                      // the route needs no key
	Allowed                     // the key identifies a customer
	Unauthorized                // no key, or one that identifies nobody
	Stale                       // the proof is too old to decide
	outcomes     = iota
)

// String names the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"open", "public", "allowed", "unauthorized", "stale"}[o]
}

// Refused reports whether the call is refused.
func (o Outcome) Refused() bool { return o == Unauthorized || o == Stale }

// Decision is the decision on a call.
type Decision struct {
	Outcome  Outcome
	Customer string // whose call it is; empty: nobody's
	// Unproven is set on a public route if the call has a key and the proof is too old
	// to tell whose it is. The call then counts as nobody's.
	Unproven bool
}

// marginDivisor gives the margin of the bounds in Rules, as a divisor of the time for
// revocations: for the rounding of clocks, and for callers that measure less exactly.
const marginDivisor = 10

// pollDivisor gives the longest wait of a poll of the tables (package tables), as a
// divisor of the time for revocations. In contact with the store, a proof is at most two
// waits old; up to that age, a key can be refused as unknown.
const pollDivisor = 5

// Rules are the bounds on the age of a proof.
type Rules struct {
	Strict     bool         // whether the age counts
	MaxAge     clock.Millis // beyond it, no key is accepted
	MaxMissAge clock.Millis // beyond it, an unknown key is not refused as unknown: it may be new
}

// NewRules returns the rules for the time within which a removed key must stop working,
// and the time by which a published manifest must be in force (0: unlimited).
func NewRules(strict bool, revoke, configApply clock.Millis) Rules {
	margin, contactAge := revoke/marginDivisor, 2*revoke/pollDivisor
	rules := Rules{Strict: strict, MaxAge: revoke - margin, MaxMissAge: revoke - margin}
	if configApply > 0 {
		rules.MaxMissAge = min(rules.MaxMissAge, max(configApply-margin, contactAge))
	}
	return rules
}

// Call holds what the decision on a call depends on.
type Call struct {
	Public   bool         // the route needs no key
	Secret   string       // secret of its key; empty: it has none
	ProofAge clock.Millis // age of the proof for the manifest
}

// Decide decides on a call.
func (r Rules) Decide(tables manifest.Manifest, call Call) Decision {
	if !tables.HasCustomers() {
		return Decision{Outcome: Open}
	}
	stale := r.Strict && call.ProofAge > r.MaxAge
	if call.Public && stale {
		return Decision{Outcome: Public, Unproven: call.Secret != ""}
	}
	customer, known := tables.Identify(call.Secret)
	switch {
	case call.Public:
		return Decision{Outcome: Public, Customer: customer}
	case stale, !known && r.Strict && call.ProofAge > r.MaxMissAge:
		return Decision{Outcome: Stale}
	case !known:
		return Decision{Outcome: Unauthorized}
	}
	return Decision{Outcome: Allowed, Customer: customer}
}

// Options configures a Guard.
type Options struct {
	Rules    Rules
	Clock    clock.Clock
	Logger   zerolog.Logger
	Metrics  *metrics.Set
	Manifest func() manifest.Manifest
	// ProvenAt returns the time up to which a manifest that is read later is proven
	// to be the newest; 0: unknown.
	ProvenAt func() clock.Millis
}

// Guard decides on calls by the newest manifest. It is safe for concurrent use.
type Guard struct {
	options  Options
	calls    [outcomes]*metrics.Counter // nil for Open
	stale    atomic.Bool                // the last call of Observe found the proof too old
	loggedAt atomic.Int64               // time of the last log line about an unauthorized call
}

// New returns a Guard. It registers its metrics.
func New(options Options) *Guard {
	g := &Guard{options: options}
	for outcome := Public; outcome < outcomes; outcome++ {
		g.calls[outcome] = options.Metrics.NewCounter(`oriolepier_access_calls_total{outcome="` + outcome.String() + `"}`)
	}
	options.Metrics.NewGauge("oriolepier_tables_proof_age_seconds", func() float64 {
		return float64(g.ProofAge()) / float64(clock.Second)
	})
	return g
}

// View is what an entry knows of the manifest at the time of a call.
type View struct {
	Manifest manifest.Manifest
	proofAge clock.Millis // large if there is no proof, as clocks start at an hour
}

// View returns what is known at a time that was read after the header of the call. The
// proof is read before the manifest, which therefore contains what the proof covers.
func (g *Guard) View(now clock.Millis) View {
	provenAt := g.options.ProvenAt()
	return View{Manifest: g.options.Manifest(), proofAge: now - provenAt}
}

// Check decides on a call to a queue.
func (g *Guard) Check(view View, queue manifest.Queue, header http.Header) Decision {
	if !view.Manifest.HasCustomers() {
		return Decision{Outcome: Open}
	}
	decision := g.decide(view, queue, header)
	g.calls[decision.Outcome].Inc()
	if decision.Outcome == Unauthorized {
		g.logUnauthorized(view, queue, header)
	}
	return decision
}

// Recheck decides again on a call that Check has accepted, such as one whose body took
// long to arrive. It counts refused calls only.
func (g *Guard) Recheck(view View, queue manifest.Queue, header http.Header) Decision {
	decision := g.decide(view, queue, header)
	if decision.Outcome.Refused() {
		g.calls[decision.Outcome].Inc()
	}
	return decision
}

func (g *Guard) decide(view View, queue manifest.Queue, header http.Header) Decision {
	return g.options.Rules.Decide(view.Manifest, Call{Public: queue.Public, Secret: bearerSecret(header), ProofAge: view.proofAge})
}

// bearerScheme is the authentication scheme of keys. Its case does not matter.
const bearerScheme = "Bearer "

// bearerSecret returns the secret of the call's key, or "" if the header does not have
// exactly one.
func bearerSecret(header http.Header) string {
	values := header["Authorization"]
	if len(values) != 1 || len(values[0]) <= len(bearerScheme) || !strings.EqualFold(values[0][:len(bearerScheme)], bearerScheme) {
		return ""
	}
	return strings.TrimSpace(values[0][len(bearerScheme):])
}

// unauthorizedLinePeriod is the least time between two lines about unauthorized calls.
const unauthorizedLinePeriod = clock.Second

// logUnauthorized logs an unauthorized call, unless it did so recently.
func (g *Guard) logUnauthorized(view View, queue manifest.Queue, header http.Header) {
	now, last := int64(g.options.Clock.Now()), g.loggedAt.Load()
	if now-last < int64(unauthorizedLinePeriod) || !g.loggedAt.CompareAndSwap(last, now) {
		return
	}
	g.options.Logger.Info().Str("event", "call_unauthorized").Str("queue", queue.Name).
		Bool("key_presented", bearerSecret(header) != "").Int64("manifest", view.Manifest.Version).
		Int64("proof_age_ms", int64(view.proofAge)).Uint64("calls", g.calls[Unauthorized].Get()).Send()
}

// ProofAge returns the age of the proof; negative if there is none.
func (g *Guard) ProofAge() clock.Millis {
	provenAt := g.options.ProvenAt()
	if provenAt == 0 {
		return -1
	}
	return max(g.options.Clock.Now()-provenAt, 0)
}

// Bound returns the age of a proof beyond which calls that need a key are refused; 0:
// none.
func (g *Guard) Bound() clock.Millis {
	if !g.options.Rules.Strict {
		return 0
	}
	return g.options.Rules.MaxAge
}

// Observe logs when the proof has become too old, and when it is recent again. Call it
// periodically.
func (g *Guard) Observe() {
	if !g.options.Rules.Strict || !g.options.Manifest().HasCustomers() {
		return
	}
	age := g.ProofAge()
	stale := age < 0 || age > g.options.Rules.MaxAge
	if g.stale.Swap(stale) == stale {
		return
	}
	event, level := "tables_trusted", zerolog.InfoLevel
	if stale {
		event, level = "tables_distrusted", zerolog.WarnLevel
	}
	g.options.Logger.WithLevel(level).Str("event", event).Int64("proof_age_ms", int64(age)).
		Int64("bound_ms", int64(g.options.Rules.MaxAge)).Uint64("stale_calls", g.calls[Stale].Get()).Send()
}
