package main

import (
	"context"

	"marigoldhill/kernel/profiler"
)

type serviceApply struct {
	source
}

// Run implements the command.
func (a *serviceApply) Run(ctx context.Context, e *environment) error {
	document, err := loadDocument(a.source, profiler.ParseService)
	if err != nil {
		return err
	}
	name := document.value.Name
	return apply(ctx, e, "service "+name, servicePath(name), document)
}
