package command

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// maxLineBytes is the longest log line that is read; a longer one is an error.
const maxLineBytes = 1 << 20

// logLine is a log line about the explained job.
type logLine struct {
	at     int64 // Unix time in ms, by the clock of the entry
	entry  string
	event  string
	fields map[string]any
}

// omittedFields are not printed by formatFields: time, entry and event have columns
// of their own, level and job are not printed.
var omittedFields = []string{"time", "entry", "event", "level", "job"}

// explain prints the log lines about a job by time, and the events that are
// missing.
func (ses *session) explain() error {
	opts := ses.opts.Explain
	var lines []logLine
	read := func(name string, from io.Reader) error {
		found, err := jobLines(opts.Args.ID, from)
		lines = append(lines, found...)
		return errors.Wrapf(err, "read %s", name)
	}
	if len(opts.Args.Files) == 0 {
		if err := read("standard input", ses.streams.In); err != nil {
			return err
		}
	}
	for _, name := range opts.Args.Files {
		if err := readFile(name, read); err != nil {
			return err
		}
	}
	if len(lines) == 0 {
		return errors.Errorf("no log line about job %s; the logs of all entries are needed", opts.Args.ID)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.at, b.at) })
	for _, l := range lines {
		ses.printf("%8d ms  %-24s %-18s %s", l.at-lines[0].at, l.entry, l.event, l.formatFields())
	}
	if wait, ok := longestWait(lines); ok {
		ses.printf("longest wait: %s", wait)
	}
	for _, missing := range missingEvents(lines) {
		ses.printf("missing: %s", missing)
	}
	return nil
}

func readFile(name string, read func(name string, from io.Reader) error) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	return read(name, file)
}

// jobLines returns the log lines about a job. The text before the first brace of a
// line comes from the log collector. Lines that are not JSON are skipped.
func jobLines(id string, from io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		brace := bytes.IndexByte(scanner.Bytes(), '{')
		if brace < 0 || !bytes.Contains(scanner.Bytes(), []byte(id)) {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(scanner.Bytes()[brace:], &fields); err != nil || fields["job"] != id {
			continue
		}
		at, _ := fields["time"].(float64)
		lines = append(lines, logLine{at: int64(at), entry: formatValue(fields["entry"]), event: formatValue(fields["event"]), fields: fields})
	}
	return lines, scanner.Err()
}

func formatValue(value any) string { return fmt.Sprint(value) }

// formatFields formats the other fields of a line, sorted by name.
func (l logLine) formatFields() string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(omittedFields, name) {
			words = append(words, name+"="+formatValue(l.fields[name]))
		}
	}
	return strings.Join(words, " ")
}

// minToldWait is the least wait in ms that longestWait tells.
const minToldWait = 500

// longestWait describes the longest wait of a task for a worker, and what kept it
// waiting.
func longestWait(lines []logLine) (string, bool) {
	longest := float64(minToldWait)
	text := ""
	for _, l := range lines {
		waited, _ := l.fields["waited_ms"].(float64)
		if l.event != "run_placed" || waited < longest {
			continue
		}
		longest = waited
		text = fmt.Sprintf("%.0f ms, step %s index %s run %s", waited, formatValue(l.fields["step"]), formatValue(l.fields["index"]), formatValue(l.fields["run"]))
		text += l.formatBlocked()
	}
	return text, text != ""
}

// formatBlocked describes what kept a placed run waiting; empty: nothing is known.
func (l logLine) formatBlocked() string {
	workers, _ := l.fields["blocked_workers"].(float64)
	switch {
	case workers == 0:
		return ""
	case l.fields["blocked_by"] == "quota":
		return "; its customer had all running that its limit allows"
	case l.fields["blocked_by"] == "share":
		return fmt.Sprintf("; %.0f workers were full, and its customer had its share or sent more than its rate", workers)
	}
	return fmt.Sprintf("; most workers were ruled out by: %s (%.0f)", formatValue(l.fields["blocked_by"]), workers)
}

// missingEvents describes the events of a job's course that no log line records.
func missingEvents(lines []logLine) []string {
	seen := map[string]bool{}
	for _, l := range lines {
		seen[l.event] = true
	}
	var missing []string
	for _, step := range []struct{ event, description string }{
		{"request_answered", "the answer to the caller (check the logs of the entry that received the request)"},
		{"job_accepted", "the acceptance (the job was refused, or the logs of the owner at that time are missing)"},
		{"run_placed", "a start (no run was placed, or the logs of the owner are missing)"},
		{"job_ended", "the end (it is still open, or logs of a later owner)"},
	} {
		if !seen[step.event] {
			missing = append(missing, step.description)
		}
	}
	return missing
}
