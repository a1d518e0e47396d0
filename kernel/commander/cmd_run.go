package commander

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/parser"
	"marigoldhill/kernel/timer"
)

// cmdRun runs a process until SIGTERM or SIGINT. A SIGINT during the stop ends the process at
// once.
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
	if limit := description.VM.HeapLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	log := logger.New(streams.out, description.Log, description.Role, description.Name)
	defer log.Close()
	process, err := program.New(settings, log)
	if err != nil {
		return Error.New("putting the process together: %w", err)
	}
	go reload(process, log)
	go timer.WatchPauses(context.Background(), func(pause time.Duration) { log.Emit(logger.ProcessPaused, "pause", pause) })
	ctx, cancel := notifyStop()
	defer cancel()
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

// notifyStop returns a context that ends at the first SIGTERM or SIGINT. After that, SIGINT
// has its default effect, for an operator at a terminal. SIGTERM has none any more: service
// managers may send it again, and requests are in flight.
func notifyStop() (context.Context, context.CancelFunc) {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, func() {
		signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM)
		cancel()
	})
	return ctx, cancel
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
