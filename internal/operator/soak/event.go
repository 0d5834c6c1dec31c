package soak

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/standin/worker"
)

// maxEventLineBytes bounds a line of an event file.
const maxEventLineBytes = 64 << 10

// workerEvent is a line of the event file that a process of workers writes. Times
// are of clock.NewShared, and can be compared between all processes of the soak.
type workerEvent struct {
	At          clock.Millis     `json:"at_ms"`
	Worker      string           `json:"worker"`
	Incarnation int64            `json:"incarnation"`
	Kind        worker.EventKind `json:"event"`
	Job         string           `json:"job,omitempty"`
	Step        int              `json:"step,omitempty"`
	Index       int              `json:"index,omitempty"`
	Run         int              `json:"run,omitempty"`
	Cause       string           `json:"cause,omitempty"`
	Token       int64            `json:"token,omitempty"`
	Until       clock.Millis     `json:"until_at_ms,omitempty"`
}

// readEvents reads an event file. The last line may be cut off, as its process may
// have been killed.
func readEvents(path string) ([]workerEvent, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open events")
	}
	defer func() { _ = file.Close() }()
	var events []workerEvent
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxEventLineBytes)
	for scanner.Scan() {
		var event workerEvent
		if json.Unmarshal(scanner.Bytes(), &event) != nil {
			continue
		}
		events = append(events, event)
	}
	return events, errors.Wrapf(scanner.Err(), "read events %s", path)
}
