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

// A request that is in flight when an entry exits gets an answer, not a closed
// connection.
func TestServeUntilAnswersOpenRequestsOnShutdown(t *testing.T) {
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
		_ = serveUntil(ctx, listener, handler, abortMargin+50*time.Millisecond) // returns the context's error
		return nil
	})
	group.Go(func() error {
		<-arrived
		stop()
		return nil
	})
	answer, err := http.Get("http://" + listener.Addr().String())
	if err != nil {
		t.Fatalf("no answer to a request in flight at shutdown: %v", err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", answer.StatusCode)
	}
	_ = group.Wait() // no goroutine returns an error
}

func TestShutdownPlanStaysWithinGrace(t *testing.T) {
	for _, grace := range []clock.Millis{0, 3000, 6000, 30000} {
		d := &Daemon{settings: platform.Settings{Bounds: platform.Bounds{Grace: grace}}}
		plan := d.shutdownPlan()
		if grace == 0 {
			grace = defaultGrace
		}
		if plan.notice+plan.serving >= grace.Duration() {
			t.Errorf("grace %d ms: notice %v plus serving %v, want less", grace, plan.notice, plan.serving)
		}
	}
}
