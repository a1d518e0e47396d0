// Command marigold-router forwards requests of callers to the backend servers that
// own their keys. man/marigold-router.1.md describes it.
package main

import (
	"os"

	"marigoldhill/router/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
