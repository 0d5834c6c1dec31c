// Package secret loads an entry's TLS certificate and the certificate
// authorities of its peers.
//
// # Usage
//
//	keys, err := secret.Load(settings.TLS) // nil: plain TCP
//	listener = tls.NewListener(listener, keys.Server())
package secret

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/config/setting"
)

// Keys holds the entry's certificate and authorities; nil means plain TCP.
type Keys struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Load reads the PEM files. Without a TLS setting it returns nil, which means
// plain TCP.
func Load(files *setting.TLS) (*Keys, error) {
	if files == nil {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fault.New(fault.NotRun, "load certificate", files.Cert, err)
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fault.New(fault.NotRun, "load authorities", files.CA, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, fault.Newf(fault.NotRun, "load authorities", files.CA, "no PEM certificate found in the file")
	}
	return &Keys{certificate: certificate, authorities: authorities}, nil
}

// Server returns the configuration of the servers for callers and operators.
func (k *Keys) Server() *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.certificate},
		NextProtos:   []string{"http/1.1"},
	}
}

// PeerServer returns the configuration of the peer server. Its clients must present
// a certificate of the same authorities.
func (k *Keys) PeerServer() *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    k.authorities,
	}
}

// Client returns the configuration of calls to peers. A peer's certificate is
// checked against the authorities and the peer's address.
func (k *Keys) Client() *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.certificate},
		RootCAs:      k.authorities,
	}
}
