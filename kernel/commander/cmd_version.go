package commander

import (
	"fmt"
	"runtime/debug"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/parser"
)

// cmdVersion prints the versions of the program, of the protocol between
// processes and of the settings format.
type cmdVersion[S any] struct{}

// Run is called by kong.
func (c *cmdVersion[S]) Run(program *Program[S], streams *streams) error {
	_, err := fmt.Fprintf(streams.out, "%s %s, protocol %d, settings %d\n",
		program.Name, revision(), messenger.Version, parser.Version)
	if err != nil {
		return Error.New("writing: %w", err)
	}
	return nil
}

// revision returns the VCS revision that the program was built from.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "development"
}
