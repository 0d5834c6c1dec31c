// Package backend is what the system and a backend server say to each other in
// HTTP headers.
//
// # Usage
//
//	request.Header.Set(backend.RequestID, id)
//	if backend.Refused(answer) { ... } // the guard promises that nothing ran
package backend

import "net/http"

// Headers. The first three go from callers to entries too.
const (
	// RequestID names a request; the answer must carry the same value.
	RequestID = "Oriolepier-Request-Id"
	// Repeatable is "yes" or "no"; absent, the route decides.
	Repeatable = "Oriolepier-Repeatable"
	// DeadlineMS is the time left for an answer, in milliseconds.
	DeadlineMS = "Oriolepier-Deadline-Ms"
	// Outcome is on refusals: "not_run" promises that the work did not run.
	Outcome = "Oriolepier-Outcome"
	// NotRun is the value of Outcome on a guard's refusal.
	NotRun = "not_run"
)

// Refused reports whether an answer is a guard's refusal: status 503 and the
// outcome "not_run".
func Refused(answer *http.Response) bool { return RefusedBy(answer.StatusCode, answer.Header) }

// RefusedBy is Refused for an answer's status and header.
func RefusedBy(status int, header http.Header) bool {
	return status == http.StatusServiceUnavailable && header.Get(Outcome) == NotRun
}
