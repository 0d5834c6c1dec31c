package daemon

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/platform"
)

// A request that is still open when an entry has to end gets an answer, not a
// closed connection.
func TestOpenRequestsAreAnsweredBeforeTheEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	arrived := make(chan struct{})
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		close(arrived)
		<-request.Context().Done()
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
	ctx, stop := context.WithCancel(context.Background())
	group := new(errgroup.Group)
	group.Go(func() error {
		_ = serveUntil(ctx, listener, handler, lastWord+50*time.Millisecond) // it ends with the context
		return nil
	})
	group.Go(func() error {
		<-arrived
		stop()
		return nil
	})
	answer, err := http.Get("http://" + listener.Addr().String())
	if err != nil {
		t.Fatalf("an open request got no answer: %v", err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", answer.StatusCode)
	}
	_ = group.Wait() // no goroutine returns an error
}

func TestLeavingFitsIntoTheGrace(t *testing.T) {
	for _, grace := range []clock.Millis{0, 3000, 6000, 30000} {
		d := &Daemon{settings: platform.Settings{Bounds: platform.Bounds{Grace: grace}}}
		plan := d.departure()
		if grace == 0 {
			grace = usualGrace
		}
		if plan.notice+plan.serving >= grace.Duration() {
			t.Errorf("grace %d ms: %v and %v do not fit", grace, plan.notice, plan.serving)
		}
	}
}
