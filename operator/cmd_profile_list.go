package main

import (
	"context"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/printer"
	"marigoldhill/operator/requester"
)

type profileList struct{}

// Run implements the command.
func (*profileList) Run(ctx context.Context, e *environment) error {
	response, err := requester.Get[[]messenger.VersionedValue[messenger.Profile]](ctx, e.requester, pathProfiles)
	if err != nil {
		return Error.New("listing profiles: %w", err)
	}
	return printer.Rows(e.printer, profileColumns(), response.Value)
}
