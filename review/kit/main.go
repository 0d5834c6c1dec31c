// Command kit runs the scripted cases of the review: each starts the project's own
// programs and stand-ins as separate processes on loopback addresses, records what was
// sent, answered and run, and judges one rule from that.
//
// # Usage
//
//	kit case NAME --trouble 1 --record FILE   exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run
//	kit worker FLAGS                          a stand-in of a worker
//	kit limit FLAGS                           a proxy of the store that refuses records above a limit
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 115 * time.Second

// cases are the scripted cases by name.
var cases = map[string]func(ctx context.Context, d *deployment, trouble bool) (broken bool, err error){
	"starvation": starvation,
	"record":     largeRecord,
	"label":      changedLabel,
	"budget":     removedRoute,
	"estimate":   noEstimate,
	"paused":     pausedWorkers,
	"trial":      trialWorkers,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := exitNotRun
	if len(os.Args) >= 2 {
		code = run(ctx, os.Args[1], os.Args[2:])
	}
	stop()
	os.Exit(code)
}

func run(ctx context.Context, command string, args []string) int {
	var err error
	switch command {
	case "case":
		return runCase(ctx, args)
	case "worker":
		err = runWorker(ctx, args)
	case "limit":
		err = runLimit(ctx, args)
	default:
		err = fmt.Errorf("unknown command %q", command)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return exitHeld
}

func runCase(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("case", flag.ContinueOnError)
	trouble := flags.Int("trouble", 1, "0 leaves the disruption out")
	record := flags.String("record", "record.txt", "file that gets what was sent, answered and run")
	if len(args) == 0 || flags.Parse(args[1:]) != nil || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit case NAME [--trouble 0] [--record FILE]")
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	d, err := newDeployment(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.stop()
	d.notef("case %s, trouble %d", args[0], *trouble)
	broken, err := cases[args[0]](ctx, d, *trouble != 0)
	d.noteRuns()
	switch {
	case err != nil:
		d.notef("the case could not run: %v", err)
		return exitNotRun
	case broken:
		d.notef("RESULT: the rule was broken")
		return exitBroken
	}
	d.notef("RESULT: the rule held")
	return exitHeld
}
