package proxy

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

// writeRefusal answers a caller with a refusal.
func (proxy *Proxy) writeRefusal(w http.ResponseWriter, req *request, refusal *problem.Problem) {
	refusal.RequestID = req.id
	w.Header().Set(backend.RequestID, req.id)
	proxy.counters.refused(refusal)
	if req.routeState != nil {
		req.routeState.vars.refused.Add(1)
	}
	problem.Write(w, *refusal)
}

// writeAnswer sends a caller the backend server's answer. When a long answer
// breaks off, the caller's connection is aborted, so that it does not look complete.
func (proxy *Proxy) writeAnswer(w http.ResponseWriter, req *request, held *heldAnswer) {
	header := w.Header()
	copyEndToEnd(header, held.Header)
	delete(header, backend.Outcome) // only the entry's own refusals carry it to callers
	header[backend.RequestID] = []string{req.id}
	switch {
	case req.method == http.MethodHead:
		if held.Length >= 0 {
			header["Content-Length"] = []string{strconv.FormatInt(held.Length, 10)}
		}
	case held.Remainder == nil && bodyAllowed(held.Status):
		header["Content-Length"] = []string{strconv.Itoa(len(held.Body))}
	case held.Remainder != nil && held.Length >= 0:
		header["Content-Length"] = []string{strconv.FormatInt(held.Length, 10)}
	}
	w.WriteHeader(held.Status)
	if !proxy.copyBody(w, held, req.deadline-proxy.options.Clock.Now()) {
		proxy.counters.truncated.Add(1)
		panic(http.ErrAbortHandler)
	}
	proxy.counters.answered.Add(1)
	req.routeState.vars.answered.Add(1)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyBody reports whether the whole body was read and written to the caller.
func (proxy *Proxy) copyBody(w http.ResponseWriter, held *heldAnswer, remaining clock.Millis) bool {
	if _, err := w.Write(held.Body); err != nil && len(held.Body) > 0 {
		held.release(dispatch.Abandoned)
		return false
	}
	if held.Remainder == nil {
		return true
	}
	// A caller that stops reading must not occupy the slot for ever.
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(remaining.Duration())) // not every writer supports deadlines
	if _, err := io.Copy(w, held.Remainder); err != nil {
		held.release(dispatch.Abandoned)
		return false
	}
	_ = control.SetWriteDeadline(time.Time{})
	held.release(dispatch.Answered)
	return true
}
