// Command oriolepier schedules latency-critical and batch work on shared VMs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/config/setting"
	"github.com/oriolepier/oriolepier/internal/entry/node"
	"github.com/oriolepier/oriolepier/internal/operator/command"
	"github.com/oriolepier/oriolepier/internal/operator/demo"
	"github.com/oriolepier/oriolepier/internal/operator/option"
	"github.com/oriolepier/oriolepier/internal/platform/remote"
	"github.com/oriolepier/oriolepier/internal/site/daemon"
	"github.com/oriolepier/oriolepier/internal/standin/process"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, command.Runners{
		Entry:   runEntry,
		Serve:   runServe,
		Demo:    runDemo,
		Standin: runStandin,
		Log:     remote.NewLog,
	})
}

func runEntry(ctx context.Context, opts option.Options) int {
	if err := node.Run(ctx, opts.Entry.Settings, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "oriolepier entry:", err)
		return option.ExitFailed
	}
	return option.ExitDone
}

func runServe(ctx context.Context, _ option.Options) int {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	if err := daemon.Run(ctx, daemon.Options{Out: os.Stdout, Reload: hangups}); err != nil {
		fmt.Fprintln(os.Stderr, "oriolepier serve:", err)
		return option.ExitFailed
	}
	return option.ExitDone
}

func runDemo(ctx context.Context, opts option.Options) int {
	return demo.Run(ctx, demo.Options{Out: os.Stdout, Progress: os.Stderr, Seed: opts.Demo.Seed, Start: startNode})
}

// startNode serves an entry within this process.
func startNode(ctx context.Context, settings setting.Entry) (demo.Entry, error) {
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		return demo.Entry{}, errors.Wrap(err, "log level")
	}
	whole, err := node.New(node.Options{
		Setting: settings, Clock: clock.New(),
		Log: zerolog.New(os.Stderr).Level(level).With().Str("entry", settings.Name).Logger(),
	})
	if err != nil {
		return demo.Entry{}, err
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	group := new(errgroup.Group)
	group.Go(func() error { return whole.Serve(serving) })
	return demo.Entry{
		Callers:   whole.CallersAddress(),
		Operators: whole.OperatorsAddress(),
		Stop:      func(context.Context) error { stop(); return group.Wait() },
		Kill:      func() { whole.Kill(); stop(); _ = group.Wait() },
	}, nil
}

func runStandin(ctx context.Context, opts option.Options) int {
	return process.RunStandin(ctx, opts.Standin, os.Stdout)
}
