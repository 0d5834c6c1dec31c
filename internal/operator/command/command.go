// Package command runs what the command line asks for, one file a command.
//
//	args ──option.Parse──> command ──> files            check
//	                          ├──────> platform's log   publish, out, back, show
//	                          ├──────> an entry         submit, status, cancel, dump
//	                          └──────> Runners          entry, demo, standin
//
// # Usage
//
//	os.Exit(command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, command.Runners{Entry: run}))
//
// Results go to out, one line or JSON object each; mistakes and progress go to
// errOut. The code is one of the option.Exit constants.
package command

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/base/clock"
	"github.com/oriolepier/oriolepier/internal/operator/option"
	"github.com/oriolepier/oriolepier/internal/platform/stream"
	"github.com/oriolepier/oriolepier/internal/standin/process"
)

// Runners are the commands that live in other packages. One that is nil is
// reported as missing from this binary.
type Runners struct {
	Entry   func(ctx context.Context, opts option.Options) int
	Serve   func(ctx context.Context, opts option.Options) int
	Demo    func(ctx context.Context, opts option.Options) int
	Standin func(ctx context.Context, opts option.Options) int
	// Log makes a client of the platform's log; nil for the one over HTTP.
	Log func(baseURL string, client *http.Client) stream.Log
}

// session is one run of a command.
type session struct {
	opts    option.Options
	out     io.Writer
	errOut  io.Writer
	runners Runners
	clk     clock.Clock
}

// Run runs the command that the arguments name and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer, runners Runners) int {
	opts, err := option.Parse(args)
	var help *option.Help
	if errors.As(err, &help) {
		_, _ = io.WriteString(out, help.Text)
		return option.ExitDone
	}
	ses := &session{opts: opts, out: out, errOut: errOut, runners: runners, clk: clock.New()}
	if err != nil {
		ses.complainf("oriolepier: %s", err)
		ses.complainf("oriolepier --help lists commands and flags.")
		return option.ExitUsage
	}
	return ses.dispatch(ctx)
}

func (ses *session) dispatch(ctx context.Context) int {
	switch ses.opts.Command {
	case "entry":
		return ses.foreign(ctx, ses.runners.Entry)
	case "serve":
		return ses.foreign(ctx, ses.runners.Serve)
	case "demo":
		return ses.foreign(ctx, ses.runners.Demo)
	case "standin platform", "standin worker":
		return ses.standin(ctx)
	case "check":
		return ses.check()
	case "publish":
		return ses.publish(ctx)
	case "show":
		return ses.show(ctx)
	case "out":
		return ses.mark(ctx, ses.opts.Out, true)
	case "back":
		return ses.mark(ctx, ses.opts.Back, false)
	case "submit":
		return ses.submit(ctx)
	case "status":
		return ses.status(ctx)
	case "cancel":
		return ses.cancel(ctx)
	case "dump":
		return ses.dump(ctx)
	default:
		return ses.version()
	}
}

func (ses *session) foreign(ctx context.Context, run func(context.Context, option.Options) int) int {
	if run == nil {
		return ses.fail(errors.Errorf("%s is not part of this binary", ses.opts.Command))
	}
	return run(ctx, ses.opts)
}

func (ses *session) standin(ctx context.Context) int {
	if ses.runners.Standin != nil {
		return ses.runners.Standin(ctx, ses.opts)
	}
	return process.RunStandin(ctx, ses.opts.Standin, ses.out)
}

func (ses *session) sayf(format string, values ...any) {
	_, _ = fmt.Fprintf(ses.out, format+"\n", values...) // nobody to tell when the terminal is gone
}

func (ses *session) complainf(format string, values ...any) {
	_, _ = fmt.Fprintf(ses.errOut, format+"\n", values...)
}

func (ses *session) fail(err error) int {
	ses.complainf("oriolepier %s: %s", ses.opts.Command, err)
	return option.ExitFailed
}
