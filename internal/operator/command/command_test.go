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

// run runs a command on a store and returns its code and what it printed.
func run(t *testing.T, log journal.Log, input string, args ...string) (code int, printed string) {
	t.Helper()
	var out bytes.Buffer
	code = Run(context.Background(), args, Streams{In: strings.NewReader(input), Out: &out, ErrOut: &out}, Runners{
		Store: func(string) journal.Log { return log },
	})
	return code, out.String()
}

const example = "../../../examples/maraval/"

func TestPublish(t *testing.T) {
	log := store.New().Log()
	publish := []string{"publish", "--store", "127.0.0.1:1", example + "routes.json", example + "pools.json"}
	for _, want := range []string{"accepted: version 1\n", "accepted: version 2\n"} {
		code, printed := run(t, log, "", publish...)
		if diff := cmp.Diff(want, printed); code != option.ExitDone || diff != "" {
			t.Errorf("exit %d (-want +got):\n%s", code, diff)
		}
	}
	code, printed := run(t, log, "", "out", "--store", "127.0.0.1:1", "--failure-domain", "b")
	if code != option.ExitDone {
		t.Errorf("out: exit %d, %s", code, printed)
	}
	_, printed = run(t, log, "", "show", "--store", "127.0.0.1:1")
	if !strings.Contains(printed, `"version": 2`) || !strings.Contains(printed, "\"failure_domains_out\": [\n    \"b\"") {
		t.Errorf("show prints\n%s", printed)
	}
}

// Of two operators who read the same version, one is told that it came second.
func TestOperatorsWhoRace(t *testing.T) {
	standin := store.New()
	racing := standin.Log()
	inner := racing.Append
	racing.Append = func(ctx context.Context, call journal.Append) journal.Answer {
		if code, printed := run(t, standin.Log(), "", "out", "--store", "127.0.0.1:1", "--failure-domain", "a"); code != option.ExitDone {
			t.Errorf("the other operator: exit %d, %s", code, printed)
		}
		return inner(ctx, call)
	}
	code, printed := run(t, racing, "", "back", "--store", "127.0.0.1:1", "--failure-domain", "b")
	if code != option.ExitFailed || !strings.Contains(printed, "rejected: another change came first") {
		t.Errorf("exit %d, %s", code, printed)
	}
}

func TestUnknownOutcome(t *testing.T) {
	log := store.New().Log()
	log.Append = func(context.Context, journal.Append) journal.Answer { return journal.Answer{Outcome: journal.Unknown} }
	code, printed := run(t, log, "", "out", "--store", "127.0.0.1:1", "--failure-domain", "b")
	if code != option.ExitFailed || !strings.Contains(printed, "unknown:") {
		t.Errorf("exit %d, %s", code, printed)
	}
}

func TestCheck(t *testing.T) {
	good := filepath.Join("..", "..", "..", "platform", "testdata", "settings.yaml")
	code, printed := run(t, journal.Log{}, "", "check", good, example+"routes.json", example+"pools.json", example+"entry.json")
	if code != option.ExitDone {
		t.Errorf("exit %d, %s", code, printed)
	}
	bad := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(bad, []byte("node_name: x\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	code, printed = run(t, journal.Log{}, "", "check", bad)
	if code != option.ExitFailed || !strings.Contains(printed, "zone is missing") {
		t.Errorf("exit %d, %s", code, printed)
	}
}

func TestUsage(t *testing.T) {
	for _, args := range [][]string{
		{"nonsense"},
		{"publish"},
		{"show", "--store", "host:1"},
		{"submit", "--entry", "http://name:1", "--prefix", "/q"},
		{"explain"},
		{"status", "--entry", "http://127.0.0.1:1", "--prefix", "/q"},
	} {
		if code, printed := run(t, journal.Log{}, "", args...); code != option.ExitUsage {
			t.Errorf("%v: exit %d, %s", args, code, printed)
		}
	}
}

// A job's life is told in order, across entries, with what is missing said.
func TestExplain(t *testing.T) {
	const job = "5c0e7a21d94b36f8"
	log := `  1.20 entry-b {"level":"info","entry":"b","event":"request_answered","job":"` + job + `","status":200,"took_ms":20,"time":1020}
no line of ours
{"level":"info","entry":"a","event":"job_accepted","job":"` + job + `","queue":"q","epoch":3,"time":1015}
{"level":"info","entry":"a","event":"run_placed","job":"` + job + `","step":0,"index":1,"run":1,"worker":"w","contact_age_ms":40,"time":1022}
{"level":"info","entry":"a","event":"run_placed","job":"another","time":1023}
{"level":"warn","entry":"a","event":"lease_lapsed","worker":"w","time":5000}
{"level":"info","entry":"c","event":"run_ended","job":"` + job + `","step":0,"index":1,"run":1,"cause":"lapsed","time":5010}
`
	code, printed := run(t, journal.Log{}, log, "explain", job)
	if code != option.ExitDone {
		t.Errorf("exit %d", code)
	}
	goldie.New(t).Assert(t, "explain", []byte(printed))
	if code, _ := run(t, journal.Log{}, log, "explain", "0000000000000000"); code != option.ExitFailed {
		t.Errorf("a job that no line names: exit %d", code)
	}
}
