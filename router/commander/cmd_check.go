package commander

import (
	"fmt"

	"marigoldhill/kernel/parser"
	"marigoldhill/router/assembler"
)

// cmdCheck checks a settings file and prints what is wrong with it.
type cmdCheck struct {
	Settings string `arg:"" type:"path" help:"Path of the settings file."`
}

// Run is called by kong.
func (c *cmdCheck) Run(streams *streams) error {
	if _, err := parser.File[assembler.Settings](c.Settings); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(streams.out, "%s is right\n", c.Settings); err != nil {
		return Error.New("writing: %w", err)
	}
	return nil
}
