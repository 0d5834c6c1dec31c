package budget

import (
	"io"
	"net/http"
	"sync/atomic"
)

// Steps of reservations for a body.
const (
	freeBytes    = 4 << 10  // of each body; part of what a connection takes
	reserveStep  = 16 << 10 // smallest step; larger than reads, so that few reads reserve
	bufferFactor = 2        // a buffer that grows holds its old and its new array
)

// body is the body of the current request of a connection. It reserves memory as
// bytes arrive.
type body struct {
	conn     *conn
	inner    io.ReadCloser
	received atomic.Int64
	reserved int64
	left     atomic.Bool // not read to its end
}

// Handler returns a handler whose requests reserve memory for their bodies from
// the budget. Reads of a body return ErrRefused or ErrSlow.
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
			request.Body = original // net/http discards the rest of its own type
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
	b.left.Store(true)
	c.enter(reading)
}

// end ends a request. Of a large body, what was not read is not awaited, and the
// connection ends.
func (b *body) end(request *http.Request) {
	small := request.ContentLength > 0 && request.ContentLength <= freeBytes
	if b.left.Load() && !small {
		b.conn.stopReading()
		return
	}
	b.left.Store(false)
}

// Read implements io.Reader. It reserves memory before it reads.
func (b *body) Read(buffer []byte) (int, error) {
	room := max(b.reserved/bufferFactor, freeBytes) - b.received.Load()
	if room <= 0 {
		if b.conn.refused.Load() || !b.reserve() {
			return 0, ErrRefused
		}
		room = b.reserved/bufferFactor - b.received.Load()
	}
	count, err := b.inner.Read(buffer[:min(int64(len(buffer)), room)])
	b.received.Add(int64(count))
	switch {
	case err == nil:
		return count, nil
	case err == io.EOF:
		b.left.Store(false)
		b.conn.proceed(serving)
	case b.conn.refused.Load():
		return count, ErrRefused
	case b.conn.slow.Load():
		return count, ErrSlow
	}
	return count, err
}

// reserve reserves memory for the next bytes. The step grows with the body, as its
// buffer does.
func (b *body) reserve() bool {
	step := max(b.reserved/4/reserveStep, 1) * reserveStep
	b.reserved += step
	return b.conn.listener.reserve(b.conn, step)
}

// Close implements io.Closer.
func (b *body) Close() error { return b.inner.Close() }
