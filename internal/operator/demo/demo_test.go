package demo

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// All jobs complete, and no guarantee is violated, while a failure domain is taken
// out of service, the store is down for a while and an entry is stopped.
func TestRun(t *testing.T) {
	var out, progress bytes.Buffer
	if err := Run(t.Context(), Options{Out: &out, Progress: &progress, Seed: 7}); err != nil {
		t.Fatalf("%v\n%s%s", err, progress.String(), out.String())
	}
	var result Result
	if err := json.Unmarshal(out.Bytes(), &result); err != nil {
		t.Fatal(err)
	}
	want := Result{Accepted: jobs, Completed: jobs, DoneRuns: jobs * (jobTasks + 1), Violations: []string{}}
	if diff := cmp.Diff(want, result); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}
