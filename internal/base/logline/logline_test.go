package logline

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"
)

// stuck is a reader of logs that reads nothing until it is let go.
type stuck struct {
	free chan struct{}
	bytes.Buffer
}

// Write implements io.Writer.
func (s *stuck) Write(data []byte) (int, error) {
	<-s.free
	return s.Buffer.Write(data)
}

func TestStuckReaderHoldsNobodyUp(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	sink := New(out)
	ctx, cancel := context.WithCancel(context.Background())
	group := new(errgroup.Group)
	group.Go(func() error { return sink.Serve(ctx) })
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 4 * maxBufferBytes / 1024
	for range lines {
		if _, err := sink.Write(line); err != nil { // would hang if the reader held it up
			t.Fatal(err)
		}
	}
	close(out.free)
	cancel()
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	written := strings.Count(out.String(), string(line))
	if diff := cmp.Diff(lines, written+int(sink.Dropped.Load())); diff != "" {
		t.Errorf("lines written and dropped (-want +got):\n%s", diff)
	}
	if sink.Dropped.Load() == 0 || !strings.Contains(out.String(), `"event":"log_lines_dropped"`) {
		t.Errorf("%d lines were dropped, and the log does not say so", sink.Dropped.Load())
	}
}

func TestWritesAreOfWholeLines(t *testing.T) {
	for _, test := range []struct {
		text string
		want int
	}{
		{"short\n", 6},
		{strings.Repeat("a", 20) + "\n" + strings.Repeat("b", maxWriteBytes) + "\n", 21},
		{strings.Repeat("c", maxWriteBytes+5) + "\nd\n", maxWriteBytes + 6},
		{strings.Repeat("e", maxWriteBytes+5), maxWriteBytes + 5},
	} {
		if diff := cmp.Diff(test.want, wholeLines([]byte(test.text))); diff != "" {
			t.Errorf("%.10s (-want +got):\n%s", test.text, diff)
		}
	}
}
