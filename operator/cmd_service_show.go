package main

import (
	"context"

	"marigoldhill/kernel/messenger"
)

type serviceShow struct {
	Name string `arg:"" help:"Name of the service."`
}

// Run implements the command.
func (a *serviceShow) Run(ctx context.Context, e *environment) error {
	return show[messenger.Service](ctx, e, servicePath(a.Name))
}
