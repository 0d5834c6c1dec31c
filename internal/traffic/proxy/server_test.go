package proxy_test

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

// serverScript handles one request that a scripted server has read, on the raw
// connection. It reports whether the connection stays open.
type serverScript func(server *server, conn net.Conn, req *http.Request) bool

// server is a backend server that counts the requests it ran.
type server struct {
	address  string
	runs     atomic.Int64
	received chan struct{} // gets a value for each request that was read
	testDone chan struct{} // closed at the end of the test
}

func startScriptedServer(tb testing.TB, script serverScript) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	server := &server{address: listener.Addr().String(), received: make(chan struct{}, 1000), testDone: make(chan struct{})}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil //nolint:nilerr // the test is over
			}
			group.Go(func() error {
				server.serve(conn, script)
				return nil
			})
		}
	})
	tb.Cleanup(func() {
		close(server.testDone)
		_ = listener.Close()
		_ = group.Wait()
	})
	return server
}

func (server *server) serve(conn net.Conn, script serverScript) {
	defer func() { _ = conn.Close() }()
	stop := make(chan struct{})
	defer close(stop)
	var group errgroup.Group
	group.Go(func() error {
		select {
		case <-server.testDone:
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
		server.received <- struct{}{}
		if !script(server, conn, req) {
			return
		}
	}
}

// respond returns a script that writes a raw answer; each %s in format becomes
// the header field with the request's id.
func respond(executes, keepAlive bool, format string) serverScript {
	return func(server *server, conn net.Conn, req *http.Request) bool {
		if executes {
			server.runs.Add(1)
		}
		text := strings.ReplaceAll(format, "%s", backend.RequestID+": "+req.Header.Get(backend.RequestID))
		_, err := io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
		return err == nil && keepAlive
	}
}

// hangs runs the request and never answers.
func hangs(server *server, _ net.Conn, _ *http.Request) bool {
	server.runs.Add(1)
	<-server.testDone
	return false
}

var (
	succeeds = respond(true, true, "HTTP/1.1 200 OK\n%s\nContent-Length: 5\n\nwhole")
	refuses  = respond(false, true, "HTTP/1.1 503 Busy\n%s\nOriolepier-Outcome: not_run\nContent-Length: 0\n\n")
	drops    = respond(true, false, "")
	longBody = strings.Repeat("0123456789abcdef", 40<<10) // above what the proxy buffers
)

// serverFaults are the faults of backend servers, by the step at which they occur.
var serverFaults = []struct {
	step, fault string
	script      serverScript
}{
	{"send", "none", succeeds},
	{"wait", "drops after reading", drops},
	{"wait", "hangs", hangs},
	{"wait", "speaks no HTTP", respond(true, false, "dogs\n\n")},
	{"wait", "cut in the header", respond(true, false, "HTTP/1.1 200 OK\n%s\nContent-Le")},
	{"wait", "refuses", refuses},
	{"wait", "refuses without the id", respond(true, true, "HTTP/1.1 503 Busy\nOriolepier-Outcome: not_run\nContent-Length: 0\n\n")},
	{"wait", "fails without promise", respond(true, true, "HTTP/1.1 503 Busy\n%s\nContent-Length: 0\n\n")},
	{"wait", "switches protocols", respond(true, false, "HTTP/1.1 101 Switching Protocols\n%s\nUpgrade: x\nConnection: Upgrade\n\n")},
	{"read_answer", "wrong id", respond(true, true, "HTTP/1.1 200 OK\nOriolepier-Request-Id: another\nContent-Length: 5\n\nwhole")},
	{"read_answer", "two ids", respond(true, true, "HTTP/1.1 200 OK\n%s\n%s\nContent-Length: 5\n\nwhole")},
	{"read_answer", "no id", respond(true, true, "HTTP/1.1 200 OK\nContent-Length: 5\n\nwhole")},
	{"read_answer", "short body", respond(true, false, "HTTP/1.1 200 OK\n%s\nContent-Length: 9\n\nwhole")},
	{"read_answer", "cut in a chunk", respond(true, false, "HTTP/1.1 200 OK\n%s\nTransfer-Encoding: chunked\n\n9\nwhole")},
	{"read_answer", "no last chunk", respond(true, false, "HTTP/1.1 200 OK\n%s\nTransfer-Encoding: chunked\n\n5\nwhole\n")},
	{"read_answer", "no length, closed", respond(true, false, "HTTP/1.1 200 OK\n%s\n\nwhole")},
	{"read_answer", "more than its length", respond(true, true, "HTTP/1.1 200 OK\n%s\nContent-Length: 5\n\nwhole and more")},
	{"read_answer", "above the route's limit", respond(true, true, "HTTP/1.1 200 OK\n%s\nContent-Length: 99000000\n\nwhole")},
	{"read_answer", "too many fields", respond(true, true, "HTTP/1.1 200 OK\n%s\n"+manyFields()+"Content-Length: 5\n\nwhole")},
	{"answer", "long, whole", respond(true, true, fmt.Sprintf("HTTP/1.1 200 OK\n%%s\nContent-Length: %d\n\n%s", len(longBody), longBody))},
	{"answer", "long, cut", respond(true, false, fmt.Sprintf("HTTP/1.1 200 OK\n%%s\nContent-Length: %d\n\n%s", len(longBody)+1, longBody))},
	{"answer", "long, cut in a chunk", respond(true, false, fmt.Sprintf("HTTP/1.1 200 OK\n%%s\nTransfer-Encoding: chunked\n\n%x\n%s", len(longBody)+1, longBody))},
}

func manyFields() string {
	var text strings.Builder
	for i := range 200 {
		_, _ = fmt.Fprintf(&text, "X-%d: 1\n", i)
	}
	return text.String()
}
