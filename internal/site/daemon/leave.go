package daemon

import (
	"time"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Times of a shutdown. With the default notice and a grace period of at
// least 3 s, notice and serving together stay below the grace period.
const (
	leaveNotice  = 2300 * time.Millisecond // until the platform has seen twice that this entry is not ready
	maxServing   = 3 * time.Second         // for in-flight requests; equals the timeout of callers that set no deadline
	abortMargin  = 300 * time.Millisecond  // before the end of serving, in-flight requests are cancelled and answered
	exitMargin   = time.Second             // reserve before the platform kills the process
	defaultGrace = 6 * clock.Second        // grace period if the settings have none
)

// shutdownPlan divides the time between the stop signal and the exit.
type shutdownPlan struct {
	notice  time.Duration // reporting not ready, but still accepting requests
	serving time.Duration // answering in-flight requests, accepting none
}

// shutdownPlan divides the platform's grace period.
func (d *Daemon) shutdownPlan() shutdownPlan {
	plan := shutdownPlan{notice: leaveNotice}
	if d.options.LeaveNotice != 0 {
		plan.notice = d.options.LeaveNotice
	}
	grace := d.settings.Bounds.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	plan.serving = min(max(grace.Duration()-leaveNotice-exitMargin, 2*abortMargin), maxServing)
	return plan
}

// announceLeaving releases the cell, reports this entry as not ready, and waits
// for the load balancer to take it out of rotation. It serves requests meanwhile.
func (d *Daemon) announceLeaving() {
	d.logger.Info().Str("event", "entry_leaving").Bool("owner", d.elector.ClaimedEpoch() != 0).Send()
	d.leaving.Store(true)
	if d.proxy != nil {
		d.proxy.Drain(true)
	}
	d.elector.Retire()
	time.Sleep(d.shutdownPlan().notice)
}
