package command

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/oriolepier/oriolepier/internal/config/setting"
)

// Prints the state of an entry.
func (ses *session) dump(ctx context.Context) int {
	opts := ses.opts.Dump
	peer, err := newServer(opts.Server)
	if err != nil {
		return ses.fail(err)
	}
	peer.token = opts.Token
	if opts.TokenFile != "" {
		if peer.token, err = setting.ReadToken(opts.TokenFile); err != nil {
			return ses.fail(err)
		}
	}
	var state json.RawMessage
	if err := peer.call(ctx, http.MethodGet, "/v1/dump", nil, &state); err != nil {
		return ses.fail(err)
	}
	return ses.print(state)
}
