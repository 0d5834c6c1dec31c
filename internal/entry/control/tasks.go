package control

import (
	"context"
	"net/http"
	"slices"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/base/fault"
	"github.com/oriolepier/oriolepier/internal/base/problem"
	"github.com/oriolepier/oriolepier/internal/batch/cell"
	"github.com/oriolepier/oriolepier/internal/batch/job"
	"github.com/oriolepier/oriolepier/internal/batch/owner"
	"github.com/oriolepier/oriolepier/internal/entry/event"
	"github.com/oriolepier/oriolepier/internal/entry/member"
	"github.com/oriolepier/oriolepier/internal/entry/peer"
	"github.com/oriolepier/oriolepier/internal/platform/inventory"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
)

// retryBusy is what a caller is told to wait when a queue is full.
const retryBusy clock.Millis = 5 * clock.Second

// Submit keeps a job. It returns when the job's record is in the log, or an
// error that says whether it may be. Any goroutine may call it.
func (c *Control) Submit(ctx context.Context, spec job.Spec) (job.Status, error) {
	reply := make(chan event.Answer, 1)
	return c.ask(ctx, event.Submit{Spec: spec, Reply: reply}, reply)
}

// Cancel ends a job, as Submit keeps one. Any goroutine may call it.
func (c *Control) Cancel(ctx context.Context, id string) (job.Status, error) {
	reply := make(chan event.Answer, 1)
	return c.ask(ctx, event.Cancel{ID: id, Reply: reply}, reply)
}

// Status tells of a job; entries that do not follow its cell ask one that does.
// Any goroutine may call it.
func (c *Control) Status(ctx context.Context, id string) (job.Status, bool, error) {
	reply := make(chan event.Answer, 1)
	answer, err := event.Call(ctx, c.options.Inbox, event.Lookup{ID: id, Reply: reply}, reply)
	if err != nil {
		return job.Status{}, false, err
	}
	if answer.Follows || answer.Err != nil {
		return answer.Status, answer.Known, answer.Err
	}
	return c.askPeers(ctx, id)
}

// List tells of a caller's jobs in the cells that this entry follows. Any
// goroutine may call it.
func (c *Control) List(ctx context.Context, caller string, phase job.Phase, limit int) ([]job.Status, error) {
	reply := make(chan event.Answer, 1)
	answer, err := event.Call(ctx, c.options.Inbox, event.List{Caller: caller, Phase: phase, Limit: limit, Reply: reply}, reply)
	return answer.Jobs, err
}

func (c *Control) ask(ctx context.Context, ev any, reply <-chan event.Answer) (job.Status, error) {
	answer, err := event.Call(ctx, c.options.Inbox, ev, reply)
	if err != nil {
		c.count.unknown.Add(1)
		return job.Status{}, fault.New(fault.Unknown, "await log", "", err)
	}
	return answer.Status, answer.Err
}

// submit checks a job and appends it to its home cell.
func (c *Control) submit(ev event.Submit) {
	spec, refused := c.completed(ev.Spec)
	if refused != nil {
		c.count.refused.Add(1)
		ev.Reply <- event.Answer{Err: refused}
		return
	}
	home := job.Home(spec.Caller, spec.Key, c.names)
	status := job.Status{
		ID:     job.ID(home, spec.Caller, spec.Key),
		Caller: spec.Caller,
		Key:    spec.Key,
		Phase:  job.Queued,
		Cell:   home,
	}
	own := c.cells[home]
	if own != nil {
		if known, ok := own.Status(status.ID); ok {
			ev.Reply <- twin(known, spec)
			return
		}
		if refused := c.full(own, spec); refused != nil {
			c.count.refused.Add(1)
			ev.Reply <- event.Answer{Err: refused}
			return
		}
	}
	c.journal.Add(job.StreamName(home), cell.Encode(cell.Submit{Spec: spec}), func(_ stream.Offset, err error) {
		if err == nil {
			c.count.submitted.Add(1)
		}
		ev.Reply <- event.Answer{Status: status, Err: err}
	})
}

// twin answers a submission whose id is taken: by the same job, or by one of
// another key that has the same hash.
func twin(known job.Status, spec job.Spec) event.Answer {
	if known.Caller == spec.Caller && known.Key == spec.Key {
		return event.Answer{Status: known}
	}
	return event.Answer{Err: refuse(http.StatusConflict, "queue", "the key has the same hash as another task's; choose another key", 0)}
}

// completed fills in what the route decides, or says why the job is refused.
func (c *Control) completed(spec job.Spec) (job.Spec, *problem.Problem) {
	if len(c.names) == 0 {
		return spec, refuse(http.StatusServiceUnavailable, "admit", "no configuration yet", clock.Second)
	}
	rt, ok := c.ledger.Route(spec.Route)
	if !ok {
		return spec, refuse(http.StatusNotFound, "match", "no route is named "+spec.Route, 0)
	}
	spec.Team = rt.Team
	spec.Class = rt.Class
	spec.Pools = rt.Pools
	spec.MaxAttempts = rt.MaxAttempts
	if err := cell.CheckSpec(spec); err != nil {
		return spec, refuse(http.StatusUnprocessableEntity, "check", err.Error(), 0)
	}
	if !c.everFits(spec) {
		return spec, refuse(http.StatusUnprocessableEntity, "check", "no VM of the route's pools is large enough", 0)
	}
	return spec, nil
}

