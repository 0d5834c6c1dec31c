package owner

import (
	"slices"

	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/internal/schedule/quota"
	"github.com/oriolepier/oriolepier/internal/schedule/share"
)

// A customer's limit is compared with what it may have running when a task is about to be
// placed. Package quota counts; this file tells it which starts a worker may still execute
// after their run has ended.

// limitQuiet is the time after which a customer counts as below its limit, if the limit
// held back no task meanwhile. It bounds the rate of log lines on limits.
const limitQuiet clock.Millis = 5 * clock.Second

// customer is what the owner knows of a customer beside its account.
type customer struct {
	account       *quota.Account
	bucket        share.Bucket // counts its submissions against its rate
	excessWaiting int          // excess jobs that wait, as of the last placement pass and accepted since
	label         string       // value of the metrics' label
	atLimitAt     clock.Millis // when a task was last held back by its limit; 0: never
	limitReached  bool         // logged as being at its limit
	heldByQuota   int          // steps that passes held back by its limit and that are not in the metrics yet
	heldByShare   int          // the same by its share
}

// customerOf returns the state of a job's customer, or nil without one.
func (o *Owner) customerOf(account *quota.Account) *customer {
	if account == nil {
		return nil
	}
	c := o.customers[account.Name()]
	if c == nil {
		c = &customer{account: account, label: otherCustomers}
		o.customers[account.Name()] = c
	}
	return c
}

// knownAccount returns the account of a customer without opening one; nil for the empty
// name. It returns false if there is none.
func (o *Owner) knownAccount(name string) (account *quota.Account, known bool) {
	if name == "" {
		return nil, true
	}
	accounts := o.quotas.Accounts()
	i := slices.IndexFunc(accounts, func(account *quota.Account) bool { return account.Name() == name })
	if i < 0 {
		return nil, false
	}
	return accounts[i], true
}

// withCustomer adds the customer of a job to a log line, if it has one, and whether
// the job is in excess of the customer's rate.
func withCustomer(line *zerolog.Event, spec job.Spec) *zerolog.Event {
	if spec.Customer == "" {
		return line
	}
	return line.Str("customer", spec.Customer).Bool("excess", spec.Excess)
}

// setCustomers applies the customers of new tables.
func (o *Owner) setCustomers() {
	listed := o.tables.Customers()
	if len(listed) == 0 && o.quotas.Empty() {
		return
	}
	o.quotas.SetCustomers(listed)
	o.labelCustomers(listed)
}

// holdsBack reports whether a customer's limit keeps the next task of a step waiting. If
// it does, the step's reservations are released.
func (o *Owner) holdsBack(j *jobState, step *stepState) bool {
	if j.account.Admits(requestedRoom(step.spec)) {
		return false
	}
	step.rejections = rejections{rejectedQuota: 1}
	c := o.customerOf(j.account)
	c.atLimitAt = o.now
	c.heldByQuota++
	for _, w := range slices.Clone(step.reservedOn) {
		o.releaseReservation(w)
	}
	return true
}

// keepsQuota reports whether a run that is counted is within its customer's limit,
// which may have been lowered since it was placed.
func (r *run) keepsQuota() bool { return r.task.job.account.Keeps(requestedRoom(r.task.spec())) }

// heldByQuota reports whether the last placement pass that left the step waiting
// did so for its customer's limit.
func (step *stepState) heldByQuota() bool { return step.rejections[rejectedQuota] > 0 }

// exceedsQuota reports whether a task alone is larger than its customer's limit.
func exceedsQuota(account *quota.Account, spec *job.Spec) bool {
	return account.Limited() && slices.ContainsFunc(spec.Steps, func(step job.Step) bool { return account.Exceeds(requestedRoom(&step)) })
}

// lacksLongRunningQuota reports whether a new job's long-running tasks do not fit
// their customer's limit beside its long-running tasks accepted before.
func (o *Owner) lacksLongRunningQuota(account *quota.Account, spec *job.Spec) bool {
	if !account.Limited() {
		return false
	}
	requested := longRunningRoom(spec)
	if requested == (fleet.Room{}) {
		return false
	}
	accepted := fleet.Room{}
	for _, j := range o.jobs {
		if j.account == account && !j.state.Final() {
			accepted = accepted.Plus(longRunningRoom(&j.spec), 1)
		}
	}
	return !account.FitsBeside(requested, accepted)
}

