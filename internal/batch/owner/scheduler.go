package owner

import (
	"strings"

	"golang.org/x/time/rate"

	"github.com/oriolepier/oriolepier/internal/base/amount"
	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/batch/agenda"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/batch/colocation"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/batch/placement"
	"github.com/oriolepier/oriolepier/internal/batch/queue"
	"github.com/oriolepier/oriolepier/internal/batch/quota"
	"github.com/oriolepier/oriolepier/internal/platform/worker"
)

// scheduler is the owner's working memory. It is built from the state when the
// cell is won and thrown away when it is lost; nothing in it has to last.
type scheduler struct {
	owner  *Owner
	closed bool         // handing over: nothing new
	beat   clock.Millis // newest heartbeat

	index     *placement.Index
	waiting   *queue.Queue
	shares    *quota.Shares
	estimator *colocation.Estimator

	placed  map[string]placement.Worker // as last put into the index
	serving map[string]int              // workers in service and in reach, by pool
	inPool  map[string]string           // pool of each of those workers
	taken   map[string]amount.Amount    // committed by worker
	commits map[string]commit           // by job
	queued  map[string]clock.Millis     // by job: when it began to wait here
	plans   map[string]plan             // starts and hand-overs not yet read back
	delayed *agenda.Agenda              // queued jobs in backoff
	reject  []rejected                  // by the newest pick

	orders *agenda.Agenda   // jobs whose attempt needs an order
	tasks  map[string]*task // by job
	outbox *agenda.Agenda   // jobs with something to tell another cell

	pace     *rate.Limiter // evacuation
	leavers  []string      // jobs to move away, urgent first
	surveyed clock.Millis  // when leavers was worked out
	nextSlow clock.Millis  // next round of what is done once a second

	suspects map[string]clock.Millis // workers reported out of reach, and since when
	trials   map[string]*trial       // workers that fail what they start
	throttle map[string]bool         // throttled jobs
	informed bool                    // usage was reported since relief was last decided
	copying  copying
	serial   int64 // of the newest plan
}

// commit is what a job takes on a worker.
type commit struct {
	vm   string
	size amount.Amount
	team string
}

// plan is a record about a queued job that was not read back yet.
type plan struct {
	serial  int64
	kind    cell.Kind
	attempt int
	vm      string
}

// rejected is a job that can't be placed here.
type rejected struct {
	id     string
	reason string
	never  bool
}

func newScheduler(owner *Owner, now clock.Millis) *scheduler {
	sched := &scheduler{
		owner: owner, beat: now,
		index:     placement.New(owner.options.Seed),
		shares:    quota.New(owner.world.Config.Routes.Teams, owner.plant.whole),
		estimator: colocation.New(colocation.Options{}),
		serving:   map[string]int{}, inPool: map[string]string{},
		placed: map[string]placement.Worker{}, taken: map[string]amount.Amount{},
		commits: map[string]commit{}, queued: map[string]clock.Millis{}, plans: map[string]plan{},
		delayed: agenda.New(), orders: agenda.New(), tasks: map[string]*task{}, outbox: agenda.New(),
		suspects: map[string]clock.Millis{}, trials: map[string]*trial{}, throttle: map[string]bool{},
	}
	sched.waiting = queue.New(queue.Options{Share: sched.shares.Share})
	// Harm ranks workers and forbids none (no MaxHarm): batch work must finish
	// also beside services that look slow for another cause.
	sched.index.Harm = sched.estimator.Harm
	sched.refit()
	for _, id := range owner.state.IDs() {
		sched.sync(id, now)
	}
	sched.copying.next = now + sched.within(firstSnapshotAfter)
	return sched
}

// refit follows a change of the plant.
func (sched *scheduler) refit() {
	site := sched.owner.plant
	if sched.pace == nil || sched.pace.Limit() != rate.Limit(site.moves) {
		// A new limiter, since changing one reads the real clock.
		sched.pace = rate.NewLimiter(rate.Limit(site.moves), max(int(site.moves), 1))
	}
	sched.shares.SetTeams(sched.owner.world.Config.Routes.Teams, site.whole)
	for _, name := range sortedKeys(sched.placed) {
		if _, still := site.machines[name]; !still {
			sched.index.Remove(name)
			sched.estimator.Forget(name)
			delete(sched.placed, name)
			sched.count(name, "")
		}
	}
	for _, name := range site.names {
		if !sched.owner.readings[name].Known() {
			sched.owner.look(name)
		}
		sched.put(name)
	}
	sched.surveyed = 0
	sched.waiting.Freed()
}

