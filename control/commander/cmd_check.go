package commander

import (
	"fmt"

	"marigoldhill/control/assembler"
	"marigoldhill/kernel/parser"
)

// checkCommand checks a settings file.
type checkCommand struct {
	Settings string `arg:"" type:"path" help:"Path of the settings file."`
}

// Run implements the command.
func (c *checkCommand) Run(out *output) error {
	settings, err := parser.File[assembler.Settings](c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out.plain, "%s: good, control process %s of cluster %s\n",
		c.Settings, settings.Name, settings.Cluster)
	return err
}
