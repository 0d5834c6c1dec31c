package owner

import (
	"slices"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/fleet"
)

// placementFailures are the requests for which a placement pass has found no
// worker. Within a pass workers only get fuller, so requests that are at least
// as hard to place are not tried again.
type placementFailures map[failureClass][]failedRequest

// failureClass is what requests must have in common to be compared.
type failureClass struct {
	pool       string
	image      string
	label      string // that a worker must have; empty: none
	bestEffort bool
}

// failedRequest is how hard a task was to place, and why no worker took it.
type failedRequest struct {
	resources             fleet.Room
	lastPlacementChangeAt clock.Millis // of its job; an earlier time relaxes the constraints
	urgency               float64      // of its job; a higher one relaxes the constraints
	length                clock.Millis // duration until candidate.endsBy; 0: no worker is reserved. A shorter one relaxes the constraints
	exemptions            exemptions   // from reservations; more of them relax the constraints
	priority              int          // of its queue; 0 while no worker is reserved. A lower one relaxes the constraints
	mustPlace             bool         // it may take reserved workers; false while none is
	rejections            rejections
}

// requestOf returns how hard the next task of a step is to place. Urgency counts
// for best-effort tasks only.
func (o *Owner) requestOf(task *taskState, step *stepState) failedRequest {
	j := task.job
	request := failedRequest{resources: requestedRoom(step.spec), lastPlacementChangeAt: j.lastPlacementChangeAt}
	if step.spec.Fills {
		request.urgency = o.urgency(j)
	}
	if o.reservations.reserved > 0 {
		c := o.newCandidate(task, step)
		request.length, request.exemptions = c.endsBy-o.now, c.exemptions
		request.priority, request.mustPlace = c.priority, c.mustPlace
	}
	return request
}

// isAtMostAsHardAs reports whether every worker that rejects this request
// rejects the other one, too.
func (r failedRequest) isAtMostAsHardAs(other failedRequest) bool {
	return r.resources.FitsIn(other.resources) && r.lastPlacementChangeAt <= other.lastPlacementChangeAt && r.urgency >= other.urgency &&
		r.length <= other.length && r.exemptions.include(other.exemptions) && r.priority <= other.priority && (r.mustPlace || !other.mustPlace)
}

func failureClassOf(pool string, step *stepState) failureClass {
	return failureClass{pool: pool, image: step.spec.Image, label: step.spec.Label, bestEffort: step.spec.Fills}
}

// record adds a request of a step for which a pool has no worker. Steps with a
// per-worker limit are left out, because their failure does not apply to other
// steps.
func (m placementFailures) record(pool string, step *stepState, request failedRequest) {
	if step.spec.PerWorker > 0 {
		return
	}
	class := failureClassOf(pool, step)
	m[class] = append(m[class], request)
}

// covering returns a request that has failed in this pass and is at most as hard
// to place. A step whose reservation has room is always tried: the reservation held back
// the steps that failed there.
func (m placementFailures) covering(pool string, step *stepState, request failedRequest) (known failedRequest, ok bool) {
	if step.canUseReservation() {
		return failedRequest{}, false
	}
	class := failureClassOf(pool, step)
	if known, ok = m.coveringIn(class, request); ok || class.label == "" {
		return known, ok
	}
	class.label = "" // a request without the label is not harder to place
	return m.coveringIn(class, request)
}

// coveringIn is covering for one class.
func (m placementFailures) coveringIn(class failureClass, request failedRequest) (known failedRequest, ok bool) {
	failed := m[class]
	i := slices.IndexFunc(failed, func(known failedRequest) bool { return known.isAtMostAsHardAs(request) })
	if i < 0 {
		return failedRequest{}, false
	}
	return failed[i], true
}
