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

// call sends one request; status 0 stands for no answer.
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

// awaitReady waits until a job is refused by nobody for want of an owner.
func (st *stage) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyLimit)
	for time.Now().Before(deadline) {
		status, _ := call(ctx, http.MethodGet, "http://"+st.callers[0]+queuePrefix, nil)
		if status == http.StatusOK {
			st.progressf("%d entries and %d workers are up", entries, workers)
			return nil
		}
		time.Sleep(jobPeriod)
	}
	return errors.Errorf("no entry was ready after %s", readyLimit)
}

// play sends jobs while things go wrong, and waits for their ends.
func (st *stage) play(ctx context.Context) (Result, error) {
	var result Result
	var accepted []job.ID
	gone := map[int]bool{}
	for number := range jobs {
		if err := st.trouble(ctx, number, gone); err != nil {
			return result, err
		}
		if st.submit(ctx, number, gone) {
			accepted = append(accepted, jobID(number))
		} else {
			result.Refused++
		}
		time.Sleep(jobPeriod)
	}
	result.Accepted = len(accepted)
	result.Completed = st.awaitCompleted(ctx, accepted, gone)
	result.DoneRuns, result.Broken = st.witness.verdict(accepted, result.Completed)
	return result, nil
}

// trouble does what goes wrong at a point of the play.
func (st *stage) trouble(ctx context.Context, number int, gone map[int]bool) error {
	switch number {
	case jobs / 8:
		st.progressf("failure domain a is taken out of service")
		return st.write(ctx, release.Mark(domains[0], true))
	case jobs / 4:
		st.progressf("failure domain a is back")
		return st.write(ctx, release.Mark(domains[0], false))
	case jobs / 2:
		st.progressf("the store is away for %s", storeDown)
		st.store.SetDown(true)
		time.Sleep(storeDown)
		st.store.SetDown(false)
	case jobs * 3 / 4:
		st.progressf("the first entry is stopped")
		st.stops[0]()
		gone[0] = true
	}
	return nil
}

// submit hands a job in, at one entry after another, until one accepts it.
func (st *stage) submit(ctx context.Context, number int, gone map[int]bool) bool {
	body, err := platform.EncodeSubmission(tasksOf(number))
	if err != nil {
		return false
	}
	for try := range 2 * entries {
		at := (number + try) % entries
		if gone[at] {
			continue
		}
		if status, _ := call(ctx, http.MethodPost, jobURL(st.callers[at], jobID(number)), body); status == http.StatusOK {
			return true
		}
		time.Sleep(jobPeriod)
	}
	return false
}

// awaitCompleted counts the jobs that are shown as completed in time.
func (st *stage) awaitCompleted(ctx context.Context, open []job.ID, gone map[int]bool) int {
	deadline := time.Now().Add(finishLimit)
	total := len(open)
	for len(open) > 0 && time.Now().Before(deadline) {
		open = slices.DeleteFunc(open, func(id job.ID) bool {
			for at, address := range st.callers {
				if gone[at] {
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
	return total - len(open)
}
