package main

import (
	"context"
	"fmt"
	"net/http"

	"marigoldhill/kernel/profiler"
	"marigoldhill/operator/requester"
)

type configurationApply struct {
	File string `arg:"" help:"YAML file; - means standard input."`
}

// Run implements the command. It validates the file but sends its text unchanged, so
// that comments are kept.
func (a *configurationApply) Run(ctx context.Context, e *environment) error {
	data, err := readSource(a.File)
	if err != nil {
		return err
	}
	configuration, err := profiler.ParseConfiguration(a.File, data)
	if err != nil {
		return Error.New("%w", err)
	}
	subject := fmt.Sprintf("configuration %d", configuration.Version)
	return e.change(ctx, subject, requester.Change{Method: http.MethodPut, Path: pathConfiguration, YAML: data})
}
