package owner

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
)

// fault disturbs a world, and ends some seconds later.
type fault struct {
	name  string
	what  string // happens
	begin func(w *world, s *seat)
	end   func(w *world)
}

// someWorkers picks about a third of the workers.
func (w *world) someWorkers() []*machine {
	var picked []*machine
	for _, id := range w.ids() {
		if w.rng.IntN(3) == 0 {
			picked = append(picked, w.workers[id])
		}
	}
	return picked
}

func (w *world) current() *seat { return w.seats[len(w.seats)-1] }

// replace seats a new owner after the takeover time.
func (w *world) replace(after clock.Millis) { w.at(after, func() { w.seat() }) }

// faults are the troubles that an owner meets.
var faults = []fault{
	{name: "none", what: "nothing goes wrong"},
	{name: "worker_crash", what: "a third of the workers lose what they run and start again under their ids seconds later", begin: func(w *world, _ *seat) {
		for _, m := range w.someWorkers() {
			m.dead = true
		}
	}, end: func(w *world) {
		for _, id := range w.ids() {
			if m := w.workers[id]; m.dead {
				m.restart(w.now)
			}
		}
	}},
	{name: "worker_stands_still", what: "nothing that runs on a third of the workers gets on; they answer all calls", begin: func(w *world, _ *seat) {
		for _, m := range w.someWorkers() {
			m.StandStill(w.now)
		}
	}, end: func(w *world) {
		for _, id := range w.ids() {
			w.workers[id].GoOn(w.now)
		}
	}},
	{name: "worker_cut", what: "a third of the workers run on and cannot be reached", begin: func(w *world, _ *seat) {
		for _, m := range w.someWorkers() {
			m.reach = false
		}
	}, end: func(w *world) {
		for _, id := range w.ids() {
			w.workers[id].reach = true
		}
	}},
	{name: "worker_cut_until_unlisted", what: "the same for 6.5 s, long enough for leases to lapse and entries to expire", begin: func(w *world, _ *seat) {
		for _, m := range w.someWorkers() {
			m.reach = false
			w.at(3*clock.Second, func() { m.unlisted = !m.reach })
			w.at(6500, func() { m.reach = true })
			w.at(7500, func() { m.unlisted = false })
		}
	}},
	{name: "worker_reborn_behind_cut", what: "a third of the workers cannot be reached and start again meanwhile", begin: func(w *world, _ *seat) {
		for _, m := range w.someWorkers() {
			m.reach = false
			w.at(800, func() { m.restart(w.now) })
		}
	}, end: func(w *world) {
		for _, id := range w.ids() {
			w.workers[id].reach = true
		}
	}},
	{name: "orders_late", what: "one order in five gets no answer and is carried out 2 to 12 s later", begin: func(w *world, _ *seat) { w.lateOrders = 0.2 }, end: func(w *world) { w.lateOrders = 0 }},
	{name: "answers_lost", what: "three orders in ten are carried out and their answers lost", begin: func(w *world, _ *seat) { w.lostAnswers = 0.3 }, end: func(w *world) { w.lostAnswers = 0 }},
	{name: "store_down", what: "the store does nothing", begin: func(w *world, _ *seat) { w.storeDown = true }, end: func(w *world) { w.storeDown = false }},
	{name: "store_answers_lost", what: "four appends in ten are kept and not answered at first", begin: func(w *world, _ *seat) { w.lostAppends = 0.4 }, end: func(w *world) { w.lostAppends = 0 }},
	{name: "tasks_fail", what: "one run in five fails", begin: func(w *world, _ *seat) { w.failing = 0.2 }, end: func(w *world) { w.failing = 0 }},
	{name: "owner_killed", what: "the owner ends; another claims 1.2 s later", begin: func(w *world, s *seat) {
		s.dead = true
		w.replace(1200)
	}},
	{name: "owner_frozen", what: "the owner stands still for 4 s and goes on with what it was doing; another claims after 1.5 s", begin: func(w *world, s *seat) {
		s.frozen = true
		w.replace(1500)
		w.at(4000, func() { w.thaw(s) })
	}},
	{name: "owner_cut_from_store", what: "the owner reaches workers and not the store; another claims after 1.8 s", begin: func(w *world, s *seat) {
		s.cut = true
		w.replace(1800)
	}},
	{name: "owner_superseded_at_once", what: "another claims although all is well", begin: func(w *world, _ *seat) { w.replace(0) }},
	{name: "all_owners_killed_twice", what: "the owner ends, and its successor 150 ms after its claim", begin: func(w *world, s *seat) {
		s.dead = true
		w.at(900, func() {
			next := w.seat()
			w.at(150, func() {
				next.dead = true
				w.replace(700)
			})
		})
	}},
	{name: "jobs_cancelled", what: "half of the accepted jobs are cancelled", begin: func(w *world, s *seat) {
		for id := range w.accepted {
			if w.rng.IntN(2) == 0 {
				w.cancel(s, id)
			}
		}
	}},
}

