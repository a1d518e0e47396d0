package commander

import (
	"fmt"
	"runtime/debug"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/parser"
)

// cmdVersion prints the versions of the program, of the protocol between
// processes and of the settings format.
type cmdVersion struct{}

// Run is called by kong.
func (c *cmdVersion) Run(streams *streams) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	_, err := fmt.Fprintf(streams.out, "marigold-router %s, protocol %d, settings %d\n",
		version, messenger.Version, parser.Version)
	if err != nil {
		return Error.New("writing: %w", err)
	}
	return nil
}
