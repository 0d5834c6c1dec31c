package owner

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Metrics are the metrics of an owner.
type Metrics struct {
	set            *metrics.Set
	customerLabels map[string]bool // labels given to customers

	Accepted       *metrics.Counter  // jobs whose record was acknowledged
	Appends        *metrics.Counter  // acknowledged appends
	Starts         *metrics.Counter  // confirmed starts; after a takeover also inherited runs when first reported
	Lapses         *metrics.Counter  // workers whose leases expired
	Paces          *metrics.Counter  // pace orders sent
	Moves          *metrics.Counter  // best-effort runs stopped for interference
	Relocations    *metrics.Counter  // long-running runs stopped to make room for best-effort tasks
	Stalls         *metrics.Counter  // workers found stalled
	Backfills      *metrics.Counter  // tasks placed on a worker that is reserved for another
	WaitingCPU     *metrics.Gauge    // milli-CPU requested by tasks that the last placement pass left waiting
	StartsUnderWay *metrics.Gauge    // starts that are being recorded or are unanswered
	IdleCPU        *metrics.Gauge    // milli-CPU of usable workers that is not in use while tasks wait
	FenceTime      DurationHistogram // from the confirmation of a claim to that of the record that fences earlier owners
	AppendTime     DurationHistogram // from the first send of an append to its acknowledgement
	AcceptTime     DurationHistogram // from the submission of a job to the acknowledgement of its record
	StartTime      DurationHistogram // from the submission of a job to its first confirmed start
	WaitLarge      DurationHistogram // from the time at which a large batch task could be placed to its placement
	WaitOther      DurationHistogram // the same for other batch tasks
	DoneTime       DurationHistogram // from the submission of a job to its completion
}

// DurationHistogram is a histogram in seconds that observes milliseconds.
type DurationHistogram struct{ histogram *metrics.Histogram }

// Observe adds a duration.
func (s DurationHistogram) Observe(duration clock.Millis) {
	s.histogram.Update(float64(duration) / float64(clock.Second))
}

// NewMetrics registers the metrics of an owner.
func NewMetrics(set *metrics.Set) *Metrics {
	newDuration := func(name string) DurationHistogram { return DurationHistogram{histogram: set.NewHistogram(name)} }
	return &Metrics{
		set: set, customerLabels: map[string]bool{},
		Accepted:       set.NewCounter("oriolepier_jobs_accepted_total"),
		Appends:        set.NewCounter("oriolepier_store_appends_total"),
		Starts:         set.NewCounter("oriolepier_task_starts_total"),
		Lapses:         set.NewCounter("oriolepier_worker_leases_lapsed_total"),
		Paces:          set.NewCounter("oriolepier_task_paces_total"),
		Moves:          set.NewCounter("oriolepier_task_moves_total"),
		Relocations:    set.NewCounter("oriolepier_task_relocations_total"),
		Stalls:         set.NewCounter("oriolepier_worker_stalls_total"),
		Backfills:      set.NewCounter("oriolepier_placement_backfills_total"),
		WaitingCPU:     set.NewGauge("oriolepier_placement_waiting_milli_cpu", nil),
		StartsUnderWay: set.NewGauge("oriolepier_starts_under_way", nil),
		IdleCPU:        set.NewGauge("oriolepier_placement_idle_milli_cpu", nil),
		FenceTime:      newDuration("oriolepier_cell_fence_seconds"),
		AppendTime:     newDuration("oriolepier_store_append_seconds"),
		AcceptTime:     newDuration("oriolepier_job_accept_seconds"),
		StartTime:      newDuration("oriolepier_job_first_start_seconds"),
		WaitLarge:      newDuration(`oriolepier_task_wait_seconds{size="large"}`),
		WaitOther:      newDuration(`oriolepier_task_wait_seconds{size="other"}`),
		DoneTime:       newDuration("oriolepier_job_completion_seconds"),
	}
}

// Refused counts a submission that was not accepted, by ruling, as "store" if the
// store does not answer, or as "undecided" if it was left to another try.
func (c *Metrics) Refused(reason string) {
	c.set.GetOrCreateCounter(`oriolepier_jobs_refused_total{reason="` + reason + `"}`).Inc()
}

// Ended counts an ended run by cause.
func (c *Metrics) Ended(cause string) {
	c.set.GetOrCreateCounter(`oriolepier_runs_ended_total{cause="` + cause + `"}`).Inc()
}

// Blocked counts steps that a placement pass left waiting, by leading reason.
func (c *Metrics) Blocked(reason rejection, steps int) {
	c.set.GetOrCreateCounter(`oriolepier_placement_blocked_total{reason="` + reason.String() + `"}`).Add(steps)
}

// observeWait adds the wait of a batch task, by size.
func (c *Metrics) observeWait(large bool, wait clock.Millis) {
	if large {
		c.WaitLarge.Observe(wait)
		return
	}
	c.WaitOther.Observe(wait)
}

// Reservation counts an event of reservations of workers: made, moved, expired, or the
// outcome with which one ended.
func (c *Metrics) Reservation(outcome string) {
	c.set.GetOrCreateCounter(`oriolepier_placement_reservations_total{outcome="` + outcome + `"}`).Inc()
}

// Answered counts an answer to an order or hold, by kind and outcome.
func (c *Metrics) Answered(order, outcome string) {
	c.set.GetOrCreateCounter(`oriolepier_orders_total{order="` + order + `",outcome="` + outcome + `"}`).Inc()
}
