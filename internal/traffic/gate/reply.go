package gate

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/problem"
	"github.com/oriolepier/oriolepier/internal/traffic/backend"
	"github.com/oriolepier/oriolepier/internal/traffic/dispatch"
)

// refuse gives a caller a refusal as its whole answer.
func (gate *Gate) refuse(w http.ResponseWriter, req *request, refusal *problem.Problem) {
	refusal.RequestID = req.id
	w.Header().Set(backend.RequestID, req.id)
	gate.counts.refused(refusal)
	if req.tally != nil {
		req.tally.vars.refused.Add(1)
	}
	problem.Write(w, *refusal)
}

// reply gives a caller the backend server's answer. When a long one breaks in
// the middle, the caller's connection is aborted: it must not look whole.
func (gate *Gate) reply(w http.ResponseWriter, req *request, got *delivery) {
	header := w.Header()
	copyFields(header, got.Header)
	delete(header, backend.Outcome) // only the entry's own refusals carry it to callers
	header[backend.RequestID] = []string{req.id}
	switch {
	case req.method == http.MethodHead:
		if got.Length >= 0 {
			header["Content-Length"] = []string{strconv.FormatInt(got.Length, 10)}
		}
	case got.Rest == nil && bodyAllowed(got.Status):
		header["Content-Length"] = []string{strconv.Itoa(len(got.Body))}
	case got.Rest != nil && got.Length >= 0:
		header["Content-Length"] = []string{strconv.FormatInt(got.Length, 10)}
	}
	w.WriteHeader(got.Status)
	if !gate.copyBody(w, got, req.deadline-gate.options.Clock.Now()) {
		gate.counts.cut.Add(1)
		panic(http.ErrAbortHandler)
	}
	gate.counts.answered.Add(1)
	req.tally.vars.answered.Add(1)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyBody reports whether the whole body was read and taken.
func (gate *Gate) copyBody(w http.ResponseWriter, got *delivery, left clock.Millis) bool {
	if _, err := w.Write(got.Body); err != nil && len(got.Body) > 0 {
		got.release(dispatch.Abandoned)
		return false
	}
	if got.Rest == nil {
		return true
	}
	// A caller that stops reading must not hold the place for ever.
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(left.Duration())) // not every writer has one
	if _, err := io.Copy(w, got.Rest); err != nil {
		got.release(dispatch.Abandoned)
		return false
	}
	_ = control.SetWriteDeadline(time.Time{})
	got.release(dispatch.Answered)
	return true
}
