package printer

import (
	"slices"
	"strings"
)

// Differences returns the lines that are only in old, marked with "-", and those
// that are only in now, marked with "+". Both texts have one field a line, each
// field at most once.
func Differences(old, now string) string {
	oldLines, nowLines := splitLines(old), splitLines(now)
	var text strings.Builder
	for _, line := range oldLines {
		if !slices.Contains(nowLines, line) {
			text.WriteString("- " + line + "\n")
		}
	}
	for _, line := range nowLines {
		if !slices.Contains(oldLines, line) {
			text.WriteString("+ " + line + "\n")
		}
	}
	return text.String()
}

func splitLines(text string) []string {
	return slices.DeleteFunc(strings.Split(text, "\n"), func(line string) bool { return line == "" })
}
