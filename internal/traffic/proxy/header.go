package proxy

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/backend"
)

// notForwarded are the hop-by-hop fields (RFC 9110, 7.6.1) and those that the
// entry sets itself.
var notForwarded = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Content-Length":      true,
}

// forwardedHeader returns the header to send to a backend server; remaining is
// the time left for the answer.
func forwardedHeader(from http.Header, id string, remaining clock.Millis) http.Header {
	to := make(http.Header, len(from)+3)
	copyEndToEnd(to, from)
	entryValues := [2]string{id, strconv.FormatInt(int64(max(remaining, 1)), 10)}
	to[backend.RequestID] = entryValues[0:1:1]
	to[backend.DeadlineMS] = entryValues[1:2:2]
	delete(to, backend.Outcome)
	if _, ok := to["User-Agent"]; !ok {
		to["User-Agent"] = nil // keeps net/http from sending its own
	}
	return to
}

// copyEndToEnd copies the fields that may be forwarded. The value slices are
// shared.
func copyEndToEnd(to, from http.Header) {
	listed := connectionFields(from)
	for name, values := range from {
		if notForwarded[name] || listed[name] {
			continue
		}
		to[name] = values
	}
}

// connectionFields returns the fields that the Connection header lists.
func connectionFields(header http.Header) map[string]bool {
	var listed map[string]bool
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if listed == nil {
				listed = map[string]bool{}
			}
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}

func headerBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}
