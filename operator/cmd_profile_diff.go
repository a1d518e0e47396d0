package main

import (
	"context"

	"marigoldhill/kernel/profiler"
)

type profileDiff struct {
	source
}

// Run implements the command.
func (a *profileDiff) Run(ctx context.Context, e *environment) error {
	document, err := loadDocument(a.source, profiler.ParseProfile)
	if err != nil {
		return err
	}
	return diff(ctx, e, profilePath(document.value.Name), document)
}
