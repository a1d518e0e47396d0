// Package commander is the command line of marigold-router; its commands are
// those of marigoldhill/kernel/commander.
//
// # Usage
//
//	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
package commander

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/commander"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/networker"
	"marigoldhill/router/assembler"
)

const (
	// startTime bounds the start of the process.
	startTime = 10 * time.Second
	// stopTime bounds the drain and the stop of the process.
	stopTime = 60 * time.Second
)

// Main runs the program and returns its exit code.
func Main(arguments []string, out, failures io.Writer) int {
	program := commander.Program[assembler.Settings]{
		Name:      "marigold-router",
		Help:      "Router that takes callers' requests and guards the backend server beside it.",
		StartTime: startTime,
		StopTime:  stopTime,
		New:       build,
		Describe:  describe,
	}
	return program.Main(arguments, out, failures)
}

func build(settings *assembler.Settings, log *logger.Log) (commander.Process, error) {
	return assembler.New(*settings, assembler.Options{
		Network: networker.TCP{},
		Log:     log,
		Metrics: metrics.NewSet(),
	})
}

func describe(settings *assembler.Settings) commander.Description {
	return commander.Description{
		Role:    "router",
		Name:    settings.Name,
		Cluster: settings.Cluster,
		Log:     logger.Format(settings.Log),
	}
}
