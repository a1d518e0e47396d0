package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"marigoldhill/control/assembler"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/parser"
)

const (
	// startTime bounds the start of the process.
	startTime = 30 * time.Second
	// stopTime bounds an orderly stop.
	stopTime = 10 * time.Second
)

// runCommand runs a control process.
type runCommand struct {
	Settings string `arg:"" type:"path" help:"Path of the settings file."`
}

// Run implements the command.
func (c *runCommand) Run(out *output) error {
	settings, err := parser.File[assembler.Settings](c.Settings)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, cancel)
	log := logger.New(out.errors, settings.Log, "control", settings.Name)
	process, err := assembler.New(*settings, assembler.Options{Log: log})
	if err != nil {
		return err
	}
	return serve(ctx, process)
}

// serve runs a process until ctx ends or the process can't go on.
func serve(ctx context.Context, process *assembler.Process) error {
	starting, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := process.Start(starting); err != nil {
		return err
	}
	var failure error
	select {
	case <-ctx.Done():
	case <-process.Failed():
		failure = process.Err()
	}
	stopping, release := context.WithTimeout(context.Background(), stopTime)
	defer release()
	if err := process.Stop(stopping); failure == nil {
		return err
	}
	return Error.New("stopped: %w", failure)
}
