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
	bestEffort bool
}

// failedRequest is how hard a task was to place.
type failedRequest struct {
	resources             fleet.Room
	lastPlacementChangeAt clock.Millis // of its job; an earlier time relaxes the constraints
	urgency               float64      // of its job; a higher one relaxes the constraints
}

func failedRequestOf(j *jobState, step *stepState, urgency float64) failedRequest {
	return failedRequest{
		resources:             requestedRoom(step.spec),
		lastPlacementChangeAt: j.lastPlacementChangeAt,
		urgency:               urgency,
	}
}

func failureClassOf(pool string, step *stepState) failureClass {
	return failureClass{pool: pool, image: step.spec.Image, bestEffort: step.spec.Fills}
}

// record adds a task of a step for which a pool has no worker. Steps with a
// label or a per-worker limit are left out, because their failure does not
// apply to other steps.
func (m placementFailures) record(pool string, j *jobState, step *stepState, urgency float64) {
	if step.spec.PerWorker > 0 || step.spec.Label != "" || m.covers(pool, j, step, urgency) {
		return
	}
	class := failureClassOf(pool, step)
	m[class] = append(m[class], failedRequestOf(j, step, urgency))
}

// covers reports whether a request that is at most as hard to place has failed
// in this pass. A step that holds a reservation is always tried.
func (m placementFailures) covers(pool string, j *jobState, step *stepState, urgency float64) bool {
	if step.reserved > 0 {
		return false
	}
	request := failedRequestOf(j, step, urgency)
	return slices.ContainsFunc(m[failureClassOf(pool, step)], func(failed failedRequest) bool {
		return failed.resources.FitsIn(request.resources) && failed.lastPlacementChangeAt <= request.lastPlacementChangeAt &&
			failed.urgency >= request.urgency
	})
}
