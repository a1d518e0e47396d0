package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/networker"
	"marigoldhill/kernel/parser"
	"marigoldhill/router/assembler"
)

const (
	// startTime bounds the start of the process.
	startTime = 10 * time.Second
	// stopTime bounds the drain and the stop of the process.
	stopTime = 60 * time.Second
)

// cmdRun runs a router until SIGTERM or SIGINT, then drains it. A second signal
// ends it at once.
type cmdRun struct {
	Settings string `arg:"" type:"path" help:"Path of the settings file."`
}

// Run is called by kong.
func (c *cmdRun) Run(streams *streams) error {
	settings, err := parser.File[assembler.Settings](c.Settings)
	if err != nil {
		return err
	}
	log := logger.New(streams.err, logger.Format(settings.Log), "router", settings.Name)
	process, err := assembler.New(*settings, assembler.Options{
		Network: networker.TCP{},
		Log:     log,
		Metrics: metrics.NewSet(),
	})
	if err != nil {
		return Error.New("putting the router together: %w", err)
	}
	signals, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := start(process, log); err != nil {
		return err
	}
	<-signals.Done()
	stop()
	return drain(process)
}

func start(process *assembler.Process, log *logger.Log) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTime)
	defer cancel()
	if err := process.Start(ctx); err != nil {
		log.Emit(logger.ProcessFailed, "error", err)
		return err
	}
	return nil
}

func drain(process *assembler.Process) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	return process.Stop(ctx)
}
