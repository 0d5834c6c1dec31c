// Package entry runs an entry by its own settings file, for deployments that
// publish their own tables.
//
// # Usage
//
//	err := entry.Run(ctx, "entry.json", os.Stdout)
package entry

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/setting"
	"github.com/oriolepier/oriolepier/internal/config/table"
	"github.com/oriolepier/oriolepier/internal/site/daemon"
	"github.com/oriolepier/oriolepier/internal/site/secret"
	"github.com/oriolepier/oriolepier/platform"
)

// Time limits that the settings of the platform would give.
const (
	maxLease        clock.Millis = 6 * clock.Second // longest lease that a worker grants, as of the stand-in
	statusRetention clock.Millis = 2 * clock.Minute // how long a job's final state can be queried
)

// Run runs an entry by a settings file until the context ends, and then drains it.
func Run(ctx context.Context, file string, out io.Writer) error {
	settings, findings, err := setting.Load(file)
	if err != nil {
		return err
	}
	if len(findings) > 0 {
		lines := lo.Map(findings, func(finding table.Finding, _ int) string { return finding.String() })
		return errors.Errorf("settings: %s", strings.Join(lines, "; "))
	}
	return RunWith(ctx, settings, out)
}

// RunWith is like Run, for settings that are loaded already.
func RunWith(ctx context.Context, settings setting.Entry, out io.Writer) error {
	keys, err := secret.Load(settings.TLS)
	if err != nil {
		return err
	}
	return daemon.Run(ctx, daemon.Options{
		Load: func() (platform.Settings, error) { return platformSettings(settings), nil },
		Out:  out,
		Standalone: &daemon.Standalone{
			Entries: len(settings.Peers), Peers: settings.Listen.Peers, Token: settings.Token, Keys: keys,
			Level: settings.LogLevel,
		},
		LeaveNotice: time.Duration(settings.NoticeMS) * time.Millisecond,
	})
}

// platformSettings converts an entry's own settings to those of the platform.
func platformSettings(settings setting.Entry) platform.Settings {
	limits := lo.FromPtr(settings.Limits)
	return platform.Settings{
		Name: settings.Name, Domain: settings.FailureDomain,
		Consumer: settings.Listen.Callers, Control: settings.Listen.Operators,
		Store: platform.StoreSettings{Address: settings.Platform.Store},
		Limits: platform.Limits{
			MemoryMB: limits.MemoryMB, Descriptors: limits.FileDescriptors, CallerConnections: limits.CallerConnections,
			CallerBodyBytes: limits.CallerBodyBytes, CallerBodyRate: limits.CallerBodyRate,
		},
		Bounds: platform.Bounds{MaxLease: maxLease, StatusKept: statusRetention},
	}
}
