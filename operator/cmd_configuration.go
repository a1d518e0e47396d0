package main

const pathConfiguration = "/v1/configuration"

func cmdConfiguration() command {
	return command{name: "configuration", help: "Show and replace the configuration of routes and services.", action: &configurationGroup{}}
}

// configurationGroup holds the subcommands of configuration, one per file.
type configurationGroup struct {
	Show  configurationShow  `cmd:"" help:"Show the source text of the current configuration."`
	Apply configurationApply `cmd:"" help:"Replace the configuration with a YAML file, unless the current version is the same or higher."`
}