// longRunningRoom is what the long-running tasks of a job request together.
func longRunningRoom(spec *job.Spec) fleet.Room {
	sum := fleet.Room{}
	for i := range spec.Steps {
		if step := &spec.Steps[i]; step.Lasting {
			sum = sum.Plus(requestedRoom(step), int64(step.Count))
		}
	}
	return sum
}

// placeableCPU returns the milli-CPU of a job's startable tasks that its customer's limit
// still allows, and subtracts it from left: what the limits leave to jobs counted later.
// The map is made when the first limited customer is met.
func placeableCPU(j *jobState, left *map[*quota.Account]int64) int64 {
	waiting := j.waitingCPU()
	free, limited := j.account.Free()
	if !limited {
		return waiting
	}
	if *left == nil {
		*left = map[*quota.Account]int64{}
	}
	if known, ok := (*left)[j.account]; ok {
		free = known
	}
	granted := min(waiting, free)
	(*left)[j.account] = free - granted
	return granted
}

// holdLateStart keeps counting a run that ends while its worker may still execute a start
// order of it: the answer is missing, and neither a report of the worker nor a confirmed
// stop shows that the run cannot begin any more.
func (o *Owner) holdLateStart(r *run, by proof) {
	if r.task.job.account == nil || !r.startUnanswered && r.startsOpen == 0 {
		return
	}
	switch by.evidence {
	case evidenceReported, evidenceStopConfirmed, evidenceNeverSent:
		return
	default:
		sentAt := max(r.orderSentAt, o.fencedAt) // an earlier owner may have sent it until it was fenced
		o.holdLate(r.worker, r.task.key(), r.runNumber, sentAt+uncertainStartTTL)
	}
}

// holdUncertainStarts counts the unanswered starts of a worker that has restarted:
// the new incarnation does not know that their runs have ended.
func (o *Owner) holdUncertainStarts(w *worker) {
	for _, start := range w.uncertainStarts {
		if o.currentRun(start.task, start.run) == nil {
			o.holdLate(w, start.task, start.run, start.at+uncertainStartTTL)
		}
	}
}

// holdLate counts a start on a worker whose run has ended for the owner, and which can
// begin until a time.
func (o *Owner) holdLate(w *worker, id job.Task, runNumber int, until clock.Millis) {
	if task := o.task(id); task != nil {
		o.quotas.HoldLate(w.id, quota.Start{Task: id, Run: runNumber}, task.job.account, requestedRoom(task.spec()), until)
	}
}

// settleLateStarts stops counting the late starts that a report shows to be over.
func (o *Owner) settleLateStarts(w *worker, report fleet.Report) {
	if report.Truncated {
		return
	}
	listed := func(start quota.Start) bool {
		return slices.ContainsFunc(report.Running, func(row fleet.Run) bool { return row.Task == start.Task && row.Run == start.Run })
	}
	if o.quotas.Settle(w.id, listed, w.holdSentAt) {
		o.placementDue = true
	}
}

// checkCustomers removes late starts that have expired, updates the customers' metrics,
// and logs customers that have reached or left their limits.
func (o *Owner) checkCustomers() {
	if o.quotas.Empty() {
		return
	}
	if o.quotas.Expire(o.now, o.longestLeaseSpan()) {
		o.placementDue = true
	}
	for _, c := range o.customers {
		o.publishHeld(c)
		atLimit := c.atLimitAt != 0 && o.now-c.atLimitAt < limitQuiet
		if atLimit == c.limitReached {
			continue
		}
		c.limitReached = atLimit
		o.logLimit(c)
	}
}

// logLimit logs that a customer has reached or left its limit.
func (o *Owner) logLimit(c *customer) {
	event := "customer_limit_left"
	if c.limitReached {
		event = "customer_limit_reached"
	}
	used, limit := c.account.Used(), c.account.Limit()
	o.options.Log.Info().Str("event", event).Str("customer", c.account.Name()).
		Int64("used_milli_cpu", used.MilliCPU).Int64("used_memory_mb", used.MemoryMB).Int64("used_gpus", used.GPUs).
		Int64("limit_milli_cpu", limit.MilliCPU).Int64("limit_memory_mb", limit.MemoryMB).Int64("limit_gpus", limit.GPUs).
		Int64("tasks", c.account.Tasks()).Int64("manifest", o.tables.Version).Send()
}
