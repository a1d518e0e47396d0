package commander

import (
	"marigoldhill/kernel/commander"
	"marigoldhill/kernel/logger"
	"marigoldhill/router/assembler"
)

// NewRoutedProgram returns a program whose processes are routers in routed mode. They
// are created with options, except that Log is replaced by their own log.
func NewRoutedProgram(name string, options assembler.RoutedOptions) *commander.Program[assembler.RoutedSettings] {
	return &commander.Program[assembler.RoutedSettings]{
		Name:         name,
		Help:         "Router that serves the routes of a configuration and guards the backend server beside it.",
		StartTimeout: startTimeout,
		StopTimeout:  stopTimeout,
		New: func(settings *assembler.RoutedSettings, log *logger.Log) (commander.Process, error) {
			options.Log = log
			return assembler.NewRouted(*settings, options)
		},
		Describe: func(settings *assembler.RoutedSettings) commander.Description {
			return commander.Description{
				Role:    "router",
				Name:    settings.Name,
				Cluster: settings.Cluster,
				Log:     logger.Format(settings.Log),
				VM:      settings.VM,
			}
		},
	}
}
