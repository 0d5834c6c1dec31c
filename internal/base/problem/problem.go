// Package problem defines the body of the proxy's error responses to callers, as
// application/problem+json (RFC 9457) with additional members.
//
// # Usage
//
//	problem.Write(w, problem.Problem{Status: 503, Outcome: fault.NotRun, Step: "admit"})
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
)

// Problem is an error response. The outcomes "not_run" and "not_sent" both
// guarantee that the work did not run; callers receive "not_run" for either.
type Problem struct {
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail,omitempty"`
	Outcome    fault.Outcome `json:"outcome"`
	Step       string        `json:"step"`
	Peer       string        `json:"peer,omitempty"`
	RequestID  string        `json:"request_id,omitempty"`
	RetryAfter clock.Millis  `json:"retry_after_ms,omitempty"` // 0 if retrying soon would not help
}

// Error implements error, so that API handlers can return a Problem.
func (p *Problem) Error() string { return p.Step + ": " + p.Detail }

// GetStatus returns the HTTP status, for the API library.
func (p *Problem) GetStatus() int { return p.Status }

// ContentType returns the media type, for the API library.
func (p *Problem) ContentType(string) string { return "application/problem+json" }

// Write sends the problem as a complete response.
func Write(w http.ResponseWriter, p Problem) {
	if p.Outcome == fault.NotSent {
		p.Outcome = fault.NotRun
	}
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	body, err := json.Marshal(p)
	if err != nil {
		http.Error(w, p.Title, p.Status)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Oriolepier-Outcome", string(p.Outcome))
	if p.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(int64((p.RetryAfter+clock.Second-1)/clock.Second), 10))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body) // the caller may have disconnected
}
