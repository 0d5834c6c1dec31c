package command

import (
	"context"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/config/bundle"
	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/operator/option"
)

// Starts the configuration anew from files. It is refused as long as the log
// still tells what is in force.
func (ses *session) reset(ctx context.Context, set bundle.Set) int {
	if set.Routes == nil || set.Pools == nil {
		return ses.fail(errors.New("--reset needs both tables"))
	}
	follow, err := ses.open(ses.opts.Publish.Source)
	if err != nil {
		return ses.fail(err)
	}
	if err := follow.catchUp(ctx); err != nil {
		return ses.fail(errors.Wrap(err, "read the config stream"))
	}
	if follow.state.Complete() {
		ses.sayf("rejected: the log still holds version %d; publish without --reset", follow.state.Version())
		return option.ExitFailed
	}
	tables := ledger.Tables{Routes: *set.Routes, Pools: *set.Pools}
	records, findings, err := ledger.Reset(follow.writer, follow.state.Next()-1, tables)
	if err != nil {
		return ses.fail(err)
	}
	if len(findings) > 0 {
		return ses.fail(errors.New(findings[0].String()))
	}
	if err := follow.appendAll(ctx, records); err != nil {
		ses.sayf("unknown: %s; see what is in force with: oriolepier show", err)
		return option.ExitFailed
	}
	if err := follow.catchUp(ctx); err != nil || !follow.state.Complete() {
		ses.sayf("unknown: the records were appended but could not be read back; see what is in force with: oriolepier show")
		return option.ExitFailed
	}
	ses.sayf("accepted: version %d; all failure domains are out of service until they are put back", follow.state.Version())
	return option.ExitDone
}
