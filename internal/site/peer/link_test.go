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

// serveLinks starts a server and returns its address.
func serveLinks(t *testing.T, handlers Handlers) string {
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
		_ = group.Wait() // the context's own end
	})
	return tcp.Addr().String()
}

// open opens a session and returns it with the batches that arrive.
func open(t *testing.T, address string) (linkshard.Connection, <-chan []byte, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	arrived := make(chan []byte, 1)
	connection, err := NewClient(Security{Token: "a-token"}).Link(ctx, linkshard.Entry{Address: address},
		linkshard.Query{Epoch: 7, Owner: "entry-1"}, func(batch []byte) { arrived <- batch })
	return connection, arrived, err
}

// A session is opened by a query, carries batches both ways, and its end on one
// side is seen on the other.
func TestLinkSession(t *testing.T) {
	ended := make(chan struct{})
	var asked linkshard.Query
	address := serveLinks(t, Handlers{Link: func(ctx context.Context, query linkshard.Query, line linkshard.Line) error {
		defer close(ended)
		asked = query
		line.Open(linkshard.Opening{Stamp: 42})
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
	connection, arrived, err := open(t, address)
	if err != nil {
		t.Fatal(err)
	}
	if err := connection.Send([]byte("orders")); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("orders", string(<-arrived)); diff != "" || connection.Opening.Stamp != 42 {
		t.Errorf("opening %v, batch (-want +got):\n%s", connection.Opening, diff)
	}
	connection.Close()
	<-ended
	if diff := cmp.Diff(linkshard.Query{Epoch: 7, Owner: "entry-1"}, asked); diff != "" {
		t.Errorf("query (-want +got):\n%s", diff)
	}
}

func TestLinkThatEndsTheSession(t *testing.T) {
	address := serveLinks(t, Handlers{Link: func(_ context.Context, _ linkshard.Query, line linkshard.Line) error {
		line.Open(linkshard.Opening{Refused: "a newer owner is known"})
		return linkshard.ErrSuperseded
	}})
	connection, _, err := open(t, address)
	if err != nil {
		t.Fatal(err)
	}
	<-connection.Done
	if connection.Opening.Refused == "" {
		t.Error("the reason of the refusal is missing")
	}
}

// An entry of a version without links refuses the session and serves on.
func TestEntryWithoutLinks(t *testing.T) {
	address := serveLinks(t, Handlers{Ping: func(context.Context, PingQuery) PingAnswer { return PingAnswer{Epoch: 4} }})
	if _, _, err := open(t, address); err == nil {
		t.Error("a session was opened at an entry that is no link")
	}
	client := NewClient(Security{Token: "a-token"})
	defer client.Close()
	if answer, err := client.Ping(context.Background(), address, PingQuery{}); err != nil || answer.Epoch != 4 {
		t.Errorf("answer %v, error %v after the refused session", answer, err)
	}
}
