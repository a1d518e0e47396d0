package commander

import (
	"fmt"
	"runtime/debug"

	"marigoldhill/kernel/messenger"
)

// versionCommand prints the version.
type versionCommand struct{}

// Run implements the command.
func (c *versionCommand) Run(out *output) error {
	_, err := fmt.Fprintf(out.plain, "marigold-control %s, protocol %d\n", revision(), messenger.Version)
	return err
}

// revision is the revision of the source that the program was built from.
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
