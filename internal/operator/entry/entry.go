// Package entry runs an entry by its own settings file, for deployments with
// tables of their own.
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

// Times that the platform's own settings would name.
const (
	longestLease clock.Millis = 6 * clock.Second
	statusKept   clock.Millis = 2 * clock.Minute
)

// Run serves until the context ends, and then leaves gracefully.
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

// RunWith is Run for settings at hand.
func RunWith(ctx context.Context, settings setting.Entry, out io.Writer) error {
	keys, err := secret.Load(settings.TLS)
	if err != nil {
		return err
	}
	return daemon.Run(ctx, daemon.Options{
		Load: func() (platform.Settings, error) { return translate(settings), nil },
		Out:  out,
		Product: &daemon.Product{
			Entries: len(settings.Peers), Peers: settings.Listen.Peers, Token: settings.Token, Keys: keys,
			Level: settings.LogLevel,
		},
		Notice: time.Duration(settings.NoticeMS) * time.Millisecond,
	})
}

// translate gives an entry's own settings the form of the platform's.
func translate(settings setting.Entry) platform.Settings {
	return platform.Settings{
		Name: settings.Name, Domain: settings.FailureDomain,
		Consumer: settings.Listen.Callers, Control: settings.Listen.Operators,
		Store:  platform.StoreSettings{Address: settings.Platform.Store},
		Bounds: platform.Bounds{MaxLease: longestLease, StatusKept: statusKept},
	}
}
