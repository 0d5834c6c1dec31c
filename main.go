// Command oriolepier schedules latency-critical and batch work on shared VMs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/oriolepier/oriolepier/internal/entry/node"
	"github.com/oriolepier/oriolepier/internal/operator/command"
	"github.com/oriolepier/oriolepier/internal/operator/option"
	"github.com/oriolepier/oriolepier/internal/platform/remote"
	"github.com/oriolepier/oriolepier/internal/standin/process"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, command.Runners{
		Entry:   runEntry,
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

func runStandin(ctx context.Context, opts option.Options) int {
	return process.RunStandin(ctx, opts.Standin, os.Stdout)
}
