package command

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
	"github.com/oriolepier/oriolepier/internal/standin/journal"
)

// claim is what one command said, with the writers that it appended as.
type claim struct {
	args    string
	said    string
	writers map[string]bool
}

// Operators race through a log that is down, slow, refuses or loses answers,
// also after the command has given up. Whatever a command claims is held against the
// log as it is when all has settled.
func TestClaimsAreTrue(t *testing.T) {
	tables := edition(t, "", "")
	counts := map[string]int{}
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			claims, log := race(t, seed, tables)
			truth := judged(t, log)
			for _, claim := range claims {
				word, _, _ := strings.Cut(claim.said, ":")
				counts[word]++
				if problem := claim.mismatch(word, truth); problem != "" {
					t.Errorf("seed %d: %s said %q, but %s", seed, claim.args, claim.said, problem)
				}
			}
		})
	}
	t.Logf("claims: %v", counts)
	for _, word := range []string{"accepted", "rejected", "unknown", "not published"} {
		if counts[word] < 5 {
			t.Errorf("the run proves little: %v", counts)
		}
	}
}

// Runs three operators side by side under changing faults.
func race(t *testing.T, seed uint64, tables []string) ([]claim, *journal.Journal) {
	log := journal.New(journal.Options{Clock: clock.New(), Seed: seed})
	sh := &shell{t: t, runners: Runners{Log: func(string, *http.Client) stream.Log { return stream.Log{Read: log.Read, Append: log.Append} }}}
	sh.run("tables", append([]string{"publish", "--log", address}, tables...)...)
	lots := rand.New(rand.NewPCG(seed, 5))
	var group errgroup.Group
	claims := make([]claim, 24)
	for operator := range 3 {
		own := rand.New(rand.NewPCG(seed, uint64(operator)))
		group.Go(func() error {
			for turn := range len(claims) / 3 {
				claims[operator*len(claims)/3+turn] = act(t.Context(), log, own)
				_ = clock.New().Sleep(t.Context(), clock.Millis(own.IntN(3000)))
			}
			return nil
		})
	}
	group.Go(func() error {
		for range 30 {
			log.SetFaults([]journal.Faults{
				{}, {}, {LoseNext: 1}, {LosePercent: 50}, {SlowMS: 3000}, {SlowMS: 9000}, {Down: true}, {Refuse: true},
			}[lots.IntN(8)])
			_ = clock.New().Sleep(t.Context(), clock.Millis(500+lots.IntN(4000)))
		}
		log.SetFaults(journal.Faults{})
		return nil
	})
	_ = group.Wait() // none fails
	return claims, log
}

func act(ctx context.Context, log *journal.Journal, lots *rand.Rand) claim {
	made := claim{writers: map[string]bool{}}
	refused := lots.IntN(10) == 0 // for as long as this command tries
	deaf := lots.IntN(10) == 0    // from its first append on
	spy := stream.Log{Read: func(ctx context.Context, name string, from stream.Offset, limit int) (stream.Page, error) {
		if deaf && len(made.writers) > 0 {
			return stream.Page{}, fault.Newf(fault.Unknown, "read", name, "no answer")
		}
		return log.Read(ctx, name, from, limit)
	}, Append: func(ctx context.Context, name string, data []byte) (stream.Offset, error) {
		if refused {
			return 0, fault.Newf(fault.NotRun, "append", name, "the log is closed")
		}
		change, _ := ledger.Decode(data)
		made.writers[change.Writer] = true
		offset, err := log.Append(ctx, name, data)
		if deaf && err == nil {
			return 0, fault.Newf(fault.Unknown, "append", name, "no answer")
		}
		return offset, err
	}}
	args := []string{
		[]string{"out", "back"}[lots.IntN(2)], "--log", address, "--timeout-ms", fmt.Sprint(1000 + lots.IntN(9000)),
		"--failure-domain", []string{"a", "b", "none"}[lots.IntN(3)],
	}
	var out, errOut bytes.Buffer
	Run(ctx, args, &out, &errOut, Runners{Log: func(string, *http.Client) stream.Log { return spy }})
	made.args, made.said = strings.Join(args, " "), out.String()
	return made
}

// Reads the log from its beginning and returns the first verdict on each
// writer's change.
func judged(t *testing.T, log *journal.Journal) map[string]ledger.Verdict {
	_ = clock.New().Sleep(t.Context(), clock.Minute) // what is on its way arrives
	page, err := log.Read(t.Context(), ledger.Stream, 1, 1000)
	if err != nil {
		t.Fatal(err)
	}
	state, truth := ledger.New(), map[string]ledger.Verdict{}
	for _, record := range page.Records {
		var verdict ledger.Verdict
		state, verdict = state.With(record)
		if _, known := truth[verdict.Writer]; !known {
			truth[verdict.Writer] = verdict
		}
	}
	return truth
}

// Says in what the claim is wrong, if it is.
func (made claim) mismatch(word string, truth map[string]ledger.Verdict) string {
	var verdicts []ledger.Verdict
	for writer := range made.writers {
		if verdict, ok := truth[writer]; ok {
			verdicts = append(verdicts, verdict)
		}
	}
	switch word {
	case "accepted":
		if len(verdicts) != 1 || verdicts[0].Kind != ledger.Accepted || made.said != fmt.Sprintf("accepted: version %d\n", verdicts[0].Offset) {
			return fmt.Sprint("the log has ", verdicts)
		}
	case "rejected":
		if len(verdicts) != 1 || verdicts[0].Kind == ledger.Accepted || made.said != fmt.Sprintf("rejected: %s\n", verdicts[0].Reason) {
			return fmt.Sprint("the log has ", verdicts)
		}
	case "not published", "":
		return cmp.Diff(0, len(verdicts))
	}
	return ""
}