// put brings a worker's row in the index up to date.
func (sched *scheduler) put(name string) {
	vm, known := sched.owner.plant.machines[name]
	if !known {
		return
	}
	row := placement.Worker{
		Name: name, Rack: vm.Rack, Domain: vm.FailureDomain, Pool: vm.pool.Name,
		Size: vm.Size, Reserve: sched.reserve(vm), Committed: sched.taken[name],
		SetAside: sched.unusable(name, vm),
	}
	sched.serve(name, vm)
	if sched.placed[name] == row {
		return
	}
	sched.placed[name] = row
	sched.index.Put(row)
}

// reserve returns what batch tasks must leave free on a worker: the pool's share,
// and more while a worker that came back is warming up.
func (sched *scheduler) reserve(vm machine) amount.Amount {
	usual := vm.usualReserve()
	if vm.backAt == 0 {
		return usual
	}
	return placement.Ramp(vm.Size, usual, sched.owner.now()-vm.backAt, vm.pool.WarmupMS)
}

// warmUp lets more batch work onto workers that came back.
func (sched *scheduler) warmUp(now clock.Millis) {
	for name, vm := range sched.owner.plant.machines {
		if vm.backAt != 0 && now-vm.backAt <= vm.pool.WarmupMS+2*clock.Second {
			sched.put(name)
			sched.waiting.FreedRoom(sched.index.Room(name))
		}
	}
}

// serve counts a worker for its pool while it is in service and not dropped.
func (sched *scheduler) serve(name string, vm machine) {
	kept := sched.owner.state.VM(name)
	if vm.stopped || vm.gone || kept != nil && kept.Dropped != 0 {
		sched.count(name, "")
		return
	}
	sched.count(name, vm.pool.Name)
}

func (sched *scheduler) count(name, pool string) {
	old := sched.inPool[name]
	if old == pool {
		return
	}
	sched.serving[old]--
	sched.serving[pool]++
	sched.inPool[name] = pool
	if pool == "" {
		delete(sched.inPool, name)
	}
}

// unusable reports whether a worker gets no new task for now.
func (sched *scheduler) unusable(name string, vm machine) bool {
	if vm.stopped || vm.gone || !sched.owner.readings[name].Known() {
		return true
	}
	if kept := sched.owner.state.VM(name); kept != nil && kept.Dropped != 0 {
		return true
	}
	_, suspect := sched.suspects[name]
	return suspect || sched.setAside(name)
}

// handle follows one applied record.
func (sched *scheduler) handle(event cell.Event, now clock.Millis) {
	if event.ID != "" {
		sched.follow(event, now)
		sched.sync(event.ID, now)
	}
	switch event.Kind {
	case cell.KindSilent:
		sched.suspect(event.VM, now)
	case cell.KindDrop, cell.KindReadmit:
		sched.put(event.VM)
	}
}

func (sched *scheduler) follow(event cell.Event, now clock.Millis) {
	switch event.Kind {
	case cell.KindStart, cell.KindHand, cell.KindPark, cell.KindGiveBack:
		if sched.owner.mine(event) {
			delete(sched.plans, event.ID)
		}
	case cell.KindEnd:
		if event.Valid {
			sched.attemptEnded(event, now)
		}
	}
	if event.Kind == cell.KindStart && event.Valid && sched.owner.mine(event) {
		sched.tasks[event.ID] = &task{attempt: event.Job.Attempt, own: true, since: now}
	}
}

// sync makes the working memory agree with the state about one job. It can be
// called at any time and any number of times.
func (sched *scheduler) sync(id string, now clock.Millis) {
	entry, known := sched.owner.state.Job(id)
	if !known {
		entry = &cell.Job{ID: id, Phase: job.Cancelled}
	}
	planned, recorded := sched.plans[id]
	sched.commit(id, sched.wanted(entry, planned))
	sched.enqueue(entry, entry.Phase == job.Queued && !recorded, now)
	sched.track(entry, now)
	if entry.Phase == job.Handed || entry.Result {
		sched.outbox.SetIfAbsent(id, now)
	} else {
		sched.outbox.Remove(id)
	}
}

