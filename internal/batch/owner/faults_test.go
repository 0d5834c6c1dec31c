package owner

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// invariants are what the witness judges, each with the name it reports.
var invariants = [][2]string{
	{"two_places", "a task runs in two places at once"},
	{"doubled", "a task starts or finishes again after it had finished"},
	{"overcommitted", "the tasks on a worker add up to more than it has"},
	{"start_in_out_domain", "a task starts in a failure domain more than 4 s after it was taken out"},
	{"not_resumed", "an evicted task goes on from anything but its newest checkpoint, or twice"},
	{"lost", "an accepted task has not ended once all has healed, is unknown, or is called finished without having run to its end"},
}

// uncovered is what the matrix does not prove.
var uncovered = []string{
	"A task that ended, or was checkpointed and stopped, on a worker that died before anyone read its report is run again, from its newest recorded checkpoint. The worker has no memory that outlives it; the witness excuses exactly these.",
	"The same holds for a failure domain that is cut off from the log and from all others for longer than hold, lease and margins together: what ended inside it after the cut is run again elsewhere. A longer hold makes this rarer and the recovery of a lost failure domain slower.",
	"A clock that runs more than one part in a hundred faster or slower than another.",
	"A log that gives readers different orders, loses acknowledged records within its retention, or drops a cell's newest snapshot while no entry lives.",
	"A worker that breaks its contract: obeys an order after its time, runs on past its lease, or forgets an attempt that nobody told it to forget.",
	"An append of an entry that was paused for longer than the memory of ended jobs (24 h of cell time).",
	"A change of the number of a failure domain's cells while it is in service; the checker of tables refuses it.",
	"Triples of faults, and pairs other than the 40 that the seed draws.",
	"Processes of their own: the matrix runs in one thread in virtual time. Separate processes are tried end to end elsewhere.",
}

func faultsPage() string {
	var page strings.Builder
	line := func(format string, values ...any) { fmt.Fprintf(&page, format+"\n", values...) }
	line("# Faults of tasks\n")
	line("Made by `go test ./internal/batch/owner -run TestFaultsPage -update` from the tables that the tests run.")
	line("`go test ./internal/batch/owner -run 'Matrix|Pairs'` runs every fault at every step, %d lives of 14 tasks in three", len(faultRows)*len(steps))
	line("failure domains with two entries and two workers each, and 40 pairs of faults drawn by seed. Each life submits")
	line("through changing entries until a submission is acknowledged, cancels one task, throttles one, takes a failure")
	line("domain out and back, and shuts one entry down. One witness judges it from what workers ran and callers were told.\n")
	line("## Invariants\n\n| name | broken when |\n|---|---|")
	for _, row := range invariants {
		line("| %s | %s |", row[0], row[1])
	}
	line("\n## Faults\n\nEach comes at each of the %d steps below, around the entry or worker that is at the step.\n\n| fault | what happens |\n|---|---|", len(steps))
	for _, row := range faultRows {
		line("| %s | %s |", row.name, row.what)
	}
	line("\n## Steps\n\n| step | at the first or second time that |\n|---|---|")
	for _, row := range steps {
		line("| %s | %s |", row.name, row.shown)
	}
	line("\n## Safeguards\n\nEach was switched off and the matrix noticed (`TestMatrixNoticesBrokenSafeguards`).\n\n| safeguard off | fault | invariant that breaks |\n|---|---|---|")
	for _, row := range variants {
		line("| %s | %s | %s |", row.name, row.fault, row.breaks)
	}
	line("\nFencing alone breaks nothing here: a start also has to name the next attempt and fit the worker's size as the")
	line("state knows it, and both are checked at the record's offset. It is therefore switched off together with the size check.\n")
	line("## Not covered\n")
	for _, text := range uncovered {
		line("- %s", text)
	}
	return page.String()
}

func TestFaultsPage(t *testing.T) {
	goldie.New(t, goldie.WithFixtureDir("../../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "FAULTS", []byte(faultsPage()))
}
