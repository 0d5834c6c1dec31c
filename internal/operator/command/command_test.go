package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"github.com/oriolepier/oriolepier/internal/operator/option"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/standin/store"
)

// runCommand runs a command with a store and returns its exit code and output.
func runCommand(t *testing.T, log journal.Log, input string, args ...string) (code int, printed string) {
	t.Helper()
	var out bytes.Buffer
	code = Run(context.Background(), args, Streams{In: strings.NewReader(input), Out: &out, ErrOut: &out}, Runners{
		Store: func(string) journal.Log { return log },
	})
	return code, out.String()
}

const exampleDir = "../../../examples/maraval/"

func TestPublishMarkAndShow(t *testing.T) {
	log := store.New().Log()
	publish := []string{"publish", "--store", "127.0.0.1:1", exampleDir + "routes.json", exampleDir + "pools.json"}
	for _, want := range []string{"accepted: version 1\n", "accepted: version 2\n"} {
		code, printed := runCommand(t, log, "", publish...)
		if diff := cmp.Diff(want, printed); code != option.ExitDone || diff != "" {
			t.Errorf("exit %d (-want +got):\n%s", code, diff)
		}
	}
	code, printed := runCommand(t, log, "", "out", "--store", "127.0.0.1:1", "--failure-domain", "b")
	if code != option.ExitDone {
		t.Errorf("out: exit %d, %s", code, printed)
	}
	_, printed = runCommand(t, log, "", "show", "--store", "127.0.0.1:1")
	if !strings.Contains(printed, `"version": 2`) || !strings.Contains(printed, "\"failure_domains_out\": [\n    \"b\"") {
		t.Errorf("show prints\n%s", printed)
	}
}

// A change between reading the state and appending makes the append fail, and the
// command reports that it was rejected.
func TestBackRejectedAfterConcurrentChange(t *testing.T) {
	standin := store.New()
	racedLog := standin.Log()
	appendToStore := racedLog.Append
	racedLog.Append = func(ctx context.Context, call journal.Append) journal.Answer {
		if code, printed := runCommand(t, standin.Log(), "", "out", "--store", "127.0.0.1:1", "--failure-domain", "a"); code != option.ExitDone {
			t.Errorf("concurrent change: exit %d, %s", code, printed)
		}
		return appendToStore(ctx, call)
	}
	code, printed := runCommand(t, racedLog, "", "back", "--store", "127.0.0.1:1", "--failure-domain", "b")
	if code != option.ExitFailed || !strings.Contains(printed, "rejected: another change came first") {
		t.Errorf("exit %d, %s", code, printed)
	}
}

// An append without an answer is reported with an unknown outcome, as a failure.
func TestOutWithUnknownStoreOutcome(t *testing.T) {
	log := store.New().Log()
	log.Append = func(context.Context, journal.Append) journal.Answer { return journal.Answer{Outcome: journal.Unknown} }
	code, printed := runCommand(t, log, "", "out", "--store", "127.0.0.1:1", "--failure-domain", "b")
	if code != option.ExitFailed || !strings.Contains(printed, "unknown:") {
		t.Errorf("exit %d, %s", code, printed)
	}
}

func TestCheck(t *testing.T) {
	good := filepath.Join("..", "..", "..", "platform", "testdata", "settings.yaml")
	code, printed := runCommand(t, journal.Log{}, "", "check", good, exampleDir+"routes.json", exampleDir+"pools.json", exampleDir+"entry.json")
	if code != option.ExitDone {
		t.Errorf("exit %d, %s", code, printed)
	}
	bad := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(bad, []byte("node_name: x\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	code, printed = runCommand(t, journal.Log{}, "", "check", bad)
	if code != option.ExitFailed || !strings.Contains(printed, "zone is missing") {
		t.Errorf("exit %d, %s", code, printed)
	}
}

func TestRunRejectsInvalidArguments(t *testing.T) {
	for _, args := range [][]string{
		{"nonsense"},
		{"publish"},
		{"show", "--store", "host:1"},
		{"submit", "--entry", "http://name:1", "--prefix", "/q"},
		{"explain"},
		{"status", "--entry", "http://127.0.0.1:1", "--prefix", "/q"},
	} {
		if code, printed := runCommand(t, journal.Log{}, "", args...); code != option.ExitUsage {
			t.Errorf("%v: exit %d, %s", args, code, printed)
		}
	}
}

// TestExplainNamesQuotaAndShare checks that a job's longest wait is not put down to
// workers where its customer's limit or share was the cause.
func TestExplainNamesQuotaAndShare(t *testing.T) {
	const job = "5c0e7a21d94b36f8"
	var got []string
	for _, blocked := range []string{`"quota","blocked_workers":1`, `"share","blocked_workers":36`} {
		log := `{"entry":"a","event":"run_placed","job":"` + job + `","step":0,"index":2,"run":1,"waited_ms":2210,"blocked_by":` + blocked + `,"time":3225}`
		_, printed := runCommand(t, journal.Log{}, log, "explain", job)
		for line := range strings.Lines(printed) {
			if wait, ok := strings.CutPrefix(line, "longest wait: 2210 ms, step 0 index 2 run 1; "); ok {
				got = append(got, wait)
			}
		}
	}
	want := []string{"its customer had all running that its limit allows\n", "36 workers were full, and its customer had its share or sent more than its rate\n"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("longest waits (-want +got):\n%s", diff)
	}
}

// explain merges log lines of several entries by time, skips lines that are not
// JSON or about another job, and reports missing events.
func TestExplain(t *testing.T) {
	const job = "5c0e7a21d94b36f8"
	log := `  1.20 entry-b {"level":"info","entry":"b","event":"request_answered","job":"` + job + `","status":200,"took_ms":20,"time":1020}
a line of another program
{"level":"info","entry":"a","event":"job_accepted","job":"` + job + `","queue":"q","epoch":3,"time":1015}
{"level":"info","entry":"a","event":"run_placed","job":"` + job + `","step":0,"index":1,"run":1,"worker":"w","contact_age_ms":40,"time":1022}
{"level":"info","entry":"a","event":"run_placed","job":"` + job + `","step":0,"index":2,"run":1,"worker":"x","waited_ms":2210,"blocked_by":"incompatible","blocked_workers":36,"time":3225}
{"level":"info","entry":"a","event":"run_placed","job":"another","time":1023}
{"level":"warn","entry":"a","event":"lease_lapsed","worker":"w","time":5000}
{"level":"info","entry":"c","event":"run_ended","job":"` + job + `","step":0,"index":1,"run":1,"cause":"lapsed","evidence":"recorded_rest","evidence_age_ms":3200,"epoch":4,"time":5010}
`
	code, printed := runCommand(t, journal.Log{}, log, "explain", job)
	if code != option.ExitDone {
		t.Errorf("exit %d", code)
	}
	goldie.New(t).Assert(t, "explain", []byte(printed))
	if code, _ := runCommand(t, journal.Log{}, log, "explain", "0000000000000000"); code != option.ExitFailed {
		t.Errorf("a job without log lines: exit %d", code)
	}
}
