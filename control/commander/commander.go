// Package commander implements the command line of marigold-control. Package
// marigoldhill/kernel/commander provides the commands.
//
// # Usage
//
//	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
package commander

import (
	"io"
	"time"

	"marigoldhill/control/assembler"
	"marigoldhill/kernel/commander"
	"marigoldhill/kernel/logger"
)

const (
	startTimeout = 30 * time.Second
	// stopTimeout limits a graceful stop.
	stopTimeout = 10 * time.Second
)

// Main runs the program and returns its exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	program := Program(assembler.Options{})
	return program.Main(arguments, stdout, stderr)
}

// Program returns the program. Its processes are built with options, except for the
// log, which the program sets.
func Program(options assembler.Options) *commander.Program[assembler.Settings] {
	return &commander.Program[assembler.Settings]{
		Name:         "marigold-control",
		Help:         "A replica of the control group of a marigoldhill cluster.",
		StartTimeout: startTimeout,
		StopTimeout:  stopTimeout,
		New: func(settings *assembler.Settings, log *logger.Log) (commander.Process, error) {
			options.Log = log
			return assembler.New(*settings, options)
		},
		Describe: describe,
	}
}

func describe(settings *assembler.Settings) commander.Description {
	return commander.Description{
		Role:    "control",
		Name:    settings.Name,
		Cluster: settings.Cluster,
		Log:     settings.Log,
		VM:      settings.VM,
	}
}
