package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// client sends on one connection. A failure to send ends it: the entry may refuse
// or close.
type client struct {
	number int
	conn   net.Conn
	failed bool
}

func (c *client) send(data ...[]byte) {
	for _, part := range data {
		if c.failed {
			return
		}
		_ = c.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		_, err := c.conn.Write(part)
		c.failed = err != nil
	}
}

// head sends a request's line and header.
func (c *client) head(method, header string) {
	c.send(fmt.Appendf(nil, "%s %s%016x HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n", method, queuePrefix, 0xc0000000+c.number, queueHost, header))
}

// complete reports whether this client is one of the few that end their request.
func (c *client) complete() bool { return c.number%10 == 0 }

// load opens the connections to an address, lets each client send, and keeps all
// connections open until the test ends.
func load(t *testing.T, address string, behave func(c *client)) {
	t.Helper()
	var group errgroup.Group
	conns := make([]net.Conn, clients)
	for number := range clients {
		group.Go(func() error {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err == nil { // else the entry refuses connections, which it may
				conns[number] = conn
				behave(&client{number: number, conn: conn})
			}
			return nil
		})
	}
	_ = group.Wait() // no client returns an error
	t.Cleanup(func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	})
}

// jsonBody returns a submission of the given size, with a member that is ignored.
func jsonBody(size int) []byte {
	const begin, end = `{"steps":[{"count":1}],"unknown":"`, `"}`
	return []byte(begin + strings.Repeat("x", size-len(begin)-len(end)) + end)
}

// Guards against bodies that are kept in memory without a bound over all
// connections. Most stop one byte before their end.
func TestWholeBodies(t *testing.T) {
	d := start(t)
	body := jsonBody(bodyBytes)
	load(t, d.callers, func(c *client) {
		c.head(http.MethodPost, fmt.Sprint("Content-Length: ", len(body)))
		c.send(body[:len(body)-1])
		if c.complete() {
			c.send(body[len(body)-1:])
		}
	})
	d.check()
}

// As TestWholeBodies, for bodies that make progress with pauses.
func TestBodiesInPieces(t *testing.T) {
	d := start(t)
	body := jsonBody(bodyBytes)
	const piece = 8000
	load(t, d.callers, func(c *client) {
		c.head(http.MethodPost, fmt.Sprint("Content-Length: ", len(body)))
		for rest := body[:len(body)-1]; len(rest) > 0 && !c.failed; rest = rest[min(piece, len(rest)):] {
			c.send(rest[:min(piece, len(rest))])
			time.Sleep(20 * time.Millisecond)
		}
		if c.complete() {
			c.send(body[len(body)-1:])
		}
	})
	d.check()
}

// As TestWholeBodies, for bodies whose size is not announced.
func TestLargeChunks(t *testing.T) {
	d := start(t)
	body := jsonBody(bodyBytes)
	load(t, d.callers, func(c *client) {
		c.head(http.MethodPost, "Transfer-Encoding: chunked")
		c.send(fmt.Appendf(nil, "%x\r\n", len(body)), body[:len(body)-1])
		if c.complete() {
			c.send(body[len(body)-1:], []byte("\r\n0\r\n\r\n"))
		}
	})
	d.check()
}

// As TestLargeChunks, with chunks of one byte, which take six on the wire.
func TestSmallChunks(t *testing.T) {
	d := start(t)
	var wire bytes.Buffer
	for _, character := range jsonBody(halfBytes) {
		fmt.Fprintf(&wire, "1\r\n%c\r\n", character)
	}
	load(t, d.callers, func(c *client) {
		c.head(http.MethodPost, "Transfer-Encoding: chunked")
		c.send(wire.Bytes())
		if c.complete() {
			c.send([]byte("0\r\n\r\n"))
		}
	})
	d.check()
}

// Guards against memory for extensions of chunks, which have no end.
func TestChunkExtensions(t *testing.T) {
	d := start(t)
	extension := []byte(strings.Repeat("x", 8000))
	load(t, d.callers, func(c *client) {
		c.head(http.MethodPost, "Transfer-Encoding: chunked")
		c.send([]byte("1;"))
		for i := 0; i < 30 && !c.failed; i++ {
			c.send(extension)
		}
	})
	d.check()
}

// Guards against memory for trailers, which have no end.
func TestTrailers(t *testing.T) {
	d := start(t)
	load(t, d.callers, func(c *client) {
		c.head(http.MethodPost, "Transfer-Encoding: chunked")
		c.send([]byte("1\r\n{\r\n0\r\n"))
		for i := 0; i < 3000 && !c.failed; i++ {
			c.send(fmt.Appendf(nil, "T%d: %s\r\n", i, "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"))
		}
	})
	d.check()
}

