package command

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/config/bundle"
	"github.com/oriolepier/oriolepier/internal/config/release"
	"github.com/oriolepier/oriolepier/internal/operator/option"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/platform"
)

// publishedState is the content of the topic of releases.
type publishedState struct {
	Release      release.Release `json:"release"`
	OutOfService []string        `json:"failure_domains_out"`
	end          int64           // end offset of the topic
}

// publish puts the tables of one deployment into force as a new version.
func (ses *session) publish(ctx context.Context) error {
	opts := ses.opts.Publish
	files, err := readFiles(opts.Args.Files)
	if err != nil {
		return err
	}
	sets, findings := bundle.Load(files)
	for _, finding := range findings {
		ses.printf("%s", finding)
	}
	if len(findings) > 0 {
		return errors.Errorf("not published: found %d faults", len(findings))
	}
	if len(sets) != 1 || sets[0].Routes == nil || sets[0].Pools == nil {
		return errors.New("not published: expected the routes file and the pools file of one deployment")
	}
	ctx, stop := context.WithTimeout(ctx, opts.TimeoutMS.Duration())
	defer stop()
	current, err := ses.readPublished(ctx, opts.Store)
	if err != nil {
		return err
	}
	next := release.Release{Version: current.Release.Version + 1, Routes: *sets[0].Routes, Pools: *sets[0].Pools}
	record, err := next.Record()
	if err != nil {
		return err
	}
	if err := ses.appendRecord(ctx, opts.Store, current.end, record); err != nil {
		return err
	}
	ses.printf("accepted: version %d", next.Version)
	return nil
}

// show prints the tables and the failure domains out of service.
func (ses *session) show(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, ses.opts.Show.TimeoutMS.Duration())
	defer stop()
	published, err := ses.readPublished(ctx, ses.opts.Show.Store)
	if err != nil {
		return err
	}
	data, err := json.MarshalIndent(published, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode tables")
	}
	ses.printf("%s", data)
	return nil
}

// markDomain takes a failure domain out of service or back into it.
func (ses *session) markDomain(ctx context.Context, opts option.MarkDomain, out bool) error {
	ctx, stop := context.WithTimeout(ctx, opts.TimeoutMS.Duration())
	defer stop()
	current, err := ses.readPublished(ctx, opts.Store)
	if err != nil {
		return err
	}
	if err := ses.appendRecord(ctx, opts.Store, current.end, release.MarkDomain(opts.FailureDomain, out)); err != nil {
		return err
	}
	ses.printf("accepted")
	return nil
}

// readPublished reads the tables and marks in force.
func (ses *session) readPublished(ctx context.Context, store option.Store) (publishedState, error) {
	page := ses.runners.Store(store.Address).Newest(ctx, platform.Topic(release.Topic))
	if page.Outcome != journal.Done {
		return publishedState{}, errors.Errorf("read tables at %s: %s", store.Address, page.Outcome)
	}
	published := publishedState{end: page.End}
	out := map[string]bool{}
	for _, stored := range page.Records {
		change, err := release.Decode(stored.Record)
		if err != nil {
			return publishedState{}, err
		}
		if change.Release != nil {
			published.Release = *change.Release
		}
		if change.OutOfService {
			out[change.Domain] = true
		}
	}
	published.OutOfService = slices.Sorted(maps.Keys(out))
	return published, nil
}

// appendRecord appends a record if the topic still ends at the offset given, so
// that of two concurrent changes one is rejected.
func (ses *session) appendRecord(ctx context.Context, store option.Store, end int64, record journal.Record) error {
	answer := ses.runners.Store(store.Address).Append(ctx, journal.Append{
		Topic: platform.Topic(release.Topic), ExpectedEnd: end, Records: []journal.Record{record},
	})
	switch answer.Outcome {
	case journal.Done:
		return nil
	case journal.EndMismatch:
		return errors.New("rejected: another change came first; check with show, then try again")
	case journal.Unknown:
		return errors.New("unknown: the store did not answer; check with show whether the change is in force")
	}
	return errors.Errorf("rejected: the store answered %s", answer.Outcome)
}
