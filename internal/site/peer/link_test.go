package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/site/linkshard"
)

// startServer runs a server until the test ends and returns its address.
func startServer(t *testing.T, handlers Handlers) string {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	group := new(errgroup.Group)
	group.Go(func() error { return NewServer(Security{Token: "a-token"}, handlers).Serve(ctx, tcp) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait() // ends with the context's error
	})
	return tcp.Addr().String()
}

// openLink opens a link session and returns its connection and the batches received
// on it.
func openLink(t *testing.T, address string) (linkshard.Connection, <-chan []byte, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	batches := make(chan []byte, 1)
	connection, err := NewClient(Security{Token: "a-token"}).OpenLink(ctx, linkshard.Entry{Address: address},
		linkshard.OpenRequest{Epoch: 7, Owner: "entry-1"}, func(batch []byte) { batches <- batch })
	return connection, batches, err
}

// A link session carries batches in both directions, and closing it on the owner's
// side ends it on the link's side.
func TestLinkSession(t *testing.T) {
	ended := make(chan struct{})
	var gotQuery linkshard.OpenRequest
	address := startServer(t, Handlers{OpenLink: func(ctx context.Context, query linkshard.OpenRequest, line linkshard.ServerConn) error {
		defer close(ended)
		gotQuery = query
		line.Open(linkshard.OpenReply{Stamp: 42})
		for {
			select {
			case batch := <-line.In:
				if err := line.Send(batch); err != nil {
					return err
				}
			case <-ctx.Done():
				return nil
			}
		}
	}})
	connection, batches, err := openLink(t, address)
	if err != nil {
		t.Fatal(err)
	}
	if err := connection.Send([]byte("orders")); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("orders", string(<-batches)); diff != "" || connection.OpenReply.Stamp != 42 {
		t.Errorf("opening %v, batch (-want +got):\n%s", connection.OpenReply, diff)
	}
	connection.Close()
	<-ended
	if diff := cmp.Diff(linkshard.OpenRequest{Epoch: 7, Owner: "entry-1"}, gotQuery); diff != "" {
		t.Errorf("query (-want +got):\n%s", diff)
	}
}

func TestLinkRefusesSession(t *testing.T) {
	address := startServer(t, Handlers{OpenLink: func(_ context.Context, _ linkshard.OpenRequest, line linkshard.ServerConn) error {
		line.Open(linkshard.OpenReply{Refused: "a newer owner is known"})
		return linkshard.ErrSuperseded
	}})
	connection, _, err := openLink(t, address)
	if err != nil {
		t.Fatal(err)
	}
	<-connection.Done
	if connection.OpenReply.Refused == "" {
		t.Error("Opening.Refused is empty, want the reason of the refusal")
	}
}

// An entry of a version without links refuses the session and still answers other
// calls.
func TestLinkToEntryWithoutLinks(t *testing.T) {
	address := startServer(t, Handlers{Ping: func(context.Context, PingQuery) PingAnswer { return PingAnswer{Epoch: 4} }})
	if _, _, err := openLink(t, address); err == nil {
		t.Error("a session was opened at an entry without a Link handler")
	}
	client := NewClient(Security{Token: "a-token"})
	defer client.Close()
	if answer, err := client.Ping(context.Background(), address, PingQuery{}); err != nil || answer.Epoch != 4 {
		t.Errorf("answer %v, error %v after the refused session", answer, err)
	}
}
