// Package setting reads the settings file of an entry: its name and failure
// domain, its listen addresses, the other entries and the platform's addresses.
//
// # Usage
//
//	entry, findings, err := setting.Load("entry.json")
//
// The file is JSON with comments. All addresses are numeric IPs, because entries
// do not use DNS.
package setting

import (
	"net/netip"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Entry is the settings of one entry.
type Entry struct {
	Name          string       `json:"name"`           // name of this entry's VM
	FailureDomain string       `json:"failure_domain"` // failure domain of this entry's VM
	Listen        Listen       `json:"listen"`
	Peers         []Peer       `json:"peers"` // all entries of the deployment; may include this one
	Platform      Platform     `json:"platform"`
	LogLevel      string       `json:"log_level"`
	NoticeMS      clock.Millis `json:"notice_ms"`  // time the load balancer needs to detect that this entry is shutting down
	Token         string       `json:"token"`      // shared by operators and entries
	TokenFile     string       `json:"token_file"` // file that holds the token, relative to the settings file
	TLS           *TLS         `json:"tls"`
	Limits        *Limits      `json:"limits"` // nil: defaults
}

// Listen holds the addresses that an entry listens on, each ip:port.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Peer is an entry of the deployment.
type Peer struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"` // ip:port of its peer listener
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Store string `json:"store"` // ip:port of the log store
}

// TLS names PEM files, relative to the settings file. CA holds the certificate
// authorities that verify other entries.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// Limits are the resources of the process, and the bounds of its callers. 0: the
// default, which package budget assumes or derives from the resources.
type Limits struct {
	MemoryMB          int   `json:"memory_mb"`
	FileDescriptors   int   `json:"file_descriptors"`
	CallerConnections int   `json:"caller_connections"`      // at a time
	CallerBodyBytes   int64 `json:"caller_body_bytes"`       // memory for bodies at a time
	CallerBodyRate    int64 `json:"caller_body_bytes_per_s"` // a body that arrives more slowly is ended
}

// WithToken returns a copy of the settings with the given token.
func (entry Entry) WithToken(token string) Entry {
	entry.Token = token
	return entry
}

// Loopback reports whether an ip:port can be reached from this VM only.
func Loopback(address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && addrPort.Addr().IsLoopback()
}
