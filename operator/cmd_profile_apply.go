package main

import (
	"context"

	"marigoldhill/kernel/profiler"
)

type profileApply struct {
	source
}

// Run implements the command.
func (a *profileApply) Run(ctx context.Context, e *environment) error {
	document, err := loadDocument(a.source, profiler.ParseProfile)
	if err != nil {
		return err
	}
	name := document.value.Name
	return apply(ctx, e, "profile "+name, profilePath(name), document)
}
