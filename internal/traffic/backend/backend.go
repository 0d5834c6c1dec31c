// Package backend defines the HTTP header fields that entries and backend servers
// exchange.
//
// The guard is the backend server's admission check: it refuses a request with
// status 503 and outcome not_run before the request runs.
//
// # Usage
//
//	request.Header.Set(backend.RequestID, id)
//	if backend.Refused(answer) { ... } // the guard guarantees that the request did not run
package backend

import "net/http"

// Header fields. Callers may send the first three to entries.
const (
	// RequestID identifies a request; the answer must carry the same value.
	RequestID = "Oriolepier-Request-Id"
	// Repeatable is "yes" or "no"; when absent, the route's setting holds.
	Repeatable = "Oriolepier-Repeatable"
	// DeadlineMS is the time left for an answer, in milliseconds.
	DeadlineMS = "Oriolepier-Deadline-Ms"
	// Outcome is set on refusals: "not_run" guarantees that the request did not run.
	Outcome = "Oriolepier-Outcome"
	// NotRun is the value of Outcome on a guard's refusal.
	NotRun = "not_run"
)

// Refused reports whether an answer is a guard's refusal: status 503 and the
// outcome "not_run".
func Refused(answer *http.Response) bool { return IsGuardRefusal(answer.StatusCode, answer.Header) }

// IsGuardRefusal is Refused for an answer's status and header.
func IsGuardRefusal(status int, header http.Header) bool {
	return status == http.StatusServiceUnavailable && header.Get(Outcome) == NotRun
}
