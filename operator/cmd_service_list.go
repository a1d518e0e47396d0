package main

import (
	"context"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/printer"
	"marigoldhill/operator/requester"
)

type serviceList struct{}

// Run implements the command.
func (*serviceList) Run(ctx context.Context, e *environment) error {
	response, err := requester.Get[[]messenger.VersionedValue[messenger.Service]](ctx, e.requester, pathServices)
	if err != nil {
		return Error.New("listing services: %w", err)
	}
	return printer.Rows(e.printer, serviceColumns(), response.Value)
}
