package main

import (
	"context"
	"net/http"
	"net/url"

	"marigoldhill/operator/requester"
)

const pathDrains = "/v1/drains"

func cmdDrain() command {
	return command{name: "drain", help: "Move all keys away from a backend server.", action: &drainAction{}}
}

type drainAction struct {
	Server string `arg:"" help:"Name of the backend server."`
}

// Run implements the command.
func (a *drainAction) Run(ctx context.Context, e *environment) error {
	change := requester.Change{Method: http.MethodPut, Path: drainPath(a.Server)}
	return e.change(ctx, "drain of "+a.Server, change)
}

func drainPath(server string) string {
	return pathDrains + "/" + url.PathEscape(server)
}