// Guards against connections that never complete a header and hold a descriptor.
func TestHeaderBytesOneAtATime(t *testing.T) {
	d := start(t)
	load(t, d.callers, func(c *client) {
		c.send(fmt.Appendf(nil, "POST %s%016x HTTP/1.1\r\nX-Long: ", queuePrefix, c.number))
		for i := 0; i < 100 && !c.failed; i++ {
			c.send([]byte("x"))
			time.Sleep(20 * time.Millisecond)
		}
	})
	d.check()
}

// Guards against idle connections that use up the descriptors.
func TestIdleConnections(t *testing.T) {
	d := start(t)
	load(t, d.callers, func(c *client) {
		if c.complete() {
			c.head(http.MethodGet, "Accept: */*")
		}
	})
	d.check()
}

// Guards against answers that nobody reads and requests that wait behind them.
func TestUnreadAnswers(t *testing.T) {
	d := start(t)
	load(t, d.callers, func(c *client) {
		if tcp, ok := c.conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(2048)
		}
		for i := 0; i < 300 && !c.failed; i++ {
			c.head(http.MethodGet, "Accept: */*")
		}
	})
	d.check()
}

// Guards against a decoded submission that takes many times the memory of its body.
func TestManySteps(t *testing.T) {
	d := start(t)
	const count = 20_000
	load(t, d.callers, submitWhole(jobOf(count, "{}")))
	d.check()
}

// Guards against small submissions that describe the largest number of tasks.
func TestLargestSubmissions(t *testing.T) {
	d := start(t)
	load(t, d.callers, submitWhole(largestJob()))
	d.check()
}

// Guards against bodies that are awaited without end after the caller was asked to
// continue.
func TestExpectContinue(t *testing.T) {
	d := start(t)
	load(t, d.callers, func(c *client) {
		c.head(http.MethodPost, fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue", bodyBytes))
	})
	d.check()
}

// Guards against bodies of requests that need none.
func TestBodiesOfOtherMethods(t *testing.T) {
	d := start(t)
	body := jsonBody(bodyBytes)
	load(t, d.callers, func(c *client) {
		c.head([]string{http.MethodGet, http.MethodDelete}[c.number%2], fmt.Sprint("Content-Length: ", len(body)))
		c.send(body[:len(body)-1])
	})
	d.check()
}

// Guards against connections to the other listeners of an entry that use up its
// descriptors.
func TestIdleConnectionsElsewhere(t *testing.T) {
	d := start(t)
	for _, address := range []string{d.readiness, d.operators, d.peers} {
		load(t, address, func(*client) {})
	}
	d.check()
}

// jobOf is a submission that repeats a step.
func jobOf(count int, step string) []byte {
	return []byte(`{"steps":[` + strings.TrimSuffix(strings.Repeat(step+",", count), ",") + `]}`)
}

// largestJob is a submission with the largest number of steps and tasks.
func largestJob() []byte {
	const steps, tasks = 64, 4096
	return jobOf(steps, fmt.Sprintf(`{"count":%d,"cpu":1}`, tasks))
}

// labelledJob is a submission whose size stays the same when it is decoded.
func labelledJob() []byte {
	return []byte(`{"steps":[{"count":1,"requirements":"` + strings.Repeat("x", bodyBytes-100) + `"}]}`)
}

// submitWhole returns the behaviour of a client that sends a whole submission.
func submitWhole(body []byte) func(c *client) {
	return func(c *client) {
		c.head(http.MethodPost, fmt.Sprint("Content-Length: ", len(body)))
		c.send(body)
	}
}

// Guards against accepted jobs that are large without many tasks.
func TestLargeJobs(t *testing.T) {
	d := start(t)
	load(t, d.callers, submitWhole(labelledJob()))
	d.check()
}

// As TestLargestSubmissions, at an entry that forwards them to the owner.
func TestLargestSubmissionsForwarded(t *testing.T) {
	d := start(t)
	second := d.another()
	load(t, second.callers, submitWhole(largestJob()))
	second.check()
	d.check()
}

// As TestLargeJobs, at an entry that forwards them to the owner.
func TestLargeJobsForwarded(t *testing.T) {
	d := start(t)
	second := d.another()
	load(t, second.callers, submitWhole(labelledJob()))
	second.check()
	d.check()
}

// Guards against a job whose tasks all start at once, each by a connection to its
// worker. The process has memory for one such job.
func TestManyStartsAtOnce(t *testing.T) {
	const memory = 160
	d := startWith(t, memory)
	conn, err := net.Dial("tcp", d.callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	submitWhole(largestJob())(&client{number: 1, conn: conn})
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("the job is answered %v %v", response, err)
	}
	d.check()
}
