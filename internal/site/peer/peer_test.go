package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/owner"
)

// startPeer runs a server that answers Ping and Submit until the test ends, and
// returns its address.
func startPeer(t *testing.T, security Security) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(security, Handlers{
		Ping: func(_ context.Context, query PingQuery) PingAnswer {
			return PingAnswer{Epoch: 4, Peers: []Entry{{Address: query.Address, Cores: query.Cores}}}
		},
		Submit: func(_ context.Context, query SubmitQuery) owner.Verdict {
			return owner.Verdict{Ruling: owner.Refused, Reason: string(query.Spec.ID)}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	group := new(errgroup.Group)
	group.Go(func() error { return server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait() // ends with the context's error
	})
	return listener.Addr().String()
}

func TestPingAndSubmit(t *testing.T) {
	address := startPeer(t, Security{Token: "a-token"})
	client := NewClient(Security{Token: "a-token"})
	defer client.Close()
	pong, err := client.Ping(context.Background(), address, PingQuery{Address: "x", Cores: 0.4})
	if diff := cmp.Diff(PingAnswer{Epoch: 4, Peers: []Entry{{Address: "x", Cores: 0.4}}}, pong); err != nil || diff != "" {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
	verdict, err := client.Submit(context.Background(), address, SubmitQuery{Spec: job.Spec{ID: "5c"}})
	if diff := cmp.Diff(owner.Verdict{Ruling: owner.Refused, Reason: "5c"}, verdict); err != nil || diff != "" {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
}

func TestCallWithWrongTokenIsRefused(t *testing.T) {
	address := startPeer(t, Security{Token: "a-token"})
	for _, token := range []string{"", "another"} {
		client := NewClient(Security{Token: token})
		_, err := client.Ping(context.Background(), address, PingQuery{})
		if err == nil || !fault.OutcomeOf(err).DidNotRun() {
			t.Errorf("token %q: error %v, want a refusal", token, err)
		}
		client.Close()
	}
}

// A peer that accepts connections and never reads must not block a call, or the
// calls queued behind it, beyond their timeouts.
func TestCallTimesOutWhilePeerNeverReads(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client := NewClient(Security{})
	defer client.Close()
	largeQuery := SubmitQuery{Spec: job.Spec{Text: strings.Repeat("x", maxFrameBytes)}}
	group := new(errgroup.Group)
	for range 3 {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, err := client.Submit(ctx, listener.Addr().String(), largeQuery)
			return err
		})
	}
	if err := group.Wait(); fault.OutcomeOf(err) != fault.Unknown {
		t.Errorf("error %v, want an unknown outcome", err)
	}
}

func TestFrameAboveTheLimit(t *testing.T) {
	frame := binary.AppendUvarint(nil, maxFrameBytes+1)
	var target any
	if err := (boundedCodec{}).ReadObject(bufio.NewReader(bytes.NewReader(frame)), &target); err == nil {
		t.Error("a frame above maxFrameBytes was read")
	}
}
