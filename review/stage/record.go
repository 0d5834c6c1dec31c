package stage

import (
	"encoding/json"
	"os"
	"sync"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Record is the file of what was sent, answered and run, one JSON object a line.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	clock clock.Clock
	begun clock.Millis
}

func newRecord(path string, clk clock.Clock) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "create the record")
	}
	return &Record{file: file, clock: clk, begun: clk.Now()}, nil
}

// Add adds a line: who did what, with pairs of names and values.
func (r *Record) Add(who, what string, pairs ...any) {
	line := map[string]any{"at_ms": r.clock.Now() - r.begun, "who": who, "what": what}
	for i := 0; i+1 < len(pairs); i += 2 {
		if name, ok := pairs[i].(string); ok {
			line[name] = pairs[i+1]
		}
	}
	data, err := json.Marshal(line)
	if err != nil {
		data = []byte(err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.Write(append(data, '\n')) // after close, lines are lost
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
