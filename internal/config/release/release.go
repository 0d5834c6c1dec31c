// Package release is what operators publish: both tables under a version, and
// the marks of failure domains that are out of service.
//
// A deployment that has tables of its own keeps them in a topic of the
// platform's store, one record for the tables and one for each mark. A change
// is appended on the condition that the topic ends where it was read, so of two
// operators who race one is told to look again.
//
// # Usage
//
//	record, err := release.Release{Version: 8, Routes: routes, Pools: pools}.Record()
//	record := release.Mark("b", true)
//	change, err := release.Decode(record)
//	queues := change.Release.Manifest()
package release

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/config/pool"
	"github.com/oriolepier/oriolepier/internal/config/route"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/schedule/manifest"
)

// Topic is the name of the topic of releases.
const Topic = "tables"

// Keys of the topic.
const (
	keyTables = "tables"
	keyOut    = "out/" // + failure domain
)

// Release is one version of both tables.
type Release struct {
	Version int64       `json:"version"`
	Routes  route.Table `json:"routes"`
	Pools   pool.Table  `json:"pools"`
}

// Change is what one record says.
type Change struct {
	Release *Release // new tables, or nil
	Domain  string   // a failure domain ...
	Out     bool     // ... that is out of service, or back
}

// Record returns the record that puts a release into force.
func (r Release) Record() (journal.Record, error) {
	data, err := json.Marshal(r)
	return journal.Record{Key: keyTables, Value: data}, errors.Wrap(err, "encode release")
}

// Mark returns the record that takes a failure domain out of service or back.
func Mark(domain string, out bool) journal.Record {
	record := journal.Record{Key: keyOut + domain}
	if out {
		record.Value = []byte("{}")
	}
	return record
}

// Decode reads a record of the topic.
func Decode(record journal.Record) (Change, error) {
	if domain, ok := strings.CutPrefix(record.Key, keyOut); ok {
		return Change{Domain: domain, Out: len(record.Value) > 0}, nil
	}
	if record.Key != keyTables || len(record.Value) == 0 {
		return Change{}, nil
	}
	var published Release
	if err := json.Unmarshal(record.Value, &published); err != nil {
		return Change{}, errors.Wrap(err, "decode release")
	}
	return Change{Release: &published}, nil
}

// Terms of a batch route's jobs that the tables do not set.
const (
	batchPriority   = 2
	batchStretch    = 2.0 // jobs are ordered as if twice their length were wanted
	defaultAttempts = 3
)

// Manifest returns the queues of the batch routes and the pools.
func (r Release) Manifest() manifest.Manifest {
	batch := lo.Filter(r.Routes.Routes, func(row route.Route, _ int) bool { return row.Class == route.Batch })
	queues := lo.Map(batch, func(row route.Route, _ int) manifest.Queue { return queueOf(row) })
	pools := lo.Map(r.Pools.Pools, func(row pool.Pool, _ int) manifest.Pool {
		return manifest.Pool{Name: row.Name, Guarded: true}
	})
	return manifest.New(r.Version, queues, pools, manifest.Limits{})
}

func queueOf(row route.Route) manifest.Queue {
	return manifest.Queue{
		Name: row.Name, Host: row.Match.Host, PathPrefix: prefixOf(row), Pools: row.Pools, Priority: batchPriority, Attempts: lo.Ternary(row.MaxAttempts > 0, row.MaxAttempts, defaultAttempts),
		Stretch: batchStretch, Allowance: row.DeadlineMS, Timeout: row.DeadlineMS,
	}
}

// prefixOf is the path prefix of a batch route; one that names none has its own.
func prefixOf(row route.Route) string {
	if prefix := strings.TrimSuffix(row.Match.PathPrefix, "/"); prefix != "" {
		return prefix + "/"
	}
	return "/jobs/" + row.Name + "/"
}