// testJob draws a job of one to three steps.
func (w *world) testJob(number int) job.Spec {
	spec := job.Spec{ID: job.ID(fmt.Sprintf("%016x", number)), Queue: "q", Text: "x"}
	for i := range 1 + w.rng.IntN(3) {
		step := job.Step{Count: 1 + w.rng.IntN(5), MilliCPU: 1000, MemoryMB: 1000, EstimateMS: 800, Checkpointing: true}
		if i > 0 {
			step.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// play lets jobs arrive for 12 s, with faults beginning at drawn moments, and
// then waits until all are final.
func play(t *testing.T, seed uint64, troubles ...fault) *world {
	t.Helper()
	w := newWorld(t, seed, 9)
	w.seat()
	for i := range 48 {
		w.at(clock.Millis(i)*250, func() { w.submit(w.current(), w.testJob(i+1)) })
	}
	for _, trouble := range troubles {
		begin := 1500 + clock.Millis(w.rng.IntN(7000))
		if trouble.begin != nil {
			w.at(begin, func() { trouble.begin(w, w.current()) })
		}
		if trouble.end != nil {
			w.at(begin+1000+clock.Millis(w.rng.IntN(6000)), func() { trouble.end(w) })
		}
	}
	for i := range 300 {
		w.at(clock.Millis(i)*150, w.judge)
	}
	w.run(45 * clock.Second)
	w.checkEnd(w.current())
	return w
}

func TestFaultsAlone(t *testing.T) {
	for _, trouble := range faults {
		t.Run(trouble.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				w := play(t, seed, trouble)
				if diff := cmp.Diff([]string(nil), w.faults); diff != "" {
					t.Errorf("seed %d: promises broken (-want +got):\n%s", seed, diff)
				}
			}
		})
	}
}

func TestFaultsInPairs(t *testing.T) {
	for i, first := range faults {
		for _, second := range faults[i:] {
			t.Run(first.name+"+"+second.name, func(t *testing.T) {
				t.Parallel()
				w := play(t, 100, first, second)
				if diff := cmp.Diff([]string(nil), w.faults); diff != "" {
					t.Errorf("promises broken (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// TestFaultsPage keeps docs/FAULTS.md in step with what is played.
func TestFaultsPage(t *testing.T) {
	var page strings.Builder
	page.WriteString(faultsHead)
	for _, trouble := range faults {
		fmt.Fprintf(&page, "| `%s` | %s |\n", trouble.name, trouble.what)
	}
	page.WriteString(faultsTail)
	goldie.New(t, goldie.WithFixtureDir("../../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "FAULTS", []byte(page.String()))
}

const faultsHead = `# Faults

Made by ` + "`go test ./internal/schedule/owner -run TestFaultsPage -update`" + ` from the table that the tests play.
` + "`go test ./internal/schedule/owner -run TestFaults`" + ` plays each fault alone with four seeds and each pair once, at drawn
moments, against the real owner in virtual time: nine workers, 48 jobs of one to three steps, 45 s. The workers are the
stand-ins that the demo uses, with clocks up to 2 % slow.

| fault | what happens |
|---|---|
`

const faultsTail = `
## What is judged

| promise | broken when |
|---|---|
| one place | a task runs on two workers at once |
| done once | a task starts after an end that its worker was told is recorded |
| order | a task starts before the steps that it waits for are done |
| room | a worker is over its processors or memory |
| refused is not run | a task starts whose job was refused and never accepted |
| asked for | a task starts that nobody submitted, or 3 s after its job's cancellation was acknowledged |
| nothing lost | an accepted job is not final at the end, or is final without cause |
| true states | a job is shown as completed and a task of it was never done |

Beside these: ` + "`site/ownership`" + ` plays who owns, ` + "`site/tables`" + ` and ` + "`site/roster`" + ` lost history and outages,
` + "`operator/standin`" + ` kills real processes, and ` + "`deploy/days`" + ` has days for the bench.

## Links

` + "`go test ./internal/site/linkshard`" + ` plays a pool, its links and forty workers in virtual time, without a network.

| fault | what must hold |
|---|---|
| a link is killed with a start and a hold under way | the start counts as unanswered, the hold is asked elsewhere; no other worker gets another link |
| a link is frozen for 3 s and goes on | it carries out nothing that it was sent before |
| a link that the owner does not hear | its workers are asked elsewhere within a second, none counts as silent |
| a link that does not reach its workers | the owner's entry asks first, and calls them until the link may again |
| a worker that answers nobody | is reported as silent, after its link and the owner have asked |
| a newer owner opens a session | the older one's ends, and it gets no other |
| a batch arrives twice | it is answered once; the worker's own rules cover the second start |
| batches that cannot be read, in either direction | the session ends, the calls go on from elsewhere |
| all links restart at once | the owner's entry calls until they are back |
| an entry leaves | it answers what it has and gets nothing new |
| fields of a newer version | are ignored |

## What went wrong elsewhere

| at other operators | here |
|---|---|
| work of a worker that was only silent was started again or given up | ` + "`worker_cut`, `worker_cut_until_unlisted`, `TestLinkCutOffFromItsWorkers`, `TestLinkCutOffFromTheOwner`" + ` |
| both processes of a hand-over acted | ` + "`owner_superseded_at_once`, `owner_frozen`, `TestNewerOwnerEndsTheOlderSession`" + ` |
| a paused process acted on an expired permission | ` + "`owner_frozen`, `TestFrozenLinkDropsWhatIsOld`" + `; starts carry the end of their lease |
| a malformed message took a process down | ` + "`TestMalformedResults`, `TestMalformedOrdersEndTheSession`, `FuzzOrders`, `FuzzResults`, `TestFrameAboveTheLimit`" + ` |
| after a lost answer work ran again, or was said not to have run | ` + "`answers_lost`, `store_answers_lost`, `TestKilledLink`, `TestOutcomes` of site/relay" + ` |
| after a restart a server that left, or a withdrawn key, was in use | ` + "`TestFollow` of site/roster and site/tables" + `: a process that starts knows nothing and reads the newest records |

## Not proved without the bench

- A late start that reaches a worker's next incarnation before the owner has reached it. Nothing could stop it.
- Harm to lasting tasks: pairs that ruin each other and single tasks over target are played, a whole day is not.
- Clocks that jump: the time of day orders jobs and ages final states, and nothing else. No test shows it.
- An owner too weak for its workers: it reads their reports too late, leases lapse, and ends that nobody read count as
  lapsed. On tsetseg-vault-grown an owner with 0.192 of a core broke LOST, TWICE and BUDGET so. The strongest entry owns
  now, and other entries make its calls.
- Links and owner in one play: the owner's matrix plays its calls as lost, late or unanswered, links are played apart.
- Silent connections: a peer that never reads is played; a store and workers that fall silent on old connections are not.
`
