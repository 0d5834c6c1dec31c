// Package peer carries messages between entries: JSON-RPC 2.0 over TCP.
//
// An entry forwards callers' requests to the owner and sends the owner periodic
// pings. Connections are reused; a connection is closed when a call on
// it gets no answer.
//
// # Usage
//
//	server := peer.NewServer(security, peer.Handlers{Ping: answerPing, Submit: submit})
//	err := server.Serve(ctx, listener)
//
//	client := peer.NewClient(security)
//	pong, err := client.Ping(ctx, "10.1.0.13:7720", peer.PingQuery{Name: name})
package peer

import (
	"crypto/tls"
	"encoding/json"
	"io"
	"log"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
)

// Methods of the protocol.
const (
	methodHello   = "hello"
	methodPing    = "ping"
	methodHeard   = "heard"
	methodSubmit  = "submit"
	methodCancel  = "cancel"
	methodLookup  = "lookup"
	methodWaiting = "waiting"
	methodTables  = "tables"
	methodLink    = "link"    // opens a link session on this connection
	methodOrders  = "orders"  // notification: a batch of orders to a link
	methodResults = "results" // notification: a batch of results from a link
)

// Limits of connections and frames.
const (
	dialTimeout    clock.Millis = 500
	maxConnections              = 512     // further connections are closed at once
	maxFrameBytes               = 2 << 20 // fits a submission of the largest size
)

// Security configures authentication and TLS between entries.
type Security struct {
	Token  string      // shared by all entries; if empty, connections are not authenticated
	Server *tls.Config // of the peer server; nil: plain TCP
	Client *tls.Config // of calls to peers; nil: plain TCP
}

// credentials are the parameter of the hello call, the first on a connection.
type credentials struct {
	Token string `json:"token"`
}

// PingQuery queries whether an entry owns the cell, and describes the sender.
type PingQuery struct {
	Name           string  `json:"name"`        // name of the sender
	Incarnation    string  `json:"incarnation"` // unique for each process of the sender; empty from an older version
	Address        string  `json:"address"`     // listen address for peers
	Epoch          int64   `json:"epoch"`       // epoch whose owner it pings; 0 from an older version
	Cores          float64 `json:"cores"`       // processor cores available to it
	Domain         string  `json:"domain"`      // failure domain
	Links          bool    `json:"links"`       // serves as a link and is not leaving
	KnownPeersHash uint64  `json:"known"`       // PeersHash of the sender's list of entries; 0 if it has none
}

// Entry describes another entry to an owner.
type Entry struct {
	Address string  `json:"address"` // listen address for peers
	Cores   float64 `json:"cores"`   // processor cores available to it
	Domain  string  `json:"domain"`  // failure domain
	Links   bool    `json:"links"`   // serves as a link and is not leaving
}

// PingAnswer is the state of the answering entry.
type PingAnswer struct {
	Owner       bool         `json:"owner"`
	Epoch       int64        `json:"epoch"`
	Cores       float64      `json:"cores"`        // processor cores of the answering entry
	StoreAge    clock.Millis `json:"store_age_ms"` // since the newest append that the store has confirmed was sent
	Peers       []Entry      `json:"peers"`        // entries that sent a ping recently; omitted if the query has the hash of this list
	PeersHash   uint64       `json:"peers_hash"`   // hash of the list of entries; 0 from an older version
	StateLoaded bool         `json:"ready"`        // the owner has loaded its state
	TablesEnd   int64        `json:"tables_end"`   // offset up to which the entry has read the operators' topic
	// ProofAge is how long ago TablesEnd was proven to be the end of that topic; nil from
	// an entry without a proof, or of an older version.
	ProofAge *clock.Millis `json:"proof_age_ms,omitempty"`
}

// OwnerContactQuery queries how long ago the owner of an epoch last answered a ping
// of the queried entry.
type OwnerContactQuery struct {
	Epoch int64 `json:"epoch"`
}

// OwnerContactAnswer holds the time since that owner last answered a ping of the
// entry; negative if it has answered none.
type OwnerContactAnswer struct {
	Age clock.Millis `json:"age_ms"`
}

// SubmitQuery submits a job.
type SubmitQuery struct {
	Spec job.Spec     `json:"spec"`
	Held clock.Millis `json:"held_ms"` // how long the sender has held the job; 0 from an older version
}

// QueueQuery names a queue.
type QueueQuery struct {
	Queue string `json:"queue"`
}

// WaitingAnswer holds the number of jobs of a queue that have not begun.
type WaitingAnswer struct {
	Ruling owner.Ruling `json:"ruling"`
	Count  int          `json:"count"`
}

// discardLog suppresses the library's log lines about broken connections on stderr;
// callers get these failures as errors.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

func decode[T any](params *json.RawMessage) (T, error) {
	var value T
	if params == nil {
		return value, nil
	}
	err := json.Unmarshal(*params, &value)
	return value, err
}
