// Command marigold-control runs a replica of the control group. See
// man/marigold-control.1.md.
package main

import (
	"os"

	"marigoldhill/control/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
