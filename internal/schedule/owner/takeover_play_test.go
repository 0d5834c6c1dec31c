package owner

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	standin "github.com/oriolepier/oriolepier/internal/standin/worker"
)

// takeoverSeeds is the number of seeds of each row of the takeover plays without -seeds.
const takeoverSeeds = 12

// takeoverSetting is a choice of how long an owner renews leases, and of what the next
// owner assumes of that.
type takeoverSetting struct {
	name          string
	window, limit clock.Millis
	falseWindow   clock.Millis // window that owners record instead of theirs; 0: none
	newEntry      bool         // no owner asks the next one's entry
	inTime        bool         // lost tasks must run again within longestWait
}

var takeoverSettings = []takeoverSetting{
	{name: "6 s without proof", window: 6000, limit: 6000},
	{name: "1.5 s, 6 s with proof", window: 1500, limit: 6000, inTime: true},
	{name: "the same, entry is new", window: 1500, limit: 6000, newEntry: true},
	{name: "1.5 s only", window: 1500, limit: 1500, inTime: true},
	{name: "promise is broken", window: 6000, limit: 6000, falseWindow: 1500},
}

// newTakeoverPlay returns a hostile simulation of long-running tasks on workers whose
// clocks drift.
func newTakeoverPlay(t *testing.T, seed uint64, setting takeoverSetting) *simulation {
	t.Helper()
	sim := newHostileSimulation(t, seed, 9)
	sim.times.RenewWindow, sim.times.RenewLimit = setting.window, setting.limit
	sim.falseWindow = setting.falseWindow
	sim.drawAppend = nil // appends are quick, so that the wait is that for leases
	sim.drawTakeover = func() takeoverSteps {
		step := func() clock.Millis { return clock.Millis(1 + sim.rng.IntN(100)) }
		return takeoverSteps{fence: step(), load: step(), firstTick: step()}
	}
	sim.drawNewEntry = func() bool { return setting.newEntry }
	sim.drawWork = func(job.Task) standin.Work { return standin.Work{Room: fleet.Room{MilliCPU: 1000, MemoryMB: 1000}} }
	sim.simOwner()
	for number := range 6 {
		sim.at(clock.Millis(300+100*number), func() { sim.submit(sim.currentOwner(), sim.spreadJob(number+1)) })
	}
	return sim
}

// Times of a takeover play.
const (
	takeoverPlayAt     clock.Millis = 6 * clock.Second  // when the owner is lost
	takeoverPlayLength clock.Millis = 26 * clock.Second // of the play
	// longestWait is how long a long-running task may wait for its next run after the last
	// disruption: calm begins 3 s after that, and the wait is judged over 7 s of calm.
	longestWait clock.Millis = 10 * clock.Second
)

// playTakeover plays the loss of an owner, which is killed, stands still or is cut off with
// a failure domain of workers, and the loss of other workers 1.2 s before to 0.5 s after. It
// returns the longest time from the later of the two until a task of a lost worker runs again.
func (sim *simulation) playTakeover(kind uint64) clock.Millis {
	first := sim.currentOwner()
	cut := sim.randomDomain()
	sim.at(takeoverPlayAt-2*clock.Second, func() { sim.lateOrders = 0.1 })
	sim.at(takeoverPlayAt+4*clock.Second, func() { sim.lateOrders = 0 }) // so that they delay no new start
	sim.at(takeoverPlayAt, func() {
		switch kind % 3 {
		case 0:
			first.down = true
		case 1:
			sim.freeze(first, clock.Millis(1500+sim.rng.IntN(6000)))
		default:
			sim.isolate(first, cut...)
		}
		sim.startOwnerAfter(clock.Millis(300 + sim.rng.IntN(1700)))
	})
	lost := lostTasks{sim: sim, runsAgainAt: map[job.Task]clock.Millis{}}
	sim.at(takeoverPlayAt-1200+clock.Millis(sim.rng.IntN(1700)), func() { lost.loseWorkers(cut) })
	for at := clock.Millis(0); at < takeoverPlayLength; at += hostileCheckPeriod {
		sim.at(at, sim.checkDuplicateRuns)
	}
	sim.run(takeoverPlayLength)
	return lost.longestWait()
}

// lostTasks are the tasks of a worker that was lost for good.
type lostTasks struct {
	sim         *simulation
	since       clock.Millis              // when their worker or their owner was lost, whichever was later
	runsAgainAt map[job.Task]clock.Millis // 0: it does not yet
}

