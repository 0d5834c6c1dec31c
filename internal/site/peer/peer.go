// Package peer carries messages between entries: JSON-RPC 2.0 over TCP.
//
// An entry forwards what callers ask to the owner, and asks the owner for signs
// of life. Connections are kept; one that fails a call is thrown away.
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
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
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
	methodLink    = "link"    // opens a link's session on this connection
	methodOrders  = "orders"  // a batch for a link; a notification
	methodResults = "results" // a batch from a link; a notification
)

// Limits of connections.
const (
	dialTimeout    clock.Millis = 500
	maxConnections              = 512
	maxFrameBytes               = 2 << 20 // a submission of the largest size fits
)

// Security protects connections between entries.
type Security struct {
	Token  string      // shared by all entries; empty: none is asked for
	Server *tls.Config // nil: plain TCP
	Client *tls.Config
}

// credentials open a connection.
type credentials struct {
	Token string `json:"token"`
}

// PingQuery asks an entry whether it owns the cell.
type PingQuery struct {
	Name    string  `json:"name"`    // of the asking entry
	Address string  `json:"address"` // at which it answers peers
	Cores   float64 `json:"cores"`   // processor cores that it may use
	Domain  string  `json:"domain"`  // its failure domain
	Links   bool    `json:"links"`   // it serves as a link, and is not leaving
	Known   uint64  `json:"known"`   // PeersHash of the list of entries that it has; 0: none
}

// Entry is another entry, as far as an owner needs to know it.
type Entry struct {
	Address string  `json:"address"` // at which it answers peers
	Cores   float64 `json:"cores"`   // processor cores that it may use
	Domain  string  `json:"domain"`  // its failure domain
	Links   bool    `json:"links"`   // it serves as a link, and is not leaving
}

// PingAnswer is a sign of life.
type PingAnswer struct {
	Owner      bool         `json:"owner"`
	Epoch      int64        `json:"epoch"`
	Cores      float64      `json:"cores"`        // processor cores of the answering entry
	StoreAge   clock.Millis `json:"store_age_ms"` // since the store last confirmed something to the owner
	Peers      []Entry      `json:"peers"`        // entries that asked recently; left out where the query names their hash
	PeersHash  uint64       `json:"peers_hash"`   // of that list; 0 from an older version
	ReadyToAct bool         `json:"ready"`        // its state is loaded
	TablesEnd  int64        `json:"tables_end"`   // how far it has read the operators' topic
}

// HeardQuery asks an entry when it last heard the owner.
type HeardQuery struct {
	Epoch int64 `json:"epoch"`
}

// HeardAnswer tells how old the last sign of life of that owner is. It is
// negative when there was none.
type HeardAnswer struct {
	Age clock.Millis `json:"age_ms"`
}

// SubmitQuery hands a job in.
type SubmitQuery struct {
	Spec job.Spec `json:"spec"`
}

// JobQuery names a job.
type JobQuery struct {
	ID job.ID `json:"id"`
}

// QueueQuery names a queue.
type QueueQuery struct {
	Queue string `json:"queue"`
}

// TablesAnswer is what an entry knows of the operators' topic.
type TablesAnswer struct {
	End     int64            `json:"end"`
	Records []journal.Record `json:"records"`
}

// WaitingAnswer counts the jobs of a queue that have not begun.
type WaitingAnswer struct {
	Ruling owner.Ruling `json:"ruling"`
	Count  int          `json:"count"`
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
