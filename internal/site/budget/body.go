package budget

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/oriolepier/oriolepier/internal/base/fault"
)

// Reservations for a body.
const (
	unreservedBytes = 4 << 10  // first bytes of each body, which count as part of its connection
	reserveStep     = 16 << 10 // bytes of the smallest step; larger than reads, so that few reads reserve
	growthDivisor   = 4        // a step is at least this part of what is reserved
	bufferFactor    = 2        // a buffer that grows holds its old and its new array
)

// body is the body of the current request of a connection. It reserves memory as
// bytes arrive.
type body struct {
	conn     *conn
	inner    io.ReadCloser
	received atomic.Int64 // bytes
	reserved int64        // bytes
	unread   atomic.Bool  // not read to its end
}

// Handler returns a handler whose requests reserve memory for their bodies from
// the budget. Reads of a body return fault.ErrNoMemory or fault.ErrTooSlow.
func (l *Listener) Handler(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		c, _ := request.Context().Value(connKey{}).(*conn)
		if c == nil {
			inner.ServeHTTP(writer, request)
			return
		}
		if request.ContentLength == 0 {
			c.proceed(serving)
			defer c.enter(ending)
			inner.ServeHTTP(writer, request)
			return
		}
		original := request.Body
		c.body.begin(c, original)
		request.Body = &c.body
		defer func() {
			request.Body = original // net/http discards what is unread only of a body of its own type
			c.release()
			c.body.end(request)
			c.enter(ending)
		}()
		inner.ServeHTTP(writer, request)
	})
}

// begin starts the body of a request.
func (b *body) begin(c *conn, inner io.ReadCloser) {
	b.conn, b.inner, b.reserved = c, inner, 0
	b.received.Store(0)
	c.refused.Store(false)
	c.slow.Store(false)
	b.unread.Store(true)
	c.enter(reading)
}

// end ends a request. The unread rest of a large body is not awaited: the connection
// ends.
func (b *body) end(request *http.Request) {
	small := request.ContentLength > 0 && request.ContentLength <= unreservedBytes
	if b.unread.Load() && !small {
		b.conn.stopReading()
		return
	}
	b.unread.Store(false)
}

// Read implements io.Reader. It reserves memory before it reads.
func (b *body) Read(buffer []byte) (int, error) {
	room := max(b.reserved/bufferFactor, unreservedBytes) - b.received.Load()
	if room <= 0 {
		if b.conn.refused.Load() || !b.reserve() {
			return 0, fault.ErrNoMemory
		}
		room = b.reserved/bufferFactor - b.received.Load()
	}
	count, err := b.inner.Read(buffer[:min(int64(len(buffer)), room)])
	b.received.Add(int64(count))
	switch {
	case err == nil:
		return count, nil
	case err == io.EOF:
		b.unread.Store(false)
		b.conn.proceed(serving)
	case b.conn.refused.Load():
		return count, fault.ErrNoMemory
	case b.conn.slow.Load():
		return count, fault.ErrTooSlow
	}
	return count, err
}

// reserve reserves memory for the next bytes. The step grows with the body, as its
// buffer does. It reports false if the body is refused.
func (b *body) reserve() bool {
	step := max(b.reserved/growthDivisor/reserveStep, 1) * reserveStep
	b.reserved += step
	return b.conn.listener.reserve(b.conn, step)
}

// Close implements io.Closer.
func (b *body) Close() error { return b.inner.Close() }
