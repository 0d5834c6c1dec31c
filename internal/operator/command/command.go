// Package command runs the command that the command line names.
//
//	args ──option.Parse──> command ──> files              check, explain
//	                          ├──────> platform's store   publish, out, back, show
//	                          ├──────> an entry           submit, status, cancel, dump, where
//	                          └──────> Runners            serve, entry, demo, soak, standin
//
// # Usage
//
//	streams := command.Streams{In: os.Stdin, Out: os.Stdout, ErrOut: os.Stderr}
//	os.Exit(command.Run(ctx, os.Args[1:], streams, runners))
//
// Results go to Out, one line or JSON object each; errors and progress go to
// ErrOut. The exit code is one of the option.Exit constants.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/operator/option"
	"github.com/oriolepier/oriolepier/internal/schedule/journal"
)

// Runners are the commands that other packages implement.
type Runners struct {
	Serve   func(ctx context.Context, opts option.Options) error
	Entry   func(ctx context.Context, opts option.Options) error
	Demo    func(ctx context.Context, opts option.Options) error
	Standin func(ctx context.Context, opts option.Options) error
	Soak    func(ctx context.Context, opts option.Options) error
	// Store returns a client of the platform's store at the address.
	Store func(address string) journal.Log
}

// Streams are the standard streams of a command.
type Streams struct {
	In     io.Reader
	Out    io.Writer
	ErrOut io.Writer
}

// session is one execution of a command.
type session struct {
	opts    option.Options
	streams Streams
	runners Runners
}

// Run runs the command that the arguments name and returns the exit code.
func Run(ctx context.Context, args []string, streams Streams, runners Runners) int {
	opts, err := option.Parse(args)
	var help *option.Help
	if errors.As(err, &help) {
		_, _ = io.WriteString(streams.Out, help.Text)
		return option.ExitDone
	}
	ses := &session{opts: opts, streams: streams, runners: runners}
	if err != nil {
		ses.printErrorf("oriolepier: %s", err)
		ses.printErrorf("oriolepier --help lists commands and flags.")
		return option.ExitUsage
	}
	if err := ses.dispatch(ctx); err != nil {
		ses.printErrorf("oriolepier %s: %s", opts.Command, err)
		return option.ExitFailed
	}
	return option.ExitDone
}

func (ses *session) dispatch(ctx context.Context) error {
	switch ses.opts.Command {
	case "serve":
		return ses.runners.Serve(ctx, ses.opts)
	case "entry":
		return ses.runners.Entry(ctx, ses.opts)
	case "demo":
		return ses.runners.Demo(ctx, ses.opts)
	case "soak":
		return ses.runners.Soak(ctx, ses.opts)
	case "standin store", "standin worker", "standin workers":
		return ses.runners.Standin(ctx, ses.opts)
	case "check":
		return ses.check()
	case "publish":
		return ses.publish(ctx)
	case "show":
		return ses.show(ctx)
	case "out":
		return ses.markDomain(ctx, ses.opts.Out, true)
	case "back":
		return ses.markDomain(ctx, ses.opts.Back, false)
	case "submit":
		return ses.submit(ctx)
	case "status":
		return ses.status(ctx)
	case "cancel":
		return ses.cancel(ctx)
	case "dump":
		return ses.dump(ctx)
	case "where":
		return ses.where(ctx)
	case "explain":
		return ses.explain()
	default:
		return ses.version()
	}
}

func (ses *session) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(ses.streams.Out, format+"\n", values...) // a closed output has no other place for the error
}

func (ses *session) printErrorf(format string, values ...any) {
	_, _ = fmt.Fprintf(ses.streams.ErrOut, format+"\n", values...)
}
