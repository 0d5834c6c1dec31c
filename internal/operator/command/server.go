package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/base/problem"
	"github.com/oriolepier/oriolepier/internal/operator/option"
)

const maxAnswerBytes = 64 << 20 // a dump of a large entry

// server is the HTTP interface of an entry.
type server struct {
	base    string
	token   string
	timeout clock.Millis
	client  *http.Client
}

func newServer(opts option.Server) (*server, error) {
	peer := &server{base: strings.TrimSuffix(opts.Entry, "/"), timeout: opts.TimeoutMS, client: &http.Client{}}
	if opts.CA == "" {
		return peer, nil
	}
	data, err := os.ReadFile(opts.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read certificates")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("no certificate in %s", opts.CA)
	}
	peer.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}}
	return peer, nil
}

// Sends one request and decodes the answer into target, if that is not nil. A
// refusal is returned as *problem.Problem, any other failure as *fault.Fault.
func (peer *server) call(ctx context.Context, method, path string, body, target any) error {
	ctx, stop := context.WithTimeout(ctx, peer.timeout.Duration())
	defer stop()
	data, err := peer.exchange(ctx, method, path, body)
	if err != nil || target == nil {
		return err
	}
	if err := json.Unmarshal(data, target); err != nil {
		return fault.New(fault.Answered, "decode", peer.base, err)
	}
	return nil
}

func (peer *server) exchange(ctx context.Context, method, path string, body any) ([]byte, error) {
	request, err := peer.request(ctx, method, path, body)
	if err != nil {
		return nil, fault.New(fault.NotSent, "request", peer.base, err)
	}
	answer, err := peer.client.Do(request)
	if err != nil {
		return nil, fault.New(fault.Unknown, "call", peer.base, err)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, fault.New(fault.Unknown, "read answer", peer.base, err)
	}
	if len(data) > maxAnswerBytes {
		return nil, fault.Newf(fault.Unknown, "read answer", peer.base, "answer has more than %d bytes", maxAnswerBytes)
	}
	if answer.StatusCode < http.StatusMultipleChoices {
		return data, nil
	}
	return nil, refusal(peer.base, answer, data)
}

func (peer *server) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		payload = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, peer.base+path, payload)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept", "application/json")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if peer.token != "" {
		request.Header.Set("Authorization", "Bearer "+peer.token)
	}
	return request, nil
}

// An answer that is not a typed refusal says nothing about what ran.
func refusal(peer string, answer *http.Response, data []byte) error {
	var typed problem.Problem
	if err := json.Unmarshal(data, &typed); err == nil && typed.Outcome != "" {
		return &typed
	}
	return fault.Newf(fault.Unknown, "call", peer, "answered %s", answer.Status)
}
