package main

import (
	"context"

	"marigoldhill/kernel/messenger"
)

type profileShow struct {
	Name string `arg:"" help:"Name of the profile."`
}

// Run implements the command.
func (a *profileShow) Run(ctx context.Context, e *environment) error {
	return show[messenger.Profile](ctx, e, profilePath(a.Name))
}
