package soak

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/schedule/job"
	"github.com/oriolepier/oriolepier/platform"
)

// Load on a deployment.
const (
	clients         = 12
	callTimeout     = 3500 * time.Millisecond
	submitAttempts  = 10
	retryWait       = 400 * clock.Millis(1)
	cancelPercent   = 8
	maxCancelDelay  = 8 * clock.Second
	longShare       = 0.32 // of the room of all workers
	shortShare      = 0.12
	lastingShare    = 0.08
	meanLong        = 6.8 // seconds that a long run takes on average
	meanShort       = 0.9
	longTasks       = 2 // tasks of a long or lasting job
	shortTasks      = 4.7
	finalTimeout    = 60 * clock.Second // until all accepted jobs must be final, after the faults
	finalPoll       = 500 * clock.Millis(1)
	finalPollBatch  = 16 // queries under way at a time
	clientIdleConns = 4
)

// submission is a job as its caller knows it.
type submission struct {
	id       job.ID
	kind     kind
	spec     job.Spec
	accepted bool
	refused  bool // refused by the only answers that it got, with no attempt unanswered
	// cancelledAt is when its cancellation was acknowledged; 0: never.
	cancelledAt clock.Millis
	cancelTried bool
	state       job.State // as last queried
	gone        bool      // no such job, by the last answer
}

// load is the callers of a deployment.
type load struct {
	deployment  *deployment
	mu          sync.Mutex
	submissions []*submission
}

// client is one caller. It keeps using its connections while they work.
type client struct {
	*load
	rng  *rand.Rand
	http *http.Client
	at   *entry // where it sends its requests
}

func (l *load) newClient(stream uint64) *client {
	rng := l.deployment.plan.newRand(stream)
	transport := &http.Transport{MaxIdleConnsPerHost: clientIdleConns, DisableCompression: true}
	c := &client{load: l, rng: rng, http: &http.Client{Timeout: callTimeout, Transport: transport}}
	c.move()
	return c
}

// move makes a client use another entry.
func (c *client) move() { c.at = c.deployment.entries[c.rng.IntN(len(c.deployment.entries))] }

// call sends one request. Status 0 is returned if there is no complete answer.
func (c *client) call(ctx context.Context, method string, id job.ID, body []byte) (status int, data []byte) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.at.callers+queuePrefix+string(id), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = queueHost
	response, err := c.http.Do(request)
	if err != nil {
		c.move()
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err = io.ReadAll(response.Body)
	if err != nil {
		c.move()
		return 0, nil
	}
	if response.StatusCode == http.StatusServiceUnavailable && c.rng.IntN(2) == 0 {
		c.move()
	}
	return response.StatusCode, data
}

// run submits jobs until the context ends.
func (l *load) run(ctx context.Context) error {
	var group errgroup.Group
	slots := float64(l.deployment.plan.workers * slotsPerWorker)
	rate := map[kind]float64{
		longRuns:  longShare * slots / meanLong / longTasks / clients,
		shortRuns: shortShare * slots / meanShort / shortTasks / clients,
		lasting:   lastingShare * slots / longTasks / l.deployment.plan.length.Duration().Seconds() / clients,
	}
	stream := uint64(1000)
	for range clients {
		for k, perSecond := range rate {
			stream++
			c := l.newClient(stream<<8 | uint64(k))
			group.Go(func() error { c.submitAll(ctx, k, perSecond); return nil })
		}
	}
	return group.Wait()
}

// submitAll submits jobs of a kind at a rate until the context ends.
func (c *client) submitAll(ctx context.Context, k kind, perSecond float64) {
	var cancels errgroup.Group
	if k == lasting && c.rng.IntN(2) == 0 {
		c.submit(ctx, k)
	}
	for {
		wait := clock.Millis(c.rng.ExpFloat64() / perSecond * float64(clock.Second))
		if c.deployment.clock.Sleep(ctx, wait) != nil {
			break
		}
		s := c.submit(ctx, k)
		if s.accepted && (k == lasting || c.rng.IntN(100) < cancelPercent) {
			delay := clock.Millis(c.rng.Int64N(int64(maxCancelDelay)))
			other := c.newClient(c.rng.Uint64())
			cancels.Go(func() error {
				if c.deployment.clock.Sleep(ctx, delay) == nil {
					other.cancel(ctx, s)
				}
				return nil
			})
		}
	}
	_ = cancels.Wait() // they return no error
}

// submit submits one job, again with the same id after a lost answer.
func (c *client) submit(ctx context.Context, k kind) *submission {
	length := drawLength(k, c.rng)
	s := &submission{id: newJobID(k, length, c.rng), kind: k, spec: newSpec(k, length, c.rng)}
	body, err := platform.EncodeSubmission(s.spec)
	if err != nil {
		return s
	}
	c.mu.Lock()
	c.submissions = append(c.submissions, s)
	c.mu.Unlock()
	uncertain := false
	for range submitAttempts {
		status, _ := c.call(ctx, http.MethodPost, s.id, body)
		switch {
		case status >= http.StatusOK && status < http.StatusMultipleChoices:
			c.update(func() { s.accepted, s.refused = true, false })
			return s
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			c.update(func() { s.refused = !uncertain })
			if c.rng.IntN(3) == 0 {
				return s // gives up
			}
		default:
			uncertain = true
			c.update(func() { s.refused = false })
		}
		if c.deployment.clock.Sleep(ctx, retryWait+clock.Millis(c.rng.Int64N(int64(retryWait)))) != nil {
			return s
		}
	}
	return s
}

// cancel cancels a job until that is acknowledged.
func (c *client) cancel(ctx context.Context, s *submission) {
	c.update(func() { s.cancelTried = true })
	for range submitAttempts {
		status, _ := c.call(ctx, http.MethodDelete, s.id, nil)
		if status >= http.StatusOK && status < http.StatusMultipleChoices || status == http.StatusGone {
			c.update(func() { s.cancelledAt = c.deployment.clock.Now() })
			return
		}
		if c.deployment.clock.Sleep(ctx, retryWait) != nil {
			return
		}
	}
}

func (l *load) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// open returns the accepted jobs that were not final by their last answer.
func (l *load) open() []*submission {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []*submission
	for _, s := range l.submissions {
		if s.accepted && !s.state.Final() && !s.gone {
			open = append(open, s)
		}
	}
	return open
}

// finish cancels what runs until cancelled, and waits until all accepted jobs are
// final, or too long.
func (l *load) finish(ctx context.Context) error {
	deadline := l.deployment.clock.Now() + finalTimeout
	for l.deployment.clock.Now() < deadline && ctx.Err() == nil {
		open := l.open()
		if len(open) == 0 {
			return nil
		}
		group := new(errgroup.Group)
		group.SetLimit(finalPollBatch)
		for number, s := range open {
			c := l.newClient(uint64(number))
			group.Go(func() error { c.check(ctx, s); return nil })
		}
		if err := group.Wait(); err != nil {
			return err
		}
		if err := l.deployment.clock.Sleep(ctx, finalPoll); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// check queries the state of a job, after its cancellation if it runs until then.
func (c *client) check(ctx context.Context, s *submission) {
	defer c.http.CloseIdleConnections()
	if s.kind == lasting && s.cancelledAt == 0 {
		c.cancel(ctx, s)
	}
	status, data := c.call(ctx, http.MethodGet, s.id, nil)
	switch status {
	case http.StatusOK:
		if state, err := platform.DecodeState(data); err == nil {
			c.update(func() { s.state = state })
		}
	case http.StatusGone:
		c.update(func() { s.gone = true })
	}
}
