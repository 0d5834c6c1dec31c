package node

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/setting"
)

// Run loads a settings file and serves until the context ends. Faults in the
// settings go to errOut, a line each. The error says why nothing was served or
// why serving ended early.
func Run(ctx context.Context, settingsFile string, errOut io.Writer) error {
	entry, findings, err := setting.Load(settingsFile)
	for _, finding := range findings {
		_, _ = fmt.Fprintln(errOut, finding)
	}
	if err != nil {
		return err
	}
	if len(findings) > 0 {
		return errors.Errorf("%d faults in %s", len(findings), settingsFile)
	}
	log, err := newLog(entry, errOut)
	if err != nil {
		return err
	}
	whole, err := New(Options{Setting: entry, Clock: clock.New(), Log: log})
	if err != nil {
		return err
	}
	return whole.Serve(ctx)
}

func newLog(entry setting.Entry, out io.Writer) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(entry.LogLevel)
	if err != nil {
		return zerolog.Nop(), errors.Wrap(err, "log level")
	}
	return zerolog.New(out).Level(level).With().Timestamp().Str("entry", entry.Name).Logger(), nil
}
