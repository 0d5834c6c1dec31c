package owner

import (
	"iter"
	"math"
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/quota"
	"github.com/oriolepier/oriolepier/internal/schedule/share"
)

// In a placement pass customers take turns by their weighted dominant shares, at the
// positions that jobs with a customer have in the order of the queue. Jobs without a
// customer keep their position. Package share decides whose turn it is.

// turn is a customer's turn in a placement pass; the zero value has no end.
type turn struct {
	account   *quota.Account // nil: no turns are taken
	total     fleet.Room     // of all usable workers
	until     float64        // dominant share at which the turn ends
	fair      float64        // the customer's share by weight among those with waiting work
	firstStep int            // earlier steps of the job were served in earlier turns
	over      bool
	nextStep  int // step at which the job goes on in the customer's next turn
}

// unserved is a queued job from a step on.
type unserved struct {
	queuedJob
	firstStep int
}

// fairQueue holds the queued jobs of a class by customer.
type fairQueue = share.FairQueue[*quota.Account, unserved]

// endsBefore reports whether a turn ends before the next task of a step. If it does, the
// turn is over and continues later from that step.
func (t *turn) endsBefore(step int) bool {
	if t.account == nil || share.Dominant(t.account.Used(), t.total) <= t.until {
		return false
	}
	t.over, t.nextStep = true, step
	return true
}

// inTurns yields the queued jobs in the sequence in which a placement pass serves
// them. A job comes again, from the step at which its customer's turn was over.
func (o *Owner) inTurns(jobs []queuedJob, pools map[string]*poolCapacity) iter.Seq[queuedJob] {
	if !slices.ContainsFunc(jobs, func(queued queuedJob) bool { return queued.job.account != nil }) {
		return slices.Values(jobs)
	}
	total := totalRoom(pools)
	weights := sumWeights(jobs)
	return func(yield func(queuedJob) bool) {
		defer func() { o.turn = turn{} }()
		for len(jobs) > 0 {
			class := jobs[:classLength(jobs)]
			jobs = jobs[len(class):]
			if !o.serveClass(class, total, weights, yield) {
				return
			}
		}
	}
}

// classLength returns the number of jobs at the head of the queue that are of the same
// class: customers take turns only among these.
func classLength(jobs []queuedJob) int {
	for i := range jobs {
		if jobs[i].longRunning != jobs[0].longRunning || jobs[i].excess != jobs[0].excess || jobs[i].expired != jobs[0].expired {
			return i
		}
	}
	return len(jobs)
}

// serveClass yields the jobs of a class. It returns false if the pass has ended.
func (o *Owner) serveClass(class []queuedJob, total fleet.Room, weights float64, yield func(queuedJob) bool) bool {
	byCustomer := share.New[*quota.Account, unserved](total)
	for _, queued := range class {
		if account := queued.job.account; account != nil {
			byCustomer.Add(account, account.Weight(), unserved{queuedJob: queued})
		}
	}
	for _, queued := range class {
		if queued.job.account == nil {
			o.turn = turn{}
			if !yield(queued) {
				return false
			}
			continue
		}
		if !o.serveOne(byCustomer, total, weights, yield) {
			return false
		}
	}
	return true
}

// serveOne yields work of the customers in turn until one job has been served.
func (o *Owner) serveOne(byCustomer *fairQueue, total fleet.Room, weights float64, yield func(queuedJob) bool) bool {
	for {
		next, until := byCustomer.Next()
		account := next.job.account
		o.turn = turn{account: account, total: total, until: until, fair: share.WeightOf(account.Weight()) / weights, firstStep: next.firstStep}
		if !yield(next.queuedJob) {
			return false
		}
		if !o.turn.over {
			byCustomer.Done()
			return true
		}
		next.firstStep = o.turn.nextStep
		byCustomer.Keep(next)
	}
}

// sumWeights is the sum of the weights of the customers that have waiting work.
func sumWeights(jobs []queuedJob) float64 {
	sum := 0.0
	seen := map[*quota.Account]bool{}
	for _, queued := range jobs {
		if account := queued.job.account; account != nil && !seen[account] {
			seen[account] = true
			sum += share.WeightOf(account.Weight())
		}
	}
	return sum
}

// totalRoom is the room of all usable workers.
func totalRoom(pools map[string]*poolCapacity) fleet.Room {
	total := fleet.Room{}
	for _, pool := range pools {
		for _, w := range pool.workers {
			total = total.Plus(w.entry.Room, 1)
		}
	}
	return total
}

// blameShare counts the lack of room for a step as rejectedShare if its customer already
// uses its share or the job is in excess of the customer's rate.
func (o *Owner) blameShare(queued queuedJob, step *stepState) {
	t := &o.turn
	if !t.hasShare(queued.excess) {
		return
	}
	before := step.rejections[rejectedShare]
	step.rejections = step.rejections.attributedToShare()
	if step.rejections[rejectedShare] > before {
		o.customerOf(t.account).heldByShare++
	}
}

