// Package console is the operators' listener of an entry: readiness, a dump of
// all state that decisions used, and counters.
//
// Everything but readiness needs the shared token as a bearer token.
//
// # Usage
//
//	handler := console.New(console.Options{Token: token, Dump: node.Dump, Ready: node.Ready, Vars: vars})
//	server := &http.Server{Handler: handler}
package console

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/base/problem"
)

// dumpWithin bounds the wait for the control thread.
const dumpWithin clock.Millis = 5 * clock.Second

// Readiness is what a balancer asks for.
type Readiness struct {
	Ready         bool   `json:"ready"`
	Reason        string `json:"reason,omitempty"`
	ConfigVersion int64  `json:"config_version"`
}

// Options of the listener.
type Options struct {
	Token string // empty: no authentication; settings allow that on loopback only
	Dump  func(ctx context.Context) (any, error)
	Ready func() Readiness
	Vars  *expvar.Map
}

// New returns the listener's handler.
func New(options Options) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/ready", ReadyHandler(options.Ready))
	mux.Handle("GET /v1/dump", guard(options.Token, dumpHandler(options.Dump)))
	mux.Handle("GET /debug/vars", guard(options.Token, varsHandler(options.Vars)))
	mux.Handle("GET /debug/pprof/", guard(options.Token, http.HandlerFunc(pprof.Index)))
	mux.Handle("GET /debug/pprof/profile", guard(options.Token, http.HandlerFunc(pprof.Profile)))
	return mux
}

// ReadyHandler answers 200 or 503 with a Readiness. The callers' listener
// serves it too, for balancers that reach only that.
func ReadyHandler(ready func() Readiness) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		state := ready()
		w.Header().Set("Content-Type", "application/json")
		if !state.Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_ = json.NewEncoder(w).Encode(state) // the asker may be gone
	}
}

func guard(token string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
			problem.Write(w, problem.Problem{
				Status:  http.StatusUnauthorized,
				Outcome: fault.NotRun,
				Step:    "authenticate",
				Detail:  "this listener needs the shared token as a bearer token",
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func dumpHandler(dump func(context.Context) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), dumpWithin.Duration())
		defer cancel()
		state, err := dump(ctx)
		if err != nil {
			problem.Write(w, problem.Problem{
				Status:  http.StatusServiceUnavailable,
				Outcome: fault.NotRun,
				Step:    "dump",
				Detail:  err.Error(),
			})
			return
		}
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(state) // the asker may be gone
	}
}

// varsHandler writes this entry's counters, then those of the whole process.
func varsHandler(own *expvar.Map) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		vars := map[string]json.RawMessage{"entry": json.RawMessage(own.String())}
		expvar.Do(func(pair expvar.KeyValue) {
			vars[pair.Key] = json.RawMessage(pair.Value.String())
		})
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(vars) // the asker may be gone
	}
}
