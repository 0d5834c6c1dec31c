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

// maxLineBytes is the longest log line that is read.
const maxLineBytes = 1 << 20

// line is a log line about the job that is explained.
type line struct {
	at     int64 // Unix milliseconds, of the entry that wrote it
	entry  string
	event  string
	fields map[string]any
}

// Fields that are printed before the others, or not at all.
var plainFields = []string{"time", "entry", "event", "level", "job"}

// explain prints what was decided about a job, in order.
func (ses *session) explain() error {
	opts := ses.opts.Explain
	var lines []line
	read := func(name string, from io.Reader) error {
		found, err := linesOf(opts.Args.ID, from)
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
		return errors.Errorf("no line names job %s; were the logs of all entries given?", opts.Args.ID)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.at, b.at) })
	for _, l := range lines {
		ses.sayf("%8d ms  %-24s %-18s %s", l.at-lines[0].at, l.entry, l.event, l.rest())
	}
	for _, missing := range missingIn(lines) {
		ses.sayf("missing: %s", missing)
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

// linesOf finds the lines about a job. What stands before a line's first brace
// is the collector's; what is no JSON is not ours.
func linesOf(id string, from io.Reader) ([]line, error) {
	var lines []line
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
		lines = append(lines, line{at: int64(at), entry: text(fields["entry"]), event: text(fields["event"]), fields: fields})
	}
	return lines, scanner.Err()
}

func text(value any) string { return fmt.Sprint(value) }

// rest prints a line's other fields in order of name.
func (l line) rest() string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(plainFields, name) {
			words = append(words, name+"="+text(l.fields[name]))
		}
	}
	return strings.Join(words, " ")
}

// missingIn names the steps of a job's life that no line tells of.
func missingIn(lines []line) []string {
	seen := map[string]bool{}
	for _, l := range lines {
		seen[l.event] = true
	}
	var missing []string
	for _, step := range []struct{ event, means string }{
		{"request_answered", "the answer to the caller (logs of the entry that took the request)"},
		{"job_accepted", "the acceptance (refused, or logs of the owner at that time)"},
		{"run_placed", "a start (nothing was placed, or logs of the owner)"},
		{"job_ended", "the end (it is still open, or logs of a later owner)"},
	} {
		if !seen[step.event] {
			missing = append(missing, step.means)
		}
	}
	return missing
}
