package command

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/oriolepier/oriolepier/internal/operator/option"
)

// Prints the configuration in force.
func (s *session) show(ctx context.Context) int {
	opts := s.opts.Show
	ctx, stop := context.WithTimeout(ctx, opts.TimeoutMS.Duration())
	defer stop()
	follow, err := s.follow(ctx, opts.Source)
	if err != nil {
		return s.fail(err)
	}
	config := follow.state.Config()
	switch opts.Only {
	case "routes":
		return s.print(config.Routes)
	case "pools":
		return s.print(config.Pools)
	case "marks":
		return s.print(config.Marks)
	}
	return s.print(config)
}

func (s *session) print(value any) int {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return s.fail(errors.Wrap(err, "print"))
	}
	return option.ExitDone
}
