package main

import (
	"context"
	"net/http"
)

func cmdUnevacuate() command {
	return command{name: "unevacuate", help: "Let the backend servers of an evacuated failure domain serve again.", action: &unevacuateAction{}}
}

type unevacuateAction struct {
	Domain string `arg:"" help:"Name of the failure domain."`
}

// Run implements the command.
func (a *unevacuateAction) Run(ctx context.Context, e *environment) error {
	return e.change(ctx, "end of the evacuation of "+a.Domain, evacuationChange(http.MethodDelete, a.Domain))
}
