// Package load is a caller of the system: it sends requests and tasks as the
// users' clients do behind the platform's balancer, checks each answer byte by
// byte, and tells the witness what it saw.
//
// Like a balancer it goes to another entry when one cannot be reached or says
// "not run". It repeats what may have run only when the request is repeatable;
// a task it submits again under the same key, which the system must recognize.
//
// # Usage
//
//	caller := load.New(load.Options{Name: "kennel", Clock: clk, Observe: record.Observer(), Entries: entries})
//	outcome := caller.Request(ctx, load.Request{Path: "/ration", AnswerBytes: 600, DeadlineMS: 500})
//	id, err := caller.Submit(ctx, load.Task{Key: "k-1", Route: "forecast", ...})
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

const (
	// Tries at other entries before a caller gives up.
	defaultTries = 6
	// Between two tries, so that a short refusal of all entries passes.
	pauseBetweenTries clock.Millis = 20
	// Latencies above this are counted as this.
	maxLatency = 10 * time.Minute
	// Digits kept of a latency.
	latencyDigits = 3
	// Bounds an answer beyond what was asked for.
	extraAnswerBytes = 64 << 10
	// Connections kept to each entry.
	idlePerEntry = 64
)

// Entry is where callers reach one entry.
type Entry struct {
	Name          string
	FailureDomain string
	Address       string // ip:port
}

// Options set up a caller.
type Options struct {
	Name    string // starts its request ids, and is the caller of its tasks
	Clock   clock.Clock
	Seed    uint64
	Observe witness.Observer
	Entries func() []Entry // those that the balancer offers now
	Client  *http.Client   // nil for defaults
	Tries   int            // 0 means 6
}

// Caller is one client of the system. Its methods may be called from any
// goroutine.
type Caller struct {
	options Options

	mu        sync.Mutex
	lots      *rand.Rand
	sent      int64
	latencies *hdrhistogram.Histogram // microseconds of answered requests
}

// New returns a caller.
func New(options Options) *Caller {
	if options.Tries == 0 {
		options.Tries = defaultTries
	}
	if options.Client == nil {
		options.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerEntry}}
	}
	return &Caller{
		options:   options,
		lots:      rand.New(rand.NewPCG(options.Seed, 3)),
		latencies: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits),
	}
}

// Close drops idle connections.
func (caller *Caller) Close() { caller.options.Client.CloseIdleConnections() }

// Latency returns a quantile of the answered requests, in milliseconds.
func (caller *Caller) Latency(quantile float64) float64 {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	return float64(caller.latencies.ValueAtQuantile(quantile)) / 1000
}

func (caller *Caller) nextID() string {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	caller.sent++
	return fmt.Sprintf("%s-%06d", caller.options.Name, caller.sent)
}

func (caller *Caller) noteLatency(took time.Duration) {
	caller.mu.Lock()
	defer caller.mu.Unlock()
	_ = caller.latencies.RecordValue(min(took, maxLatency).Microseconds()) // in range by the line above
}

// pick returns the entries in the order in which to try them.
func (caller *Caller) pick() []Entry {
	entries := caller.options.Entries()
	caller.mu.Lock()
	defer caller.mu.Unlock()
	caller.lots.Shuffle(len(entries), func(one, other int) {
		entries[one], entries[other] = entries[other], entries[one]
	})
	return entries
}

func (caller *Caller) note(ctx context.Context, event witness.Event) {
	event.At = caller.options.Clock.Now()
	caller.options.Observe(ctx, event)
}

// tries calls attempt with one entry after another until it says that it is
// done, the tries are used up, or the context ends.
func (caller *Caller) tries(ctx context.Context, attempt func(entry Entry) (done bool)) {
	entries := caller.pick()
	for count := 0; count < caller.options.Tries && ctx.Err() == nil; count++ {
		if len(entries) == 0 {
			entries = caller.pick()
		}
		if len(entries) > 0 && attempt(entries[0]) {
			return
		}
		entries = entries[min(1, len(entries)):]
		if caller.options.Clock.Sleep(ctx, pauseBetweenTries) != nil {
			return
		}
	}
}
