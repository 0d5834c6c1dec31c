package control

import (
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/entry/peer"
	vmlist "github.com/oriolepier/oriolepier/internal/standin/fleet"
	"github.com/oriolepier/oriolepier/internal/standin/journal"
)

// everywhereWithin is the users' limit for a change of configuration.
const everywhereWithin = 8 * clock.Second

func TestConfigurationIsInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		d.startAll()
		defer d.stopAll()
		first := d.publishTables()
		took := d.until("first tables", everywhereWithin, d.allAt(first))
		out := d.mark(first, "b", true)
		took = max(took, d.until("mark", everywhereWithin, d.allAt(out)))
		t.Logf("slowest change took %d ms of virtual time", took)
	})
}

func TestOperatorsWhoRaceGetOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		d.startAll()
		defer d.stopAll()
		base := d.publishTables()
		rt := testTables().Routes.Routes[0]
		won := d.append(base, ledger.Edit{PutRoute: new(rt.WithDeadline(700))})
		d.append(base, ledger.Edit{PutRoute: new(rt.WithDeadline(900))})
		d.until("the winner", everywhereWithin, d.allAt(won))
		d.wait(everywhereWithin)
		for name := range d.versions() {
			found, _ := route.Table{Routes: d.entry(name).ctl.options.Box.Load().Routes}.Find("lookup")
			if diff := cmp.Diff(clock.Millis(700), found.DeadlineMS); diff != "" {
				t.Errorf("%s serves another deadline (-want +got):\n%s", name, diff)
			}
		}
	})
}

// A failure domain that can't reach the log takes the tables from its peers.
func TestDomainCutFromTheLogHearsFromPeers(t *testing.T) {
	inForce(t, 1, func(t *testing.T, d *deployment, base int64) {
		d.log.SetFaults(journal.Faults{Cut: []string{"a"}})
		d.wait(2 * clock.Second)
		out := d.mark(base, "b", true)
		d.until("mark", everywhereWithin, d.allAt(out))
	})
}

// Cut off from log and peers, a domain goes on with what it has; it catches up
// when the cut ends, and never goes back on the way.
func TestIsolatedDomainServesAndCatchesUp(t *testing.T) {
	inForce(t, 1, func(t *testing.T, d *deployment, base int64) {
		stop := watchVersions(d)

		d.cutOff("a", true)
		out := d.mark(base, "b", true)
		d.wait(30 * clock.Second)
		isolated := d.entry("a-e-0").ctl
		if diff := cmp.Diff([]any{base, ""}, []any{isolated.Version(), isolated.Ready()}); diff != "" {
			t.Errorf("isolated entry (-want +got):\n%s", diff)
		}

		d.cutOff("a", false)
		d.until("the mark after the cut", everywhereWithin, d.allAt(out))
		stop()
	})
}

// A new entry that starts while the log and the VM list are away serves on what
// its peers know; an entry that restarts never serves an older version than it
// did, however old a peer's tables are.
func TestNewbornWithoutThePlatform(t *testing.T) {
	inForce(t, 1, func(t *testing.T, d *deployment, base int64) {
		d.wait(3 * clock.Second) // the VM list lags
		d.log.SetFaults(journal.Faults{Down: true})
		d.list.SetFaults(vmlist.Faults{Down: true})
		d.kill("a-e-0")
		d.wait(clock.Second)
		reborn := d.start("a-e-0")
		d.until("ready without the platform", 2*everywhereWithin, func() bool { return reborn.ctl.Ready() == "" })
		if diff := cmp.Diff(base, reborn.ctl.Version()); diff != "" {
			t.Error(diff)
		}
		d.log.SetFaults(journal.Faults{})
		d.list.SetFaults(vmlist.Faults{})
		out := d.mark(base, "b", true)
		d.until("a change after the outage", everywhereWithin, d.allAt(out))
	})
}

// An entry with a newer version refuses a peer's older one.
func TestOlderPeerDoesNotTurnAnEntryBack(t *testing.T) {
	inForce(t, 1, func(t *testing.T, d *deployment, base int64) {
		old, err := d.entry("c-e-0").ctl.configAnswer(peer.ConfigQuery{})
		if err != nil {
			t.Fatal(err)
		}
		out := d.mark(base, "b", true)
		d.until("mark", everywhereWithin, d.allAt(out))
		target := d.entry("a-e-0").ctl
		err = target.inspect(t.Context(), func() { target.configOffered("c-e-0", old.Records) })
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(out, target.Version()); diff != "" {
			t.Error(diff)
		}
	})
}

// inForce runs a test on a deployment whose first tables are in force.
func inForce(t *testing.T, workersPerDomain int, test func(t *testing.T, d *deployment, base int64)) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, workersPerDomain)
		d.startAll()
		defer d.stopAll()
		base := d.publishTables()
		d.until("first tables", everywhereWithin, d.allAt(base))
		test(t, d, base)
	})
}

// watchVersions fails the test if any entry's version ever falls.
func watchVersions(d *deployment) (stop func()) {
	var group errgroup.Group
	end := make(chan struct{})
	group.Go(func() error {
		seen := map[string]int64{}
		for {
			select {
			case <-end:
				return nil
			default:
			}
			for name, at := range d.versions() {
				if at < seen[name] {
					d.t.Errorf("%s went back from version %d to %d", name, seen[name], at)
				}
				seen[name] = at
			}
			d.wait(20)
		}
	})
	return func() {
		close(end)
		_ = group.Wait()
	}
}
