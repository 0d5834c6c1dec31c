package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/oriolepier/oriolepier/internal/operator/option"
)

// No promise is broken under the faults of two seeds, one with links and one without.
func TestRun(t *testing.T) {
	program := filepath.Join(t.TempDir(), "oriolepier")
	if output, err := exec.Command("go", "build", "-o", program, "../../..").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playForTest(t, program, seed)
		})
	}
}

// playForTest plays a seed, which must show work, faults and changes of the owner.
func playForTest(t *testing.T, program string, seed uint64) {
	t.Helper()
	var out, progress bytes.Buffer
	flags := option.Soak{Seed: seed, Seeds: 1, For: 15 * time.Second, Entries: 4, Workers: 24, Links: "seed", Keep: t.ArtifactDir()}
	err := Run(t.Context(), Options{Soak: flags, Program: program, Out: &out, Progress: &progress})
	if err != nil {
		t.Fatalf("%v\n%s%s", err, progress.String(), out.String())
	}
	var verdict Verdict
	if err := json.Unmarshal(out.Bytes(), &verdict); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(map[string]int{}, verdict.Violations); diff != "" {
		t.Errorf("broken promises (-want +got):\n%s", diff)
	}
	if verdict.Done == 0 || verdict.Faults == 0 || verdict.Owners < 2 {
		t.Errorf("the seed showed nothing: %+v", verdict)
	}
}
