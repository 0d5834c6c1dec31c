// Package secret holds an entry's certificate and whom it trusts.
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

// Keys are the entry's keys; nil means plain TCP.
type Keys struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files; without any it returns nil, which stands for plain TCP.
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
		return nil, fault.Newf(fault.NotRun, "load authorities", files.CA, "holds no certificate")
	}
	return &Keys{certificate: certificate, authorities: authorities}, nil
}

// Server is for callers and operators.
func (s *Keys) Server() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		NextProtos:   []string{"http/1.1"},
	}
}

// Mutual is for peers, who must show a certificate of the same authorities.
func (s *Keys) Mutual() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    s.authorities,
	}
}

// Client is for calls to peers, which are known by address: the certificate is
// checked against the authorities and the address.
func (s *Keys) Client() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		RootCAs:      s.authorities,
	}
}
