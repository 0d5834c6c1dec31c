// Command oriolepier schedules latency-critical and batch work on shared VMs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/oriolepier/oriolepier/internal/operator/command"
	"github.com/oriolepier/oriolepier/internal/operator/demo"
	"github.com/oriolepier/oriolepier/internal/operator/entry"
	"github.com/oriolepier/oriolepier/internal/operator/option"
	"github.com/oriolepier/oriolepier/internal/operator/soak"
	"github.com/oriolepier/oriolepier/internal/operator/standin"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
	"github.com/oriolepier/oriolepier/internal/site/daemon"
	"github.com/oriolepier/oriolepier/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	streams := command.Streams{In: os.Stdin, Out: os.Stdout, ErrOut: os.Stderr}
	os.Exit(command.Run(ctx, os.Args[1:], streams, command.Runners{
		Serve:   serve,
		Entry:   runEntry,
		Demo:    runDemo,
		Standin: runStandin,
		Soak:    runSoak,
		Store:   func(address string) journal.Log { return platform.NewStore(address).Log() },
	}))
}

func serve(ctx context.Context, _ option.Options) error {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	return daemon.Run(ctx, daemon.Options{Load: platform.LoadSettings, Out: os.Stdout, Reload: reloads})
}

func runEntry(ctx context.Context, opts option.Options) error {
	return entry.Run(ctx, opts.Entry.Settings, os.Stdout)
}

func runDemo(ctx context.Context, opts option.Options) error {
	return demo.Run(ctx, demo.Options{Out: os.Stdout, Progress: os.Stderr, Seed: opts.Demo.Seed})
}

func runSoak(ctx context.Context, opts option.Options) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	return soak.Run(ctx, soak.Options{Soak: opts.Soak, Program: program, Out: os.Stdout, Progress: os.Stderr})
}

func runStandin(ctx context.Context, opts option.Options) error {
	switch opts.Command {
	case "standin worker":
		return standin.RunWorker(ctx, opts.Standin.Worker, os.Stdout)
	case "standin workers":
		return soak.RunWorkers(ctx, opts.Standin.Workers.File)
	}
	return standin.RunStore(ctx, opts.Standin.Store, os.Stdout)
}