// wanted returns what a job takes of a worker, by the state and by plans whose
// outcome is unknown.
func (sched *scheduler) wanted(entry *cell.Job, planned plan) commit {
	switch {
	case entry.Active():
		size := entry.Spec.Size
		if old := sched.commits[entry.ID]; old.vm == entry.VM {
			size = size.Max(old.size)
		}
		return commit{vm: entry.VM, size: size, team: entry.Spec.Team}
	case planned.vm != "":
		return commit{vm: planned.vm, size: entry.Spec.Size, team: entry.Spec.Team}
	}
	return commit{}
}

// commit replaces what a job takes.
func (sched *scheduler) commit(id string, next commit) {
	old := sched.commits[id]
	if old == next {
		return
	}
	if old.vm != "" {
		sched.index.Release(old.vm, old.size)
		sched.shares.Refund(old.team, old.size)
		sched.take(old.vm, amount.Amount{}.Sub(old.size))
		sched.waiting.FreedRoom(sched.index.Room(old.vm))
		delete(sched.commits, id)
	}
	if next.vm != "" {
		sched.index.Commit(next.vm, next.size)
		sched.shares.Charge(next.team, next.size)
		sched.take(next.vm, next.size)
		sched.commits[id] = next
	}
}

func (sched *scheduler) take(vm string, size amount.Amount) {
	sum := sched.taken[vm].Add(size)
	sched.taken[vm] = sum
	if sum.IsZero() {
		delete(sched.taken, vm)
	}
	if row, placed := sched.placed[vm]; placed {
		row.Committed = sum
		sched.placed[vm] = row
	}
}

// enqueue puts a job into the queue or takes it out.
func (sched *scheduler) enqueue(entry *cell.Job, wanted bool, now clock.Millis) {
	if !wanted {
		sched.delayed.Remove(entry.ID)
	}
	wanted = wanted && !sched.delayed.Has(entry.ID)
	_, queued := sched.queued[entry.ID]
	switch {
	case wanted && !queued:
		sched.queued[entry.ID] = now
		_ = sched.waiting.Restore(itemOf(entry)) // can't be in the queue twice
	case !wanted && queued:
		delete(sched.queued, entry.ID)
		sched.waiting.Remove(entry.ID)
		sched.index.Unhold(entry.ID)
	}
}

// itemOf puts jobs whose refusal would be the same into one lane.
func itemOf(entry *cell.Job) queue.Item {
	return queue.Item{
		ID: entry.ID, Team: entry.Spec.Team, Class: entry.Spec.Class,
		Lane: strings.Join(entry.Spec.Pools, ","), Size: entry.Spec.Size, Since: entry.Since,
	}
}

// tick does what is due.
func (sched *scheduler) tick(now clock.Millis) {
	sched.sendOrders(now)
	sched.tellOthers(now)
	if sched.closed {
		return
	}
	if now >= sched.nextSlow {
		sched.nextSlow = now + clock.Second
		sched.slowTick(now)
	}
	sched.evacuate(now)
	sched.wake(now)
	sched.place(now)
	sched.snapshot(now)
}

func (sched *scheduler) slowTick(now clock.Millis) {
	sched.setTerms()
	sched.warmUp(now)
	sched.owner.handBack(now)
	sched.checkWorkers(now)
	sched.retryAside(now)
	sched.relieve(now)
}

// wake puts jobs whose backoff is over into the queue.
func (sched *scheduler) wake(now clock.Millis) {
	for id, due := sched.delayed.Pop(now); due; id, due = sched.delayed.Pop(now) {
		sched.sync(id, now)
	}
}

// setTerms records the terms that the tables ask for.
func (sched *scheduler) setTerms() {
	wanted := sched.owner.plant.terms
	if sched.owner.state.Terms() == wanted || wanted.Lease == 0 {
		return
	}
	sched.owner.add(cell.Encode(cell.SetTerms{Epoch: sched.owner.ownEpoch, Terms: wanted}), nil)
}

// reached follows a worker's answer.
func (sched *scheduler) reached(name string, report worker.Report, now clock.Millis) {
	delete(sched.suspects, name)
	for _, told := range report.Tasks {
		sched.confirm(told)
	}
	if kept := sched.owner.state.VM(name); kept != nil && kept.Dropped != 0 {
		sched.recover(name, kept, now)
	}
	sched.put(name)
}
