// Command marigold-router is described in man/marigold-router.1.md.
package main

import (
	"os"

	"marigoldhill/router/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
