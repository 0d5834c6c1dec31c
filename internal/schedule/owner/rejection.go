package owner

import (
	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// rejection is the reason why a worker cannot run a task now.
type rejection uint8

const (
	notRejected          rejection = iota
	rejectedRoom                   // it has not enough room that is not committed
	rejectedLimits                 // the step's label or its limit per worker
	rejectedReservation            // it is reserved for another step
	rejectedIncompatible           // an image of its long-running tasks is incompatible
	rejectedHeadroom               // its long-running tasks have too little headroom
	rejectedTrial                  // the pair of images is being tried, or another one there
	rejectedIdle                   // too few of its processors are idle
	rejectedPaused                 // its best-effort tasks are paused
	rejectedFailing                // it failed runs in a row, and one is under way to show whether it still does
	rejectedPool                   // the pool has no usable worker, or leaves no more room to long-running tasks
	rejectedQuota                  // (the customer) has all running that its limit allows
	rejectedShare                  // it has too little room, and the customer has its share or sends more than its rate
	rejectedStarts                 // it, or the cell, has as many starts under way as it may
	rejectionKinds
)

func (r rejection) String() string {
	return [...]string{"none", "room", "limits", "reservation", "incompatible", "headroom", "trial", "idle_processors", "paused", "failing", "pool", "quota", "share", "starts"}[r]
}

// rejections counts workers by the reason why they cannot run a task.
type rejections [rejectionKinds]int

// leading returns the reason that rules out most workers, and how many.
func (c rejections) leading() (reason rejection, workers int) {
	for kind, count := range c {
		if rejection(kind) != notRejected && count > workers {
			reason, workers = rejection(kind), count
		}
	}
	return reason, workers
}

func (c rejections) plus(other rejections) rejections {
	for kind, count := range other {
		c[kind] += count
	}
	return c
}

// blockedLogInterval is the least time between log lines on what keeps tasks
// waiting.
const blockedLogInterval = clock.Second

// blockedTasks sums up what a placement pass left waiting.
type blockedTasks struct {
	steps      rejections // steps by their leading reason
	waitingCPU int64      // milli-CPU that their waiting tasks request, without those held back by a quota
	idleCPU    int64      // milli-CPU of usable workers that is not in use; 0 if nothing waits
}

// add counts a step that was left waiting.
func (b *blockedTasks) add(step *stepState) {
	reason, _ := step.rejections.leading()
	b.steps[reason]++
	if reason == rejectedQuota {
		return // more workers would not help them
	}
	b.waitingCPU += int64(step.waiting) * step.spec.MilliCPU
}

// reportBlocked publishes what a placement pass left waiting, and logs the
// leading reason when it has changed.
func (o *Owner) reportBlocked(blocked blockedTasks) {
	if blocked.waitingCPU > 0 {
		blocked.idleCPU = o.idleCPU()
	}
	o.blocked = blocked
	o.options.Metrics.WaitingCPU.Set(float64(blocked.waitingCPU))
	o.options.Metrics.IdleCPU.Set(float64(blocked.idleCPU))
	for kind, steps := range blocked.steps {
		if steps > 0 {
			o.options.Metrics.Blocked(rejection(kind), steps)
		}
	}
	reason, steps := blocked.steps.leading()
	if reason == o.loggedReason || o.now < o.nextBlockedLogAt {
		return
	}
	o.options.Log.Info().Str("event", "placement_blocked").Str("reason", reason.String()).Str("reason_before", o.loggedReason.String()).
		Int("steps", steps).Int64("waiting_milli_cpu", blocked.waitingCPU).Int64("idle_milli_cpu", blocked.idleCPU).Send()
	o.loggedReason = reason
	o.nextBlockedLogAt = o.now + blockedLogInterval
}

// idleCPU is the milli-CPU of usable workers that is not in use.
func (o *Owner) idleCPU() int64 {
	sum := 0.0
	for _, w := range o.sortedWorkers {
		if o.isUsable(w) {
			sum += max(o.plan(w).idleShare, 0) * float64(w.entry.Room.MilliCPU)
		}
	}
	return int64(sum)
}
