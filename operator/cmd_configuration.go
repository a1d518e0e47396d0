package main

const pathConfiguration = "/v1/configuration"

func cmdConfiguration() command {
	return command{name: "configuration", help: "Show and replace the configuration of routes and services.", action: &configurationGroup{}}
}

// configurationGroup holds the subcommands of configuration, one file each.
type configurationGroup struct {
	Show  configurationShow  `cmd:"" help:"Show the configuration in force as its operator wrote it."`
	Apply configurationApply `cmd:"" help:"Put a YAML file into force, unless its version or a higher one is."`
}
