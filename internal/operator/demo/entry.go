package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/config/mark"
	"github.com/oriolepier/oriolepier/internal/config/setting"
	"github.com/oriolepier/oriolepier/internal/platform/remote"
	"github.com/oriolepier/oriolepier/internal/standin/load"
	"github.com/oriolepier/oriolepier/internal/standin/witness"
)

const (
	// The stand-in of the balancer asks each entry so often whether it is ready.
	probeEvery = 200 * clock.Millis(1)
	// Of one probe.
	probeTimeout = 1 * clock.Second
	// How long a stopping entry waits for the balancer to notice.
	noticeTime = 3 * probeEvery
	// Stream that configuration is published on.
	configStream = "config"
)

// member is one entry of the deployment.
type member struct {
	settings setting.Entry
	running  Entry
	up       bool // was started and not yet stopped or killed
	ready    bool // by the last probe
	version  int64
}

// planEntries writes the settings of all entries; each names all.
func (stage *stage) planEntries(ctx context.Context) error {
	var peers []setting.Peer
	for _, domain := range domains {
		for number := range entriesPerDomain {
			address, err := freeAddress(ctx)
			if err != nil {
				return err
			}
			name := fmt.Sprintf("%s-entry-%d", domain, number+1)
			peers = append(peers, setting.Peer{Name: name, FailureDomain: domain, Address: address})
		}
	}
	for _, peer := range peers {
		platform := stage.platformURL(peer.FailureDomain)
		stage.entries = append(stage.entries, &member{settings: setting.Entry{
			Name: peer.Name, FailureDomain: peer.FailureDomain, Peers: peers, LogLevel: "error", NoticeMS: noticeTime,
			Listen:   setting.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: peer.Address},
			Platform: setting.Platform{Log: platform, LogRetentionMS: logRetention, Inventory: platform, Usage: platform},
		}})
	}
	return nil
}

// freeAddress returns an address that nobody listens on now.
func freeAddress(ctx context.Context) (string, error) {
	listener, err := listen(ctx)
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), errors.Wrap(listener.Close(), "close")
}

func (stage *stage) startEntries(ctx context.Context) error {
	for _, member := range stage.entries {
		running, err := stage.options.Start(ctx, member.settings)
		if err != nil {
			return errors.Wrapf(err, "start %s", member.settings.Name)
		}
		stage.mu.Lock()
		member.running, member.up = running, true
		stage.mu.Unlock()
	}
	return nil
}

// entry takes an entry out of the deployment; the caller stops or kills it.
func (stage *stage) entry(name string) Entry {
	stage.mu.Lock()
	defer stage.mu.Unlock()
	index := slices.IndexFunc(stage.entries, func(member *member) bool { return member.settings.Name == name })
	stage.entries[index].up = false
	return stage.entries[index].running
}

// stopAll stops the entries that are left, all at once.
func (stage *stage) stopAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopLimit.Duration())
	defer cancel()
	var group errgroup.Group
	for _, member := range stage.entries {
		if !member.up {
			continue
		}
		running := stage.entry(member.settings.Name)
		group.Go(func() error { return running.Stop(ctx) })
	}
	if err := group.Wait(); err != nil {
		stage.sayf("stopping entries: %v", err)
	}
}

// offered is the list of entries that the balancer offers to callers.
func (stage *stage) offered() []load.Entry {
	stage.mu.Lock()
	defer stage.mu.Unlock()
	var entries []load.Entry
	for _, member := range stage.entries {
		if member.ready {
			entries = append(entries, load.Entry{
				Name: member.settings.Name, FailureDomain: member.settings.FailureDomain, Address: member.running.Callers,
			})
		}
	}
	return entries
}

// balance probes all entries, as the platform's balancer does.
func (stage *stage) balance(ctx context.Context) error {
	client := &http.Client{Timeout: probeTimeout.Duration(), Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for stage.site.Clock.Sleep(ctx, probeEvery) == nil {
		for _, member := range stage.entries {
			stage.mu.Lock()
			address := member.running.Callers
			stage.mu.Unlock()
			if address == "" {
				continue
			}
			answer, err := probe(ctx, client, address)
			stage.mu.Lock()
			member.ready = err == nil && answer.Ready
			member.version = max(member.version, answer.ConfigVersion)
			stage.mu.Unlock()
		}
	}
	return nil
}

// readiness is the answer of GET /v1/ready.
type readiness struct {
	Ready         bool  `json:"ready"`
	ConfigVersion int64 `json:"config_version"`
}

func probe(ctx context.Context, client *http.Client, address string) (state readiness, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/ready", http.NoBody)
	if err != nil {
		return state, errors.Wrap(err, "build probe")
	}
	answer, err := client.Do(request)
	if err != nil {
		return state, errors.Wrap(err, "probe")
	}
	defer func() { _ = answer.Body.Close() }()
	return state, errors.Wrap(json.NewDecoder(answer.Body).Decode(&state), "decode probe")
}

// publish appends one change.
func (stage *stage) publish(ctx context.Context, edit ledger.Edit) error {
	stage.sequence++
	data, err := ledger.Encode(ledger.Change{Writer: operatorsName, Sequence: stage.sequence, Base: stage.version, Edits: []ledger.Edit{edit}})
	if err != nil {
		return err
	}
	offset, err := remote.NewLog(stage.platformURL(""), nil).Append(ctx, configStream, data)
	if err != nil {
		return err
	}
	stage.version = int64(offset)
	return nil
}

// inForce waits until all running entries have the version last published.
func (stage *stage) inForce(ctx context.Context, limit clock.Millis) error {
	return stage.until(ctx, limit, fmt.Sprintf("version %d in force everywhere", stage.version), func() bool {
		stage.mu.Lock()
		defer stage.mu.Unlock()
		return !slices.ContainsFunc(stage.entries, func(member *member) bool {
			return member.up && (!member.ready || member.version != stage.version)
		})
	})
}

// mark takes a failure domain out or back. The witness counts from the moment
// at which the mark was in the log.
func (stage *stage) mark(ctx context.Context, domain string, out bool) error {
	if err := stage.publish(ctx, ledger.Edit{Mark: &mark.Mark{Kind: mark.Domain, Name: domain, Out: out}}); err != nil {
		return errors.Wrap(err, "publish mark")
	}
	kind := witness.DomainBack
	if out {
		kind = witness.DomainOut
	}
	stage.site.Record.Note(witness.Event{Kind: kind, At: stage.site.Clock.Now(), Domain: domain})
	return stage.inForce(ctx, versionLimit)
}
