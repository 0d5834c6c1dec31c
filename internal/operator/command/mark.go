package command

import (
	"context"

	"github.com/oriolepier/oriolepier/internal/config/ledger"
	"github.com/oriolepier/oriolepier/internal/config/mark"
	"github.com/oriolepier/oriolepier/internal/operator/option"
)

// Takes a failure domain or a VM out of service, or puts it back.
func (ses *session) mark(ctx context.Context, opts option.Mark, out bool) int {
	wanted := mark.Mark{Kind: mark.Domain, Name: opts.FailureDomain, Out: out}
	if opts.VM != "" {
		wanted = mark.Mark{Kind: mark.VM, Name: opts.VM, Out: out}
	}
	ctx, stop := context.WithTimeout(ctx, opts.TimeoutMS.Duration())
	defer stop()
	follow, err := ses.follow(ctx, opts.Source)
	if err != nil {
		return ses.fail(err)
	}
	verdict, err := follow.append(ctx, baseOr(opts.Base, follow.state), []ledger.Edit{{Mark: &wanted}})
	return ses.report(follow, verdict, err)
}