// everFits reports whether some listed VM, empty, could run the job. With no
// list it can't be told, and the job is kept.
func (c *Control) everFits(spec job.Spec) bool {
	candidates := lo.Filter(lo.Values(c.fleet.rows), func(row vmRow, _ int) bool {
		pl, ok := c.config.Pools.Of(row.vm.Name, row.vm.FailureDomain)
		return ok && row.vm.Role == inventory.Worker && slices.Contains(spec.Pools, pl.Name)
	})
	if len(candidates) == 0 {
		return true
	}
	return lo.SomeBy(candidates, func(row vmRow) bool { return row.vm.Size.Fits(spec.Size) })
}

// full refuses a job when its home cell holds too many that wait. The limit is
// checked before the append, never after, so that a kept job is never lost.
func (c *Control) full(own *owner.Owner, spec job.Spec) *problem.Problem {
	rt, ok := c.ledger.Route(spec.Route)
	if !ok || rt.MaxQueued == 0 || own.QueueLength() < rt.MaxQueued {
		return nil
	}
	return refuse(http.StatusTooManyRequests, "queue", "the queue of the job's cell is full", retryBusy)
}

func (c *Control) cancel(ev event.Cancel) {
	home, ok := job.CellOf(ev.ID)
	if !ok || !slices.Contains(c.names, home) {
		ev.Reply <- event.Answer{Err: unknownJob()}
		return
	}
	status := job.Status{ID: ev.ID, Cell: home}
	if own := c.cells[home]; own != nil {
		known, ok := own.Status(ev.ID)
		if !ok {
			ev.Reply <- event.Answer{Err: unknownJob()}
			return
		}
		if known.Phase.Over() {
			ev.Reply <- event.Answer{Status: known}
			return
		}
		status = known
	}
	c.count.cancelled.Add(1)
	c.journal.Add(job.StreamName(home), cell.Encode(cell.Cancel{ID: ev.ID}), func(_ stream.Offset, err error) {
		ev.Reply <- event.Answer{Status: status, Err: err}
	})
}

func (c *Control) lookup(ev event.Lookup) {
	home, ok := job.CellOf(ev.ID)
	if !ok {
		ev.Reply <- event.Answer{Follows: true}
		return
	}
	own := c.cells[home]
	if own == nil {
		ev.Reply <- event.Answer{Follows: !slices.Contains(c.names, home)}
		return
	}
	status, known := own.Status(ev.ID)
	ev.Reply <- event.Answer{Status: c.whole(status), Known: known, Follows: true}
}

// list tells of jobs by their home cells; the cells that run handed ones only
// add to what the home knows.
func (c *Control) list(ev event.List) []job.Status {
	jobs := []job.Status{}
	for _, name := range c.names {
		own := c.cells[name]
		if own == nil {
			continue
		}
		for _, status := range own.List(cell.Filter{Caller: ev.Caller}) {
			status = c.whole(status)
			if home, _ := job.CellOf(status.ID); home != name || ev.Phase != "" && status.Phase != ev.Phase {
				continue
			}
			if len(jobs) == ev.Limit {
				return jobs
			}
			jobs = append(jobs, status)
		}
	}
	return jobs
}

// whole completes the status of a handed job by what the cell that runs it says,
// when this entry follows that too.
func (c *Control) whole(status job.Status) job.Status {
	guest := c.cells[status.Cell]
	if status.Phase != job.Handed || guest == nil {
		return status
	}
	running, known := guest.Status(status.ID)
	if !known || running.Phase.Over() {
		return status // the result has not reached the home cell yet
	}
	return running
}

// askPeers looks for a job among entries of its cell's failure domain, then
// among all others.
func (c *Control) askPeers(ctx context.Context, id string) (job.Status, bool, error) {
	home, _ := job.CellOf(id)
	var addresses []string
	err := c.inspect(ctx, func() {
		live := c.members.Live(c.options.Clock.Now())
		near, far := lo.FilterReject(live, func(row member.Member, _ int) bool { return row.FailureDomain == job.DomainOf(home) })
		live = append(near, far...)
		addresses = lo.Map(live, func(row member.Member, _ int) string { return row.Address })
	})
	if err != nil {
		return job.Status{}, false, err
	}
	for _, address := range addresses {
		var answer peer.StatusAnswer
		err := c.options.Call(ctx, address, peer.Status, peer.StatusQuery{ID: id}, &answer)
		if err == nil && answer.Follows {
			return answer.Status, answer.Known, nil
		}
	}
	return job.Status{}, false, fault.Newf(fault.Unknown, "ask peers", home, "no reachable entry follows the job's cell")
}

// statusAnswer serves askPeers of other entries, for any goroutine.
func (c *Control) statusAnswer(query peer.StatusQuery) (peer.StatusAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout.Duration())
	defer cancel()
	reply := make(chan event.Answer, 1)
	answer, err := event.Call(ctx, c.options.Inbox, event.Lookup{ID: query.ID, Reply: reply}, reply)
	return peer.StatusAnswer{Follows: answer.Follows, Known: answer.Known, Status: answer.Status}, err
}

func refuse(status int, step, detail string, retryAfter clock.Millis) *problem.Problem {
	return &problem.Problem{Status: status, Outcome: fault.NotRun, Step: step, Detail: detail, RetryAfter: retryAfter}
}

func unknownJob() *problem.Problem {
	return refuse(http.StatusNotFound, "cancel", "no such task, or it ended so long ago that it is forgotten", 0)
}
