package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/config/setting"
)

// security is the entry's keys; nil means plain TCP.
type security struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

func loadTLS(files *setting.TLS) (*security, error) {
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
	return &security{certificate: certificate, authorities: authorities}, nil
}

// server is for callers and operators.
func (s *security) server() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		NextProtos:   []string{"http/1.1"},
	}
}

// mutual is for peers, who must show a certificate of the same authorities.
func (s *security) mutual() *tls.Config {
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

// client is for calls to peers, which are known by address: the certificate is
// checked against the authorities and the address.
func (s *security) client() *tls.Config {
	if s == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{s.certificate},
		RootCAs:      s.authorities,
	}
}
