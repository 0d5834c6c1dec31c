// Package manifest holds the operators' routes and pools in the form that the
// scheduler uses: which queue a request belongs to, and which pools of workers
// run its jobs.
//
// # Usage
//
//	tables := manifest.New(version, queues, pools, limits)
//	queue, rest, ok := tables.Match("nony24.example", "/lohu930/5c0e7a21d94b36f8")
package manifest

import (
	"cmp"
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
)

// Queue is a route that accepts jobs.
type Queue struct {
	Name               string
	Host               string
	PathPrefix         string
	Pools              []string     // pools whose workers run its tasks, the preferred one first
	Priority           int          // 0 is served first
	MaxFailures        int          // failed runs of a task after which its job fails
	ObjectiveFactor    float64      // latency objective as a multiple of the expected duration of the job; values below 1 count as 1
	ObjectiveAllowance clock.Millis // added to the latency objective
	Timeout            clock.Millis // time limit for answering a request
	ExternallyPlaced   bool         // an external service chooses its workers
	Public             bool         // callers need no key
}

// Pool is a group of workers.
type Pool struct {
	Name              string
	RefusesOvercommit bool // its workers refuse tasks for which they have no room
	PoweredOff        bool // its VMs are powered off
}

// Limits bound the size and duration of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// Manifest is one version of the tables. It is immutable.
type Manifest struct {
	Version   int64
	Limits    Limits
	queues    map[string]Queue   // by name
	pools     map[string]Pool    // by name
	byHost    map[string][]Queue // longest prefix first
	customers *customerIndex     // nil: no customers are listed
}

// New returns a manifest with the given queues and pools.
func New(version int64, queues []Queue, pools []Pool, limits Limits) Manifest {
	byHost := lo.GroupBy(queues, func(queue Queue) string { return strings.ToLower(queue.Host) })
	for _, queuesOfHost := range byHost {
		slices.SortStableFunc(queuesOfHost, func(a, b Queue) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return Manifest{
		Version: version,
		Limits:  limits,
		queues:  lo.KeyBy(queues, func(queue Queue) string { return queue.Name }),
		pools:   lo.KeyBy(pools, func(pool Pool) string { return pool.Name }),
		byHost:  byHost,
	}
}

// anyHost is the host of queues that accept requests for every host.
const anyHost = ""

// Match returns the queue of a request and the rest of the path after the
// queue's prefix. The port of the host is ignored. A queue that names the host
// takes precedence over one for every host.
func (m Manifest) Match(host, path string) (queue Queue, rest string, ok bool) {
	name, _, _ := strings.Cut(host, ":")
	for _, candidates := range [][]Queue{m.byHost[strings.ToLower(name)], m.byHost[anyHost]} {
		for _, candidate := range candidates {
			if after, found := strings.CutPrefix(path, candidate.PathPrefix); found {
				return candidate, after, true
			}
		}
	}
	return Queue{}, "", false
}

// Queue returns a queue by its name.
func (m Manifest) Queue(name string) (Queue, bool) {
	queue, ok := m.queues[name]
	return queue, ok
}

// Pool returns a pool by its name.
func (m Manifest) Pool(name string) (Pool, bool) {
	pool, ok := m.pools[name]
	return pool, ok
}
