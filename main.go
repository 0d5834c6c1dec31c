// Command oriolepier schedules latency-critical and batch work on shared VMs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/oriolepier/oriolepier/internal/operator/command"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, command.Runners{})
}
