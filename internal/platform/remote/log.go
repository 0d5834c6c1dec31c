package remote

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// Appended is the answer to an append.
type Appended struct {
	Offset stream.Offset `json:"offset"`
}

// NewLog returns a client of the log at a base URL. A nil client gets defaults.
func NewLog(baseURL string, client *http.Client) stream.Log {
	caller := newCaller(client)
	base := strings.TrimSuffix(baseURL, "/") + "/streams/"
	return stream.Log{
		Append: func(ctx context.Context, name string, data []byte) (stream.Offset, error) {
			var answer Appended
			err := caller.do(ctx, call{
				step: "append", peer: name, method: http.MethodPost, url: base + url.PathEscape(name),
				body: data, media: "application/octet-stream", answer: &answer,
			})
			return answer.Offset, err
		},
		Read: func(ctx context.Context, name string, from stream.Offset, limit int) (stream.Page, error) {
			query := url.Values{
				"from":  {strconv.FormatInt(int64(from), 10)},
				"limit": {strconv.Itoa(limit)},
			}
			var page stream.Page
			err := caller.get(ctx, "read", name, base+url.PathEscape(name)+"?"+query.Encode(), &page)
			return page, err
		},
	}
}
