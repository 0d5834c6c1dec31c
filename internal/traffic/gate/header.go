package gate

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/traffic/backend"
)

// hopByHop are the fields that belong to one connection (RFC 9110, 7.6.1), and
// those that the entry settles itself.
var hopByHop = map[string]bool{
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

// forward returns the header that goes to a backend server with the time that
// is left for the answer.
func forward(from http.Header, id string, left clock.Millis) http.Header {
	to := make(http.Header, len(from)+3)
	copyFields(to, from)
	settled := [2]string{id, strconv.FormatInt(int64(max(left, 1)), 10)}
	to[backend.RequestID] = settled[0:1:1]
	to[backend.DeadlineMS] = settled[1:2:2]
	delete(to, backend.Outcome)
	if _, ok := to["User-Agent"]; !ok {
		to["User-Agent"] = nil // or the library sends its own
	}
	return to
}

// copyFields copies all but the hop-by-hop fields. The values are shared.
func copyFields(to, from http.Header) {
	named := connectionFields(from)
	for name, values := range from {
		if hopByHop[name] || named[name] {
			continue
		}
		to[name] = values
	}
}

// connectionFields returns the fields that Connection names.
func connectionFields(header http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if named == nil {
				named = map[string]bool{}
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
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
