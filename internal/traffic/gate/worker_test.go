package gate_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/traffic/backend"
)

// behaviour answers one request that a worker has read, or has not, on a raw
// connection. It reports whether the connection is kept.
type behaviour func(worker *worker, conn net.Conn, req *http.Request) bool

// worker is a scripted backend server that counts the work it ran.
type worker struct {
	address string
	ran     atomic.Int64
	taken   chan struct{} // gets a value for each request that was read
	over    chan struct{} // closed at the end of the test
}

func startWorker(tb testing.TB, behave behaviour) *worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	worker := &worker{address: listener.Addr().String(), taken: make(chan struct{}, 1000), over: make(chan struct{})}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // the test is over
			}
			group.Go(func() error {
				worker.serve(conn, behave)
				return nil
			})
		}
	})
	tb.Cleanup(func() {
		close(worker.over)
		_ = listener.Close()
		_ = group.Wait()
	})
	return worker
}

func (worker *worker) serve(conn net.Conn, behave behaviour) {
	defer func() { _ = conn.Close() }()
	stop := make(chan struct{})
	defer close(stop)
	var group errgroup.Group
	group.Go(func() error {
		select {
		case <-worker.over:
			return conn.Close()
		case <-stop:
			return nil
		}
	})
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		worker.taken <- struct{}{}
		if !behave(worker, conn, req) {
			return
		}
	}
}

// answers writes a raw answer; %s stands for the request's id.
func answers(runs, keep bool, format string) behaviour {
	return func(worker *worker, conn net.Conn, req *http.Request) bool {
		if runs {
			worker.ran.Add(1)
		}
		text := strings.ReplaceAll(format, "%s", backend.RequestID+": "+req.Header.Get(backend.RequestID))
		_, err := io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
		return err == nil && keep
	}
}

// hangs runs the work and never answers.
func hangs(worker *worker, _ net.Conn, _ *http.Request) bool {
	worker.ran.Add(1)
	<-worker.over
	return false
}

var (
	sound    = answers(true, true, "HTTP/1.1 200 OK\n%s\nContent-Length: 5\n\nwhole")
	refuses  = answers(false, true, "HTTP/1.1 503 Busy\n%s\nOriolepier-Outcome: not_run\nContent-Length: 0\n\n")
	drops    = answers(true, false, "")
	longBody = strings.Repeat("0123456789abcdef", 40<<10) // above what the gate buffers
)

// behaviours of the matrix, by the step at which they bring about a fault.
var behaviours = []struct {
	step, fault string
	behave      behaviour
}{
	{"send", "none", sound},
	{"wait", "drops after reading", drops},
	{"wait", "hangs", hangs},
	{"wait", "speaks no HTTP", answers(true, false, "dogs\n\n")},
	{"wait", "cut in the header", answers(true, false, "HTTP/1.1 200 OK\n%s\nContent-Le")},
	{"wait", "refuses", refuses},
	{"wait", "refuses without the id", answers(true, true, "HTTP/1.1 503 Busy\nOriolepier-Outcome: not_run\nContent-Length: 0\n\n")},
	{"wait", "fails without promise", answers(true, true, "HTTP/1.1 503 Busy\n%s\nContent-Length: 0\n\n")},
	{"wait", "switches protocols", answers(true, false, "HTTP/1.1 101 Switching Protocols\n%s\nUpgrade: x\nConnection: Upgrade\n\n")},
	{"read_answer", "wrong id", answers(true, true, "HTTP/1.1 200 OK\nOriolepier-Request-Id: another\nContent-Length: 5\n\nwhole")},
	{"read_answer", "two ids", answers(true, true, "HTTP/1.1 200 OK\n%s\n%s\nContent-Length: 5\n\nwhole")},
	{"read_answer", "no id", answers(true, true, "HTTP/1.1 200 OK\nContent-Length: 5\n\nwhole")},
	{"read_answer", "short body", answers(true, false, "HTTP/1.1 200 OK\n%s\nContent-Length: 9\n\nwhole")},
	{"read_answer", "cut in a chunk", answers(true, false, "HTTP/1.1 200 OK\n%s\nTransfer-Encoding: chunked\n\n9\nwhole")},
	{"read_answer", "no last chunk", answers(true, false, "HTTP/1.1 200 OK\n%s\nTransfer-Encoding: chunked\n\n5\nwhole\n")},
	{"read_answer", "no length, closed", answers(true, false, "HTTP/1.1 200 OK\n%s\n\nwhole")},
	{"read_answer", "more than its length", answers(true, true, "HTTP/1.1 200 OK\n%s\nContent-Length: 5\n\nwhole and more")},
	{"read_answer", "above the route's limit", answers(true, true, "HTTP/1.1 200 OK\n%s\nContent-Length: 99000000\n\nwhole")},
	{"read_answer", "too many fields", answers(true, true, "HTTP/1.1 200 OK\n%s\n"+manyFields()+"Content-Length: 5\n\nwhole")},
	{"answer", "long, whole", answers(true, true, fmt.Sprintf("HTTP/1.1 200 OK\n%%s\nContent-Length: %d\n\n%s", len(longBody), longBody))},
	{"answer", "long, cut", answers(true, false, fmt.Sprintf("HTTP/1.1 200 OK\n%%s\nContent-Length: %d\n\n%s", len(longBody)+1, longBody))},
	{"answer", "long, cut in a chunk", answers(true, false, fmt.Sprintf("HTTP/1.1 200 OK\n%%s\nTransfer-Encoding: chunked\n\n%x\n%s", len(longBody)+1, longBody))},
}

func manyFields() string {
	var text strings.Builder
	for i := range 200 {
		_, _ = fmt.Fprintf(&text, "X-%d: 1\n", i)
	}
	return text.String()
}
