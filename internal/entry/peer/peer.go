// Package peer carries messages between entries: JSON-RPC 2.0 over TCP or TLS.
//
// The messages make things faster or keep a cut-off failure domain going:
// heartbeats, the newest configuration, the status of a job that another entry
// follows. Nothing that must be true depends on one arriving.
//
// A connection starts with "hello", which carries the shared token; the server
// closes connections that begin otherwise.
//
// # Usage
//
//	server := peer.NewServer(peer.Options{Token: token, Handlers: handlers})
//	err := server.Serve(ctx, listener)
//
//	client := peer.NewClient(peer.Options{Token: token})
//	var answer member.Beat
//	err := client.Call(ctx, "10.0.0.7:7402", peer.Heartbeat, beat, &answer)
package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/entry/member"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
)

// Methods of the protocol.
const (
	hello     = "hello"
	Heartbeat = "heartbeat" // member.Beat -> member.Beat
	Config    = "config"    // ConfigQuery -> ConfigAnswer
	Status    = "status"    // StatusQuery -> StatusAnswer
	Fleet     = "fleet"     // struct{} -> FleetAnswer
)

// Bounds of the protocol.
const (
	maxFrameBytes                = 32 << 20 // a whole configuration at 43,000 routes fits
	maxConnections               = 256      // inbound
	helloTimeout    clock.Millis = 2 * clock.Second
	dialTimeout     clock.Millis = 1 * clock.Second
	keepAlivePeriod clock.Millis = 5 * clock.Second
)

// Call sends a query to the entry at an address and waits for its answer; see
// [Client.Call].
type Call func(ctx context.Context, address, method string, query, answer any) error

// Credentials opens a connection.
type Credentials struct {
	Token string `json:"token"`
	Name  string `json:"name"`
}

// ConfigQuery asks for a configuration newer than the one at hand.
type ConfigQuery struct {
	Have int64 `json:"have"`
}

// ConfigAnswer carries the records of a snapshot of the config stream; there
// are none when the peer has nothing newer.
type ConfigAnswer struct {
	Version int64    `json:"version"`
	Records [][]byte `json:"records,omitempty"`
}

// StatusQuery asks for a job.
type StatusQuery struct {
	ID string `json:"id"`
}

// StatusAnswer tells of a job, when the peer follows its home cell.
type StatusAnswer struct {
	Follows bool       `json:"follows"`
	Known   bool       `json:"known"`
	Status  job.Status `json:"status"`
}

// FleetAnswer is the newest VM list that the peer has read, for entries that
// start while the platform cannot be reached. It is empty when it has none.
type FleetAnswer struct {
	VMs []inventory.VM `json:"vms"`
}

// Handlers answer the methods. Each is called on a goroutine of its connection.
type Handlers struct {
	Heartbeat func(beat member.Beat) (member.Beat, error)
	Config    func(query ConfigQuery) (ConfigAnswer, error)
	Status    func(query StatusQuery) (StatusAnswer, error)
	Fleet     func(query struct{}) (FleetAnswer, error)
}

// Options of both sides.
type Options struct {
	Name     string      // of this entry
	Token    string      // shared by all entries of the deployment
	TLS      *tls.Config // nil for plain TCP
	Handlers Handlers    // server only
}

// quiet keeps the library's lines about broken connections off stderr; callers
// get them as errors.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

func decode[T any](params *json.RawMessage) (T, error) {
	var value T
	if params == nil {
		return value, nil
	}
	err := json.Unmarshal(*params, &value)
	return value, err
}
