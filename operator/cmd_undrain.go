package main

import (
	"context"
	"net/http"

	"marigoldhill/operator/requester"
)

func cmdUndrain() command {
	return command{name: "undrain", help: "Let a drained backend server own keys again.", action: &undrainAction{}}
}

type undrainAction struct {
	Server string `arg:"" help:"Name of the backend server."`
}

// Run implements the command.
func (a *undrainAction) Run(ctx context.Context, e *environment) error {
	change := requester.Change{Method: http.MethodDelete, Path: drainPath(a.Server)}
	return e.change(ctx, "end of the drain of "+a.Server, change)
}
