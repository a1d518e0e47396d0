package logger_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/logger"
)

var update = flag.Bool("update", false, "rewrite docs/EVENTS.md")

const catalogPath = "../../docs/EVENTS.md"

// render returns the expected contents of docs/EVENTS.md.
func render() string {
	var page strings.Builder
	page.WriteString("# Events\n\nEach log line carries `event`, one of these numbers. Numbers never change.\n" +
		"This page is written by `go test ./kernel/logger -update`.\n\n" +
		"| event | level | message |\n| --- | --- | --- |\n")
	for _, event := range logger.Catalog() {
		fmt.Fprintf(&page, "| %d | %s | %s |\n", event.Number, logger.LevelName(event), event.Message)
	}
	return page.String()
}

func TestDocsMatchCatalog(t *testing.T) {
	if *update {
		qt.Assert(t, os.WriteFile(catalogPath, []byte(render()), 0o644), qt.IsNil)
	}
	page, err := os.ReadFile(catalogPath)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(page), qt.Equals, render())
}

func TestEventNumbersAreUnique(t *testing.T) {
	seen := make(map[int]string)
	for _, event := range logger.Catalog() {
		qt.Check(t, seen[event.Number], qt.Equals, "", qt.Commentf("number %d", event.Number))
		seen[event.Number] = event.Message
	}
}
