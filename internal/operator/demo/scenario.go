package demo

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/config/release"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/platform"
)

// call sends one request. Status 0 is returned if there is no complete answer.
func call(ctx context.Context, method, url string, body []byte) (status int, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// awaitReady waits until the first entry answers a query for a queue. Without an
// owner of the cell, queries and jobs are refused.
func (d *demoRun) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		status, _ := call(ctx, http.MethodGet, "http://"+d.callers[0]+queuePrefix, nil)
		if status == http.StatusOK {
			d.progressf("%d entries and %d workers are up", entries, workers)
			return nil
		}
		time.Sleep(jobPeriod)
	}
	return errors.Errorf("the first entry was not ready within %s", readyTimeout)
}

// runScenario submits jobs while it injects faults, and waits for the jobs to end.
func (d *demoRun) runScenario(ctx context.Context) (Result, error) {
	var result Result
	var accepted []job.ID
	stopped := map[int]bool{}
	for number := range jobs {
		if err := d.injectFault(ctx, number, stopped); err != nil {
			return result, err
		}
		if d.submit(ctx, number, stopped) {
			accepted = append(accepted, jobID(number))
		} else {
			result.Refused++
		}
		time.Sleep(jobPeriod)
	}
	result.Accepted = len(accepted)
	result.Completed = d.awaitCompleted(ctx, accepted, stopped)
	result.DoneRuns, result.Violations = d.runChecker.results(accepted, result.Completed)
	return result, nil
}

// injectFault injects the fault, if any, that comes before the job with this number.
func (d *demoRun) injectFault(ctx context.Context, number int, stopped map[int]bool) error {
	switch number {
	case jobs / 8:
		d.progressf("failure domain a is taken out of service")
		return d.appendRecord(ctx, release.MarkDomain(domains[0], true))
	case jobs / 4:
		d.progressf("failure domain a is put back into service")
		return d.appendRecord(ctx, release.MarkDomain(domains[0], false))
	case jobs / 2:
		d.progressf("the store refuses all calls for %s", storeOutage)
		d.store.SetDown(true)
		time.Sleep(storeOutage)
		d.store.SetDown(false)
	case jobs * 3 / 4:
		d.progressf("the first entry is stopped")
		d.stops[0]()
		stopped[0] = true
	}
	return nil
}

// submit submits a job to one entry after another until one accepts it.
func (d *demoRun) submit(ctx context.Context, number int, stopped map[int]bool) bool {
	body, err := platform.EncodeSubmission(jobSpec(number))
	if err != nil {
		return false
	}
	for attempt := range 2 * entries {
		index := (number + attempt) % entries
		if stopped[index] {
			continue
		}
		if status, _ := call(ctx, http.MethodPost, jobURL(d.callers[index], jobID(number)), body); status == http.StatusOK {
			return true
		}
		time.Sleep(jobPeriod)
	}
	return false
}

// awaitCompleted waits for jobs to complete, within completionTimeout, and returns
// how many have.
func (d *demoRun) awaitCompleted(ctx context.Context, remaining []job.ID, stopped map[int]bool) int {
	deadline := time.Now().Add(completionTimeout)
	total := len(remaining)
	for len(remaining) > 0 && time.Now().Before(deadline) {
		remaining = slices.DeleteFunc(remaining, func(id job.ID) bool {
			for index, address := range d.callers {
				if stopped[index] {
					continue
				}
				status, data := call(ctx, http.MethodGet, jobURL(address, id), nil)
				state, err := platform.DecodeState(data)
				return status == http.StatusOK && err == nil && state == job.Completed
			}
			return false
		})
		time.Sleep(jobPeriod)
	}
	return total - len(remaining)
}
