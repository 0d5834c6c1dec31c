package command

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/operator/option"
)

// Prints the configuration in force.
func (ses *session) show(ctx context.Context) int {
	opts := ses.opts.Show
	ctx, stop := context.WithTimeout(ctx, opts.TimeoutMS.Duration())
	defer stop()
	follow, err := ses.follow(ctx, opts.Source)
	if err != nil {
		return ses.fail(err)
	}
	config := follow.state.Config()
	switch opts.Only {
	case "routes":
		return ses.print(config.Routes)
	case "pools":
		return ses.print(config.Pools)
	case "marks":
		return ses.print(config.Marks)
	}
	return ses.print(config)
}

func (ses *session) print(value any) int {
	encoder := json.NewEncoder(ses.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return ses.fail(errors.Wrap(err, "print"))
	}
	return option.ExitDone
}
