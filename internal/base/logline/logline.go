// Package logline writes log lines to a slow or blocked output without blocking
// the goroutines that log.
//
// Lines go into a bounded buffer, which one goroutine flushes periodically.
// Lines that do not fit are dropped and counted. The next flush writes the count
// as a line of its own.
//
// # Usage
//
//	sink := logline.New(os.Stdout)
//	group.Go(func() error { return sink.Serve(ctx) })
//	logger := zerolog.New(sink)
package logline

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of a sink.
const (
	maxBufferBytes = 512 << 10
	maxWriteBytes  = 8000 // bytes per write, which log collectors accept in one piece
	flushPeriod    = 100 * time.Millisecond
)

// Sink is a buffered writer of log lines whose Write never waits for the output.
type Sink struct {
	out        io.Writer
	mu         sync.Mutex
	buffer     []byte
	spare      []byte       // buffer of the previous flush, for reuse
	unreported int64        // lines dropped since the last log_lines_dropped line
	Dropped    atomic.Int64 // lines dropped since the start
	wake       chan struct{}
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	return &Sink{out: out, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer. It takes one complete line and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(line) > maxBufferBytes {
		s.unreported++
		s.Dropped.Add(1)
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	if len(s.buffer) == len(line) {
		select {
		case s.wake <- struct{}{}:
		default: // a wake-up is already pending
		}
	}
	return len(line), nil
}

// Serve flushes lines until the context ends, and then flushes the remaining ones.
func (s *Sink) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			s.Flush()
			return nil
		case <-s.wake:
		}
		timer := time.NewTimer(flushPeriod)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		s.Flush()
	}
}

// Flush writes out the buffered lines. While Serve runs, only Serve may call it.
func (s *Sink) Flush() {
	s.mu.Lock()
	lines, unreported := s.buffer, s.unreported
	s.buffer, s.unreported = s.spare[:0], 0
	s.mu.Unlock()
	for remaining := lines; len(remaining) > 0; {
		size := writeSize(remaining)
		_, _ = s.out.Write(remaining[:size]) // a failed log write can't be reported anywhere
		remaining = remaining[size:]
	}
	if unreported > 0 {
		_, _ = fmt.Fprintf(s.out, `{"level":"warn","event":"log_lines_dropped","count":%d}`+"\n", unreported)
	}
	s.mu.Lock()
	s.spare = lines[:0]
	s.mu.Unlock()
}

// writeSize returns how many bytes of lines to write at once: as many complete
// lines as fit in maxWriteBytes, but at least one.
func writeSize(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if last := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); last >= 0 {
		return last + 1
	}
	if first := bytes.IndexByte(lines, '\n'); first >= 0 {
		return first + 1
	}
	return len(lines)
}
