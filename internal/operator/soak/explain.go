package soak

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// maxExplained bounds the cases that are written out for a seed.
const maxExplained = 40

// entryLine is a log line of an entry, as far as it is read here.
type entryLine struct {
	Time    int64  `json:"time"`
	Event   string `json:"event"`
	Entry   string `json:"entry"`
	Epoch   int64  `json:"epoch"`
	Job     string `json:"job"`
	Step    int    `json:"step"`
	Index   int    `json:"index"`
	Run     int    `json:"run"`
	Worker  string `json:"worker"`
	Outcome string `json:"outcome"`
	text    string
}

// explainedCase is a broken promise with what the entries logged about it.
type explainedCase struct {
	violation
	Orderers map[int64]string  `json:"entries_by_epoch,omitempty"` // which sent the starts
	Lines    []json.RawMessage `json:"log_lines,omitempty"`        // about the task, of all entries, by time
	ends     []string          // log lines by which the first run was ended
}

// takeover is a change of the owner.
type takeover struct {
	Epoch     int64  `json:"epoch"`
	Entry     string `json:"entry"`
	ClaimedMS int64  `json:"claimed_ms"`           // Unix time
	LoadMS    int64  `json:"claimed_to_loaded_ms"` // negative: never loaded
}

// caseFile is what is written beside the logs of a broken seed.
type caseFile struct {
	// UnixOffsetMS added to a time at_ms gives the Unix time of log lines.
	UnixOffsetMS int64           `json:"unix_offset_ms"`
	Takeovers    []takeover      `json:"takeovers"`
	Owners       []ownerChange   `json:"owners"`
	Cases        []explainedCase `json:"cases"`
}

// explain writes the cases into the directory of the seed, and prints the first ones.
func (d *deployment) explain(violations []violation, progress io.Writer) error {
	if len(violations) == 0 {
		return nil
	}
	lines, err := d.readLines()
	if err != nil {
		return err
	}
	file := caseFile{UnixOffsetMS: clock.UnixOffset(d.clock), Takeovers: takeovers(lines), Owners: d.owners.all()}
	for _, v := range violations[:min(len(violations), maxExplained)] {
		file.Cases = append(file.Cases, explainCase(v, lines, file.Takeovers))
	}
	data, err := json.MarshalIndent(file, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode cases")
	}
	const printed = 3
	for _, c := range file.Cases[:min(len(file.Cases), printed)] {
		c.print(progress)
	}
	for _, t := range file.Takeovers {
		_, _ = fmt.Fprintf(progress, "soak: epoch %d: %s claimed at %d, loaded %d ms later\n", t.Epoch, t.Entry, t.ClaimedMS, t.LoadMS)
	}
	return errors.Wrap(os.WriteFile(filepath.Join(d.dir, "cases.json"), data, 0o600), "write cases")
}

// readLines reads the log lines of all entries, ordered by time.
func (d *deployment) readLines() ([]entryLine, error) {
	var lines []entryLine
	for _, e := range d.entries {
		data, err := os.ReadFile(e.output)
		if err != nil {
			return nil, errors.Wrap(err, "read log")
		}
		scanner := bufio.NewScanner(bytes.NewReader(data))
		scanner.Buffer(nil, maxEventLineBytes)
		for scanner.Scan() {
			var line entryLine
			if json.Unmarshal(scanner.Bytes(), &line) == nil {
				line.text = scanner.Text()
				lines = append(lines, line)
			}
		}
	}
	slices.SortStableFunc(lines, func(a, b entryLine) int { return cmp.Compare(a.Time, b.Time) })
	return lines, nil
}

// takeovers returns the successful claims, with the time until the state was loaded.
func takeovers(lines []entryLine) []takeover {
	var found []takeover
	for _, line := range lines {
		switch {
		case line.Event == "cell_claimed" && line.Outcome == "done":
			found = append(found, takeover{Epoch: line.Epoch, Entry: line.Entry, ClaimedMS: line.Time, LoadMS: -1})
		case line.Event == "state_loaded":
			for i := range found {
				if found[i].Epoch == line.Epoch && found[i].Entry == line.Entry {
					found[i].LoadMS = line.Time - found[i].ClaimedMS
				}
			}
		}
	}
	return found
}

// explainCase adds to a broken promise who ordered the runs and what was logged
// about the task.
func explainCase(v violation, lines []entryLine, owners []takeover) explainedCase {
	c := explainedCase{violation: v, Orderers: map[int64]string{}}
	if len(v.Runs) == 0 {
		return c
	}
	for _, r := range v.Runs {
		for _, owner := range owners {
			if owner.Epoch == r.Epoch {
				c.Orderers[r.Epoch] = owner.Entry
			}
		}
	}
	task := v.Runs[0].Task
	for _, line := range lines {
		aboutTask := line.Job == string(task.Job) && line.Step == task.Step && line.Index == task.Index
		if aboutTask && line.Event != "request_answered" {
			c.Lines = append(c.Lines, json.RawMessage(line.text))
		}
		if aboutTask && line.Event == "run_ended" && line.Run == v.Runs[0].Run {
			c.ends = append(c.ends, line.text)
		}
	}
	return c
}

// print prints a case for people, with how its first run was ended.
func (c explainedCase) print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "soak: broken: %s: %s\n", c.Promise, c.Text)
	for _, r := range c.Runs {
		_, _ = fmt.Fprintf(out, "  run %d on %s: %d to %d (%s), leased until %d, ordered by epoch %d (%s)\n",
			r.Run, r.Worker, r.StartedAt, r.EndedAt, r.Cause, r.LeasedUntil, r.Epoch, c.Orderers[r.Epoch])
	}
	for _, line := range c.ends {
		_, _ = fmt.Fprintf(out, "  %s\n", line)
	}
}
