// Package commander implements the command line of marigold-router with the
// commands of marigoldhill/kernel/commander. Prefixed with "routes", the commands
// apply to a router in routed mode, which serves the routes of a configuration.
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
	// startTimeout limits the start of the process.
	startTimeout = 10 * time.Second
	// stopTimeout limits the drain and the stop of the process, which end within its grace
	// period.
	stopTimeout = assembler.MaxGrace
)

// commandRoutes is the prefix of the commands for a router in routed mode.
const commandRoutes = "routes"

// Main runs the program and returns its exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	if len(arguments) > 0 && arguments[0] == commandRoutes {
		return NewRoutedProgram("marigold-router routes", assembler.RoutedOptions{}).Main(arguments[1:], stdout, stderr)
	}
	program := commander.Program[assembler.Settings]{
		Name: "marigold-router",
		Help: "Router that takes callers' requests and guards the backend server beside it. " +
			"The same commands behind \"routes\" are for one that serves the routes of a configuration.",
		StartTimeout: startTimeout,
		StopTimeout:  stopTimeout,
		New:          build,
		Describe:     describe,
	}
	return program.Main(arguments, stdout, stderr)
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
		VM:      settings.VM,
	}
}
