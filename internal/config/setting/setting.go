// Package setting reads the settings file of an entry: who it is, where it
// listens, which other entries there are and where the platform is.
//
// # Usage
//
//	entry, findings, err := setting.Load("entry.json")
//
// The file is in JSON with comments. All addresses are IP numbers: entries use
// no name service.
package setting

import (
	"net/netip"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Entry is the settings of one entry.
type Entry struct {
	Name          string       `json:"name"`           // of this entry VM
	FailureDomain string       `json:"failure_domain"` // of this entry VM
	Listen        Listen       `json:"listen"`
	Peers         []Peer       `json:"peers"` // all entries of the deployment, this one may be among them
	Platform      Platform     `json:"platform"`
	LogLevel      string       `json:"log_level"`
	NoticeMS      clock.Millis `json:"notice_ms"`  // how long the balancer needs to see that this entry leaves
	Token         string       `json:"token"`      // shared by operators and entries
	TokenFile     string       `json:"token_file"` // file with the token, relative to the settings file
	TLS           *TLS         `json:"tls"`
}

// Listen is the addresses that an entry listens at, each ip:port.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Peer is another entry.
type Peer struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	Address       string `json:"address"` // ip:port of its peer listener
}

// Platform is where the platform's services answer.
type Platform struct {
	Store string `json:"store"` // ip:port of the log store
}

// TLS is files in PEM, relative to the settings file. CA is whom to trust when
// calling other entries.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// WithToken returns the settings with another token.
func (entry Entry) WithToken(token string) Entry {
	entry.Token = token
	return entry
}

// Loopback reports whether an ip:port can be reached from this VM only.
func Loopback(address string) bool {
	place, err := netip.ParseAddrPort(address)
	return err == nil && place.Addr().IsLoopback()
}
