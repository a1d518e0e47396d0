package commander

import (
	"fmt"

	"marigoldhill/kernel/parser"
)

// cmdCheck checks a settings file and prints what is wrong with it.
type cmdCheck[S any] struct {
	Settings string `arg:"" type:"path" help:"Path of the settings file."`
}

// Run is called by kong.
func (c *cmdCheck[S]) Run(program *Program[S], streams *streams) error {
	settings, err := parser.File[S](c.Settings)
	if err != nil {
		return err
	}
	found := program.Describe(settings)
	_, err = fmt.Fprintf(streams.out, "%s: good, %s process %s of cluster %s\n", c.Settings, found.Role, found.Name, found.Cluster)
	if err != nil {
		return Error.New("writing: %w", err)
	}
	return nil
}
