package commander

import (
	"fmt"

	"marigoldhill/kernel/parser"
)

// cmdCheck validates a settings file and describes the process that it configures.
type cmdCheck[S any] struct {
	Settings string `arg:"" type:"path" help:"Path of the settings file."`
}

// Run is called by kong.
func (c *cmdCheck[S]) Run(program *Program[S], streams *streams) error {
	settings, err := parser.ParseFile[S](c.Settings)
	if err != nil {
		return err
	}
	description := program.Describe(settings)
	_, err = fmt.Fprintf(streams.out, "%s: good, %s process %s of cluster %s\n", c.Settings, description.Role, description.Name, description.Cluster)
	if err != nil {
		return Error.New("writing: %w", err)
	}
	return nil
}
