package witness

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Body returns the only right answer to a request: size bytes, at least those
// of the id and a newline, all of them made from the id.
func Body(id string, size int) []byte {
	var body strings.Builder
	body.WriteString(id + "\n")
	for at := uint64(0); body.Len() < size; at++ {
		body.WriteString(strconv.FormatUint(xxhash.Sum64String(id+strconv.FormatUint(at, 10)), 16))
	}
	return []byte(body.String()[:max(size, len(id)+1)])
}
