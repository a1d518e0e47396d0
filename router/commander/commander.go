// Package commander is the command line of marigold-router; its commands are
// those of marigoldhill/kernel/commander. With routes before them they are for a
// router that serves the routes of a configuration.
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

// commandRoutes stands before the commands of a router with routes.
const commandRoutes = "routes"

// Main runs the program and returns its exit code.
func Main(arguments []string, out, failures io.Writer) int {
	if len(arguments) > 0 && arguments[0] == commandRoutes {
		return Routed("marigold-router routes", assembler.RoutedOptions{}).Main(arguments[1:], out, failures)
	}
	program := commander.Program[assembler.Settings]{
		Name: "marigold-router",
		Help: "Router that takes callers' requests and guards the backend server beside it. " +
			"The same commands behind \"routes\" are for one that serves the routes of a configuration.",
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
