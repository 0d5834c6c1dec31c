package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// action is a fault that was injected or ended.
type action struct {
	At     clock.Millis `json:"at_ms"`
	UnixMS int64        `json:"time"`
	Action string       `json:"action"`
	Target string       `json:"target"`
	Detail string       `json:"detail,omitempty"`
}

// schedule records the faults of a seed in a file.
type schedule struct {
	clock clock.Clock
	mu    sync.Mutex
	file  *os.File
	count int
}

func newSchedule(path string, clk clock.Clock) (*schedule, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return &schedule{clock: clk, file: file}, errors.Wrap(err, "open schedule")
}

// addf records an action.
func (s *schedule) addf(name, target, format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	data, err := json.Marshal(action{
		At: s.clock.Now(), UnixMS: time.Now().UnixMilli(), Action: name, Target: target, Detail: fmt.Sprintf(format, values...),
	})
	if err == nil {
		_, _ = s.file.Write(append(data, '\n')) // the record is for people; the soak goes on without it
	}
}

// len returns the number of actions so far.
func (s *schedule) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

func (s *schedule) close() { _ = s.file.Close() }
