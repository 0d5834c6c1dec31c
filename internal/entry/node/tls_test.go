package node

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/config/setting"
	"github.com/oriolepier/oriolepier/internal/entry/member"
	"github.com/oriolepier/oriolepier/internal/entry/peer"
)

// issue writes a certificate for an IP address, signed by an authority of its
// own, and returns the files.
func issue(t *testing.T, address string) *setting.TLS {
	t.Helper()
	dir := t.TempDir()
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	authorityKey := newKey(t)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "entry"}, IPAddresses: []net.IP{net.ParseIP(address)},
		NotBefore: authority.NotBefore, NotAfter: authority.NotAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	leafKey := newKey(t)
	keyBytes, err := x509.MarshalPKCS8PrivateKey(leafKey)
	if err != nil {
		t.Fatal(err)
	}
	return &setting.TLS{
		Cert: write(t, dir, "entry.crt", "CERTIFICATE", sign(t, leaf, authority, &leafKey.PublicKey, authorityKey)),
		Key:  write(t, dir, "entry.key", "PRIVATE KEY", keyBytes),
		CA:   write(t, dir, "ca.crt", "CERTIFICATE", sign(t, authority, authority, &authorityKey.PublicKey, authorityKey)),
	}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func sign(t *testing.T, what, by *x509.Certificate, public *ecdsa.PublicKey, key *ecdsa.PrivateKey) []byte {
	data, err := x509.CreateCertificate(rand.Reader, what, by, public, key)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func write(t *testing.T, dir, name, kind string, data []byte) string {
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Peers must show a certificate of the same authority that names the address
// they are called at.
func TestPeersAuthenticateEachOther(t *testing.T) {
	files, foreign, elsewhere := issue(t, "127.0.0.1"), issue(t, "127.0.0.1"), issue(t, "127.0.0.9")
	own, err := loadTLS(files)
	if err != nil {
		t.Fatal(err)
	}
	other, err := loadTLS(foreign)
	if err != nil {
		t.Fatal(err)
	}
	misnamed, err := loadTLS(elsewhere)
	if err != nil {
		t.Fatal(err)
	}
	bare := own.client()
	bare.Certificates = nil
	cases := []struct {
		name   string
		server *tls.Config
		client *tls.Config
		admits bool
	}{
		{"same authority", own.mutual(), own.client(), true},
		{"plain client", own.mutual(), nil, false},
		{"client without a certificate", own.mutual(), bare, false},
		{"client of another authority", own.mutual(), other.client(), false},
		{"server of another authority", other.mutual(), own.client(), false},
		{"server with the certificate of another address", misnamed.mutual(), misnamed.client(), false},
	}
	for _, at := range cases {
		t.Run(at.name, func(t *testing.T) {
			if diff := cmp.Diff(at.admits, callPeer(t, at.server, at.client)); diff != "" {
				t.Errorf("admitted (-want +got):\n%s", diff)
			}
		})
	}
}

func callPeer(t *testing.T, server, client *tls.Config) bool {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serving := peer.NewServer(peer.Options{Name: "server", Token: "secret", TLS: server, Handlers: peer.Handlers{
		Heartbeat: func(beat member.Beat) (member.Beat, error) { return beat, nil },
	}})
	ctx, cancel := context.WithTimeout(t.Context(), longWait)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return serving.Serve(ctx, listener) })
	calling := peer.NewClient(peer.Options{Name: "client", Token: "secret", TLS: client})
	var answer member.Beat
	err = calling.Call(ctx, listener.Addr().String(), peer.Heartbeat, member.Beat{Name: "client"}, &answer)
	calling.Close()
	cancel()
	_ = group.Wait()
	return err == nil && answer.Name == "client"
}

func TestUnreadableKeysAreClearErrors(t *testing.T) {
	files := *issue(t, "127.0.0.1")
	files.CA = files.Key // holds no certificate
	_, err := loadTLS(&files)
	if diff := cmp.Diff("load authorities", fault.StepOf(err)); diff != "" {
		t.Error(diff)
	}
	files.Cert += ".absent"
	_, err = loadTLS(&files)
	if diff := cmp.Diff("load certificate", fault.StepOf(err)); diff != "" {
		t.Error(diff)
	}
}
