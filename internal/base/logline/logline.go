// Package logline writes log lines to a slow or stuck reader without ever
// holding up who logs.
//
// Lines go into a buffer of bounded size, which one goroutine writes out now
// and then. What does not fit is dropped and counted, and the count is written
// as a line of its own once there is room again.
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
	maxWriteBytes  = 8000 // of one write; collectors of logs take so much at once
	flushPeriod    = 100 * time.Millisecond
)

// Sink is a writer of lines that never blocks.
type Sink struct {
	out     io.Writer
	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	missed  int64 // lines dropped since the last report of them
	Dropped atomic.Int64
	wake    chan struct{}
}

// New returns a sink to a writer.
func New(out io.Writer) *Sink {
	return &Sink{out: out, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer; it takes one whole line.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(line) > maxBufferBytes {
		s.missed++
		s.Dropped.Add(1)
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	if len(s.buffer) == len(line) {
		select {
		case s.wake <- struct{}{}:
		default: // it is awake already
		}
	}
	return len(line), nil
}

// Serve writes lines out until the context ends, and then what is left.
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

// Flush writes out what is buffered. Only Serve calls it while that runs.
func (s *Sink) Flush() {
	s.mu.Lock()
	lines, missed := s.buffer, s.missed
	s.buffer, s.missed = s.spare[:0], 0
	s.mu.Unlock()
	for rest := lines; len(rest) > 0; {
		size := wholeLines(rest)
		_, _ = s.out.Write(rest[:size]) // there is nowhere to report a failed log
		rest = rest[size:]
	}
	if missed > 0 {
		_, _ = fmt.Fprintf(s.out, `{"level":"warn","event":"log_lines_dropped","count":%d}`+"\n", missed)
	}
	s.mu.Lock()
	s.spare = lines[:0]
	s.mu.Unlock()
}

// wholeLines returns how many of the first bytes to write at once: as many
// whole lines as fit a write, but one at least.
func wholeLines(lines []byte) int {
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