// hasShare reports whether the customer has its own share, or a job of it is in excess of
// its rate.
func (t *turn) hasShare(excess bool) bool {
	return t.account != nil && (excess || t.fair < 1 && share.Dominant(t.account.Used(), t.total) >= t.fair)
}

// attributedToShare counts the workers without enough room as rejected for the share.
func (c rejections) attributedToShare() rejections {
	for _, reason := range []rejection{rejectedRoom, rejectedReservation, rejectedIdle} {
		c[rejectedShare] += c[reason]
		c[reason] = 0
	}
	return c
}

// A customer's weight is also the number of submissions a second that it may expect
// to be served. Those beyond it are in excess: they come after all other work of
// their kind, and are refused when there is certainly no room for them in time.

const (
	leastExcessWait clock.Millis = clock.Second      // least slack that lacksRoomInTime compares the waiting work with
	mostExcessRetry clock.Millis = 10 * clock.Minute // longest Retry-After; the backlog may be gone by then
)

// waitingWork is the work that the last placement pass found waiting for a pool, and the
// pool's capacity for it.
type waitingWork struct {
	work     float64 // milli-CPU times ms of startable tasks that the pool's jobs prefer
	capacity int64   // milli-CPU of usable workers that long-running tasks leave
}

// rateOf returns the submissions a second that a customer may expect to be served;
// 0: not limited.
func rateOf(account *quota.Account) float64 {
	if account == nil || !account.Listed() {
		return 0
	}
	return account.Weight()
}

// admitRateOnce decides by its customer's rate whether to refuse a submission, and marks
// it if it is in excess. A refusal is kept, so that it is checked and counted once
// for a submission that stays undecided.
func (o *Owner) admitRateOnce(s *submission) Verdict {
	if !s.rateCounted {
		s.rateCounted = true
		s.spec.Excess, s.rateRefusal = o.admitRate(&s.spec)
	}
	return s.rateRefusal
}

// admitRate reports whether a submission is in excess of its customer's rate, and
// decides whether to refuse it for that.
func (o *Owner) admitRate(spec *job.Spec) (excess bool, verdict Verdict) {
	account := o.quotas.Account(spec.Customer)
	rate := rateOf(account)
	if rate <= 0 {
		return false, Verdict{Ruling: Recorded}
	}
	c := o.customerOf(account)
	if c.bucket.Take(o.now, rate) {
		return false, Verdict{Ruling: Recorded}
	}
	if queue, _ := o.tables.Queue(spec.Queue); !o.lacksRoomInTime(spec, queue.Pools) {
		c.excessWaiting++
		o.options.Metrics.Customer("excess_accepted", c.label, 1)
		return true, Verdict{Ruling: Recorded}
	}
	o.options.Metrics.Customer("excess_refused", c.label, 1)
	retryAfter := min(max(share.TimeToServe(c.excessWaiting+1, rate), clock.Second), mostExcessRetry)
	return true, Verdict{Ruling: Refused, Reason: "beyond the customer's rate while all workers are in use", RetryAfter: retryAfter}
}

// lacksRoomInTime reports whether the work that is already waiting takes longer than a
// new job may wait for its objective. It is false while a worker has room for a task of
// the job that could start.
func (o *Owner) lacksRoomInTime(spec *job.Spec, pools []string) bool {
	if o.blocked.waitingCPU == 0 {
		return false
	}
	sum := waitingWork{}
	for _, name := range pools {
		sum.work += o.waitingWork[name].work
		sum.capacity += o.waitingWork[name].capacity
	}
	j := newJob(*spec)
	j.account = o.quotas.Account(spec.Customer)
	j.submittedAt = o.now
	slack := max(o.objective(j).dueAt-o.now-o.criticalPath(j), leastExcessWait)
	return sum.work > float64(sum.capacity)*float64(slack) && !o.hasRoomForAny(j, pools)
}

// hasRoomForAny reports whether a usable worker has room for a task that could
// start.
func (o *Owner) hasRoomForAny(j *jobState, pools []string) bool {
	for _, w := range o.sortedWorkers {
		if !slices.Contains(pools, w.entry.Service) || !o.isUsable(w) {
			continue
		}
		for i := range j.steps {
			step := &j.steps[i]
			if step.ready && constraintsAllow(step, w) && o.hasRoomFor(step.spec, w) {
				return true
			}
		}
	}
	return false
}

// hasRoomFor reports whether a worker has room for a task; for a best-effort task
// also idle processors.
func (o *Owner) hasRoomFor(step *job.Step, w *worker) bool {
	if !committedRoom(step).FitsIn(w.freeRoom()) {
		return false
	}
	return !step.Fills || cpuShare(step.MilliCPU, w) <= o.plan(w).idleShare
}