// loseWorkers loses a worker for good, and cuts another one off that runs on. Both are not
// among those that are spared.
func (l *lostTasks) loseWorkers(spared []string) {
	l.since = max(l.sim.now, clock.Hour+takeoverPlayAt)
	candidates := slices.DeleteFunc(slices.Clone(l.sim.workerIDs()), func(id string) bool { return slices.Contains(spared, id) })
	lost, cutOff := l.sim.workers[candidates[0]], l.sim.workers[candidates[1]]
	for _, task := range lost.Tasks() {
		l.runsAgainAt[task] = 0
	}
	lost.down, cutOff.reachable = true, false
	l.sim.at(0, l.observe)
}

// observe notes the lost tasks that run again.
func (l *lostTasks) observe() {
	const period = 25
	for _, id := range l.sim.workerIDs() {
		m := l.sim.workers[id]
		if m.down {
			continue
		}
		for _, task := range m.Tasks() {
			if at, isLost := l.runsAgainAt[task]; isLost && at == 0 {
				l.runsAgainAt[task] = l.sim.now
			}
		}
	}
	l.sim.at(period, l.observe)
}

// longestWait returns the longest time until one of them runs again. One that does not
// counts until now.
func (l *lostTasks) longestWait() clock.Millis {
	longest := clock.Millis(0)
	for _, at := range l.runsAgainAt {
		if at == 0 {
			at = l.sim.now
		}
		longest = max(longest, at-l.since)
	}
	return longest
}

// playOutage plays an outage of the store beside an owner that is well, and returns how
// many runs lapsed.
func (sim *simulation) playOutage(length clock.Millis, entriesSilent bool) int {
	lapsed := 0
	for _, id := range sim.workerIDs() {
		inner := sim.workers[id].OnEnd
		sim.workers[id].OnEnd = func(task job.Task, cause fleet.EndCause) {
			if cause == fleet.EndLeaseLapsed {
				lapsed++
			}
			inner(task, cause)
		}
	}
	begin := takeoverPlayAt + clock.Millis(sim.rng.IntN(1000))
	sim.at(begin, func() { sim.storeDown, sim.entriesSilent = true, entriesSilent })
	sim.at(begin+length, func() { sim.storeDown, sim.entriesSilent = false, false })
	sim.run(takeoverPlayLength)
	for _, id := range sim.workerIDs() {
		sim.workers[id].Advance(sim.now)
	}
	return lapsed
}

// TestTakeoverPlays shows both sides of the time that the next owner waits: how long the
// tasks of lost workers stand still, and the runs that overlap or lapse in outages of the store.
// It guards against a wait longer than users may wait, and against one that is too short.
func TestTakeoverPlays(t *testing.T) {
	plays := takeoverSeeds * uint64(*hostileSeeds)
	var page strings.Builder
	for _, setting := range takeoverSettings {
		overlaps, longest := 0, clock.Millis(0)
		for seed := range plays {
			sim := newTakeoverPlay(t, seed, setting)
			longest = max(longest, sim.playTakeover(seed))
			overlaps += min(len(sim.faults), 1)
			if setting.falseWindow == 0 {
				sim.report(seed, setting.name)
			}
		}
		fmt.Fprintf(&page, "%-24s %3d of %d plays with overlap, longest wait %5d ms", setting.name, overlaps, plays, longest)
		if setting.falseWindow == 0 {
			fmt.Fprintf(&page, ", lapsed in outages, with and without answers of entries:%s", outages(t, setting))
		}
		page.WriteByte('\n')
		if setting.inTime && longest > longestWait {
			t.Errorf("%s: tasks of lost workers stand still for %d ms, want at most %d", setting.name, longest, longestWait)
		}
		if setting.falseWindow != 0 && overlaps == 0 {
			t.Errorf("%s: the plays show no overlap", setting.name)
		}
	}
	if *hostileSeeds > 1 {
		t.Logf("\n%s", page.String())
		return
	}
	goldie.New(t).Assert(t, "takeover_plays", []byte(page.String()))
}

// outages returns the runs that lapse in outages of some lengths, while the other entries
// answer the owner and while they do not.
func outages(t *testing.T, setting takeoverSetting) string {
	t.Helper()
	var text strings.Builder
	for _, length := range []clock.Millis{3000, 5000, 7000} {
		answered, silent := 0, 0
		for seed := range uint64(3) {
			answered += newTakeoverPlay(t, seed, setting).playOutage(length, false)
			silent += newTakeoverPlay(t, seed, setting).playOutage(length, true)
		}
		fmt.Fprintf(&text, " %d s %d and %d", length/clock.Second, answered, silent)
	}
	return text.String()
}
