package main

import (
	"context"
)

type configurationShow struct{}

// Run implements the command.
func (configurationShow) Run(ctx context.Context, e *environment) error {
	text, err := e.requester.Text(ctx, pathConfiguration)
	if err != nil {
		return Error.New("reading the configuration: %w", err)
	}
	return e.printer.Text(string(text))
}
