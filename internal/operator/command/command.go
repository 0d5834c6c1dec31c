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

func (s *session) dispatch(ctx context.Context) int {
	switch s.opts.Command {
	case "entry":
		return s.foreign(ctx, s.runners.Entry)
	case "demo":
		return s.foreign(ctx, s.runners.Demo)
	case "standin platform", "standin worker":
		return s.standin(ctx)
	case "check":
		return s.check()
	case "publish":
		return s.publish(ctx)
	case "show":
		return s.show(ctx)
	case "out":
		return s.mark(ctx, s.opts.Out, true)
	case "back":
		return s.mark(ctx, s.opts.Back, false)
	case "submit":
		return s.submit(ctx)
	case "status":
		return s.status(ctx)
	case "cancel":
		return s.cancel(ctx)
	case "dump":
		return s.dump(ctx)
	default:
		return s.version()
	}
}

func (s *session) foreign(ctx context.Context, run func(context.Context, option.Options) int) int {
	if run == nil {
		return s.fail(errors.Errorf("%s is not part of this binary", s.opts.Command))
	}
	return run(ctx, s.opts)
}

func (s *session) standin(ctx context.Context) int {
	if s.runners.Standin != nil {
		return s.runners.Standin(ctx, s.opts)
	}
	return process.RunStandin(ctx, s.opts.Standin, s.out)
}

func (s *session) sayf(format string, values ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\n", values...) // nobody to tell when the terminal is gone
}

func (s *session) complainf(format string, values ...any) {
	_, _ = fmt.Fprintf(s.errOut, format+"\n", values...)
}

func (s *session) fail(err error) int {
	s.complainf("oriolepier %s: %s", s.opts.Command, err)
	return option.ExitFailed
}
