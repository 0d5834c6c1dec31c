package control

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
	vmlist "github.com/oriolepier/oriolepier/internal/standin/fleet"
	"github.com/oriolepier/oriolepier/internal/standin/journal"
	"github.com/oriolepier/oriolepier/internal/standin/machine"
)

// insistLimit is longer than all faults of a run together.
const insistLimit = 5 * clock.Minute

var chaosSeeds = flag.Int("chaos-seeds", 4, "seeds of TestChaos")

// chaosStep is one fault that begins or ends. A step never leaves the
// deployment in a state from which healed can't bring it back.
type chaosStep struct {
	name string
	do   func(c *chaos)
}

var chaosSteps = []chaosStep{
	{"kill an entry", func(c *chaos) {
		if name := c.entryName(); c.d.entry(name) != nil {
			c.d.kill(name)
		}
	}},
	{"start an entry", func(c *chaos) {
		if name := c.entryName(); c.d.entry(name) == nil {
			c.d.start(name)
		}
	}},
	{"cut a domain off", func(c *chaos) { c.d.cutOff(c.domain(), true) }},
	{"end the cuts", (*chaos).joinAll},
	{"log down", func(c *chaos) { c.d.log.SetFaults(journal.Faults{Down: true}) }},
	{"log slow and losing answers", func(c *chaos) {
		c.d.log.SetFaults(journal.Faults{SlowMS: clock.Millis(c.lots.IntN(1500)), LosePercent: c.lots.IntN(60)})
	}},
	{"log well", (*chaos).joinAll},
	{"domain out", func(c *chaos) { c.version = c.d.mark(c.version, c.domain(), true) }},
	{"domain back", func(c *chaos) { c.version = c.d.mark(c.version, c.domain(), false) }},
	{"worker restarts", (*chaos).restartWorker},
	{"worker loses answers", func(c *chaos) { c.machine().SetFaults(machine.Faults{AgentLoseNext: c.lots.IntN(20)}) }},
	{"worker is slow", func(c *chaos) { c.machine().SetFaults(machine.Faults{AgentSlowMS: clock.Millis(c.lots.IntN(3000))}) }},
	{"worker agent down", func(c *chaos) { c.machine().SetFaults(machine.Faults{AgentDown: true}) }},
	{"worker well", func(c *chaos) { c.machine().SetFaults(machine.Faults{}) }},
	{"VM list frozen", func(c *chaos) { c.d.list.SetFaults(vmlist.Faults{Frozen: true}) }},
}

// chaos draws faults by seed.
type chaos struct {
	d       *deployment
	lots    *rand.Rand
	version int64
}

func (c *chaos) entryName() string         { return c.d.seeds[c.lots.IntN(len(c.d.seeds))].Name }
func (c *chaos) domain() string            { return testDomains[c.lots.IntN(len(testDomains))] }
func (c *chaos) machine() *machine.Machine { return c.d.machines[c.lots.IntN(len(c.d.machines))] }

// restartWorker restarts a worker unless it holds an end that nobody has heard:
// a task whose end is lost with its worker can only be run again.
func (c *chaos) restartWorker() {
	vm := c.machine()
	report, err := c.d.agent.Look(c.d.t.Context(), vm.VM().Agent)
	untold := slices.ContainsFunc(report.Tasks, func(task worker.Task) bool { return task.Phase == worker.Finished })
	if err == nil && !untold {
		vm.Restart()
	}
}

func (c *chaos) joinAll() {
	for _, domain := range testDomains {
		c.d.cutOff(domain, false)
	}
}

func (c *chaos) heal() {
	c.joinAll()
	for _, vm := range c.d.machines {
		vm.SetFaults(machine.Faults{})
	}
	for _, domain := range testDomains {
		c.version = c.d.mark(c.version, domain, false)
	}
	for _, seed := range c.d.seeds {
		if c.d.entry(seed.Name) == nil {
			c.d.start(seed.Name)
		}
	}
}

// Faults drawn by seed follow each other while tasks are submitted, each under
// its key until it is accepted; afterwards all is healed and all must have
// finished once.
func TestChaos(t *testing.T) {
	for seed := range *chaosSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runChaos(t, uint64(seed)) })
		})
	}
}

func runChaos(t *testing.T, seed uint64) {
	const tasks, steps = 40, 25
	d := newDeployment(t, 3)
	d.hold = 10 * clock.Minute // longer than all faults together
	d.startAll()
	defer d.stopAll()
	c := &chaos{d: d, lots: rand.New(rand.NewPCG(seed, 0)), version: d.publishTables()}
	d.until("tables", everywhereWithin, d.allAt(c.version))
	d.wait(3 * clock.Second)

	var callers errgroup.Group
	for index := range tasks {
		run := clock.Millis(2000 + c.lots.IntN(10_000))
		begin := clock.Millis(c.lots.IntN(60_000))
		callers.Go(func() error {
			d.wait(begin)
			d.insist(fmt.Sprint("key-", index), index, run)
			return nil
		})
	}
	for range steps {
		step := chaosSteps[c.lots.IntN(len(chaosSteps))]
		t.Logf("%d ms: %s", d.clk.Now()-clock.Hour, step.name)
		step.do(c)
		d.wait(clock.Millis(c.lots.IntN(5000)))
	}
	c.heal()
	_ = callers.Wait()
	d.until("all tasks to finish", 15*clock.Minute, d.finished(tasks))
	judge(t, d, tasks)
}

// insist submits a task through one entry after another, under the same key,
// until one accepts it.
func (d *deployment) insist(key string, first int, run clock.Millis) {
	var refused error
	began := d.clk.Now()
	for try := first; d.clk.Now()-began < insistLimit && d.t.Context().Err() == nil; try++ {
		name := d.seeds[try%len(d.seeds)].Name
		if d.entry(name) != nil {
			if _, refused = d.submit(name, key, run); refused == nil {
				return
			}
		}
		d.wait(500)
	}
	d.t.Errorf("%s: not accepted in %d ms: %v", key, insistLimit, refused)
}
