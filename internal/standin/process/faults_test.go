package process_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os/exec"
	"testing"

	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/standin/fleet"
	"github.com/oriolepier/oriolepier/internal/standin/journal"
	"github.com/oriolepier/oriolepier/internal/standin/load"
	"github.com/oriolepier/oriolepier/internal/standin/process"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

// The platform loses answers and is slow while tasks are submitted, is away
// while an operator marks a domain, and is cut off from one domain until
// another has taken over its cell. Requests go on all the while.
func TestPlatformFaults(t *testing.T) {
	t.Parallel()
	site := newSite(t)
	site.publish()
	observe := process.Observer(site.ctx, site.platform, "caller")
	options := load.Options{Name: "caller", Clock: witness.SharedClock(), Seed: 2, Entries: site.offered, Tries: 12, Observe: observe}
	caller := load.New(options)
	defer caller.Close()

	site.logFaults(journal.Faults{LosePercent: 30, SlowMS: 100})
	var tasks errgroup.Group
	site.submit(caller, &tasks, 20)
	if err := tasks.Wait(); err != nil {
		t.Error(err)
	}
	site.logFaults(journal.Faults{Down: true})
	site.requests(caller, 50)
	site.markIsNotAccepted("b")
	site.logFaults(journal.Faults{})
	site.inForce(1)

	options.Name, options.Entries = "caller-a", site.offeredIn("a")
	local := load.New(options)
	defer local.Close()
	site.cutOff("a")
	site.requests(local, 50)
	// The owner that is cut off may still believe that it is one.
	site.until("another domain owns a.0", func() bool {
		return site.ownerAmong("a.0", func(entry *entry) bool { return entry.settings.FailureDomain != "a" }) != ""
	})
	site.requests(local, 50)
	site.cutOff()
	site.inForce(1)
	site.until("all accepted tasks finish", func() bool { return site.verdict().TasksOpen == 0 })
	site.stopEntries()
	site.judge(witness.Verdict{TasksAccepted: 21, RequestsSent: 150})
}

// put sets switches of the platform process.
func (site *site) put(path string, value any) {
	site.Helper()
	data, err := json.Marshal(value)
	site.check(err)
	request, err := http.NewRequestWithContext(site.ctx, http.MethodPut, site.platform+path, bytes.NewReader(data))
	site.check(err)
	answer, err := http.DefaultClient.Do(request)
	site.check(err)
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		site.Fatalf("%s: %s", path, answer.Status)
	}
}

func (site *site) logFaults(faults journal.Faults) {
	site.Helper()
	site.put("/standin/log/faults", faults)
}

// cutOff cuts failure domains off from the platform, and all others not.
func (site *site) cutOff(domains ...string) {
	site.Helper()
	site.put("/standin/log/faults", journal.Faults{Cut: domains})
	site.put("/standin/list/faults", fleet.Faults{Cut: domains})
}

// markIsNotAccepted expects the command line to say that it does not know.
func (site *site) markIsNotAccepted(domain string) {
	site.Helper()
	out, err := exec.CommandContext(site.ctx, site.binary, "out", "--log", site.platform, "--failure-domain", domain, "--timeout-ms", "1000").CombinedOutput()
	if err == nil || bytes.Contains(out, []byte("accepted")) {
		site.Errorf("out said %q while the log was away", out)
	}
}

// offeredIn is a balancer that knows only the entries of one domain.
func (site *site) offeredIn(domain string) func() []load.Entry {
	return func() []load.Entry {
		return lo.Filter(site.offered(), func(entry load.Entry, _ int) bool { return entry.FailureDomain == domain })
	}
}