// updateExcess sums up the waiting work of a pass, and moves excess jobs of customers
// whose bucket is full again into the ordinary order.
func (o *Owner) updateExcess(jobs []queuedJob, pools map[string]*poolCapacity) {
	if o.quotas.Empty() {
		return
	}
	o.waitingWork = map[string]waitingWork{}
	for name, pool := range pools {
		o.waitingWork[name] = waitingWork{capacity: max(pool.totalCPU-pool.longRunning, 0)}
	}
	for _, c := range o.customers {
		c.excessWaiting = 0
	}
	for i := range jobs {
		if jobs[i].excess {
			o.updateExcessJob(jobs[i].job)
		}
		o.countWaitingWork(&jobs[i])
	}
}

// updateExcessJob moves an excess job into the ordinary order from the next pass on if
// its customer has a token to spare, else counts it as waiting.
func (o *Owner) updateExcessJob(j *jobState) {
	c := o.customerOf(j.account)
	if rate := rateOf(j.account); rate > 0 && c.bucket.TakeOverflow(o.now, rate) {
		j.excess = false
		o.placementDue = true
		return
	}
	c.excessWaiting++
}

// countWaitingWork adds a queued job to the waiting work of the pool that it
// prefers, without what its customer's limit holds back.
func (o *Owner) countWaitingWork(queued *queuedJob) {
	j := queued.job
	if len(queued.pools) == 0 || queued.longRunning {
		return
	}
	sum := o.waitingWork[queued.pools[0]]
	for i := range j.steps {
		if step := &j.steps[i]; step.ready && step.waiting > 0 && !step.heldByQuota() {
			sum.work += float64(step.waiting) * float64(step.spec.MilliCPU) * float64(o.taskLength(j, step))
		}
	}
	o.waitingWork[queued.pools[0]] = sum
}

// CustomerDump is an owner's view of a customer.
type CustomerDump struct {
	Name         string  `json:"name"`
	Listed       bool    `json:"listed"` // it is in the tables in force
	Weight       float64 `json:"weight"`
	Share        float64 `json:"share"` // dominant share of all usable workers that its running tasks may use
	UsedCPU      int64   `json:"used_milli_cpu"`
	UsedMB       int64   `json:"used_memory_mb"`
	UsedGPUs     int64   `json:"used_gpus"`
	LimitCPU     int64   `json:"limit_milli_cpu"` // 0: none
	LimitMB      int64   `json:"limit_memory_mb"`
	LimitGPUs    int64   `json:"limit_gpus"`
	Running      int64   `json:"tasks_running"` // that may be executing
	Waiting      int     `json:"tasks_waiting"` // startable
	WaitingQuota int     `json:"tasks_waiting_for_quota"`
	WaitingShare int     `json:"tasks_waiting_for_share"`
	WaitingJobs  int     `json:"jobs_waiting"`        // with startable tasks
	ExcessJobs   int     `json:"jobs_waiting_excess"` // of these, in excess of its rate
}

// dumpCustomers lists the customers by name.
func (o *Owner) dumpCustomers() []CustomerDump {
	if o.quotas.Empty() {
		return nil
	}
	total := totalRoom(o.usablePools())
	accounts := o.quotas.Accounts()
	dumps := make([]CustomerDump, len(accounts))
	index := map[*quota.Account]int{}
	for i, account := range accounts {
		used, limit := account.Used(), account.Limit()
		index[account] = i
		dumps[i] = CustomerDump{
			Name: account.Name(), Listed: account.Listed(), Weight: account.Weight(), Share: roundShare(share.Dominant(used, total)),
			UsedCPU: used.MilliCPU, UsedMB: used.MemoryMB, UsedGPUs: used.GPUs,
			LimitCPU: limit.MilliCPU, LimitMB: limit.MemoryMB, LimitGPUs: limit.GPUs, Running: account.Tasks(),
		}
	}
	for _, j := range o.jobs {
		if j.account != nil && j.startable() {
			dumps[index[j.account]].add(j)
		}
	}
	return dumps
}

// roundShare rounds a share to a tenth of a percent.
func roundShare(value float64) float64 { return math.Round(value*1000) / 1000 }

// add counts a job with startable tasks.
func (d *CustomerDump) add(j *jobState) {
	d.WaitingJobs++
	if j.excess {
		d.ExcessJobs++
	}
	for i := range j.steps {
		step := &j.steps[i]
		if !step.ready || step.waiting == 0 {
			continue
		}
		d.Waiting += step.waiting
		switch reason, _ := step.rejections.leading(); reason {
		case rejectedQuota:
			d.WaitingQuota += step.waiting
		case rejectedShare:
			d.WaitingShare += step.waiting
		default:
		}
	}
}
