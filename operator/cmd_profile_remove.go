package main

import (
	"context"
	"net/http"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/requester"
)

type profileRemove struct {
	Name     string `arg:"" help:"Name of the profile."`
	Revision string `help:"Remove the profile only if it still has this revision." placeholder:"N"`
}

// Run implements the command.
func (a *profileRemove) Run(ctx context.Context, e *environment) error {
	path := profilePath(a.Name)
	ifMatch := formatETag(a.Revision)
	if ifMatch == "" {
		response, err := requester.Get[messenger.Profile](ctx, e.requester, path)
		if err != nil {
			return Error.New("reading profile %s: %w", a.Name, err)
		}
		ifMatch = response.ETag
	}
	change := requester.Change{Method: http.MethodDelete, Path: path, IfMatch: ifMatch}
	return e.change(ctx, "profile "+a.Name+" removed", change)
}
