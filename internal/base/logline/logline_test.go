package logline

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"
)

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.unblock
	return w.Buffer.Write(data)
}

// While the output is blocked, Write returns at once. Lines beyond the buffer are
// dropped, counted and reported in the log.
func TestWriteDoesNotBlockOnBlockedWriter(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	sink := New(out)
	ctx, cancel := context.WithCancel(context.Background())
	group := new(errgroup.Group)
	group.Go(func() error { return sink.Serve(ctx) })
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 4 * maxBufferBytes / 1024
	for range lines {
		if _, err := sink.Write(line); err != nil { // hangs if Write waits for the output
			t.Fatal(err)
		}
	}
	close(out.unblock)
	cancel()
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	written := strings.Count(out.String(), string(line))
	if diff := cmp.Diff(lines, written+int(sink.Dropped.Load())); diff != "" {
		t.Errorf("lines written and dropped (-want +got):\n%s", diff)
	}
	if sink.Dropped.Load() == 0 || !strings.Contains(out.String(), `"event":"log_lines_dropped"`) {
		t.Errorf("%d lines dropped; want some, and a log_lines_dropped line in the log", sink.Dropped.Load())
	}
}

// writeSize cuts after the last line that fits. It exceeds the limit only for a
// single line that is longer.
func TestWriteSizeEndsAtLineEnd(t *testing.T) {
	for _, test := range []struct {
		text string
		want int
	}{
		{"short\n", 6},
		{strings.Repeat("a", 20) + "\n" + strings.Repeat("b", maxWriteBytes) + "\n", 21},
		{strings.Repeat("c", maxWriteBytes+5) + "\nd\n", maxWriteBytes + 6},
		{strings.Repeat("e", maxWriteBytes+5), maxWriteBytes + 5},
	} {
		if diff := cmp.Diff(test.want, writeSize([]byte(test.text))); diff != "" {
			t.Errorf("%.10s (-want +got):\n%s", test.text, diff)
		}
	}
}
