package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/parser"
)

// cmdRun runs a process until SIGTERM or SIGINT.
type cmdRun[S any] struct {
	Settings string `arg:"" type:"path" help:"Path of the settings file."`
}

// Run is called by kong.
func (c *cmdRun[S]) Run(program *Program[S], streams *streams) error {
	settings, err := parser.ParseFile[S](c.Settings)
	if err != nil {
		return err
	}
	description := program.Describe(settings)
	log := logger.New(streams.out, description.Log, description.Role, description.Name)
	defer log.Close()
	process, err := program.New(settings, log)
	if err != nil {
		return Error.New("putting the process together: %w", err)
	}
	go reload(process, log)
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	// Calling cancel after the first signal restores the default handling, so that a
	// second signal terminates the process at once.
	context.AfterFunc(ctx, cancel)
	if err := program.start(ctx, process); err != nil {
		if ctx.Err() != nil {
			// A signal arrived during startup. Start has stopped what it had started.
			log.Emit(logger.ProcessStopped, "error", err)
			return nil
		}
		log.Emit(logger.ProcessFailed, "error", err)
		return err
	}
	return program.serve(ctx, process)
}

// reload reloads the settings of a process on each SIGHUP, if the process supports
// that.
func reload(process Process, log *logger.Log) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		reloading, ok := process.(Reloader)
		if !ok {
			log.Emit(logger.SettingsReloaded, "taken", false)
			continue
		}
		if err := reloading.Reload(); err != nil {
			log.Emit(logger.SettingsReloadFailed, "error", err)
			continue
		}
		log.Emit(logger.SettingsReloaded, "taken", true)
	}
}

func (p *Program[S]) start(ctx context.Context, process Process) error {
	ctx, cancel := context.WithTimeout(ctx, p.StartTimeout)
	defer cancel()
	return process.Start(ctx)
}

// serve waits until ctx is done or the process fails, and stops it.
func (p *Program[S]) serve(ctx context.Context, process Process) error {
	var failure error
	failing, ok := process.(Failer)
	if ok {
		failure = awaitFailure(ctx, failing)
	} else {
		<-ctx.Done()
	}
	stopping, cancel := context.WithTimeout(context.Background(), p.StopTimeout)
	defer cancel()
	if err := process.Stop(stopping); failure == nil {
		return err
	}
	return Error.New("stopped: %w", failure)
}

// awaitFailure waits until a process fails and returns the error, or nil if ctx is
// done first.
func awaitFailure(ctx context.Context, process Failer) error {
	select {
	case <-ctx.Done():
		return nil
	case <-process.Failed():
		return process.Err()
	}
}
