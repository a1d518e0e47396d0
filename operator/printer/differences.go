package printer

import (
	"slices"
	"strings"
)

// Differences returns the lines that are only in before, prefixed with "- ", followed
// by those that are only in after, prefixed with "+ ". It ignores the order of lines
// and expects one field per line and each field at most once.
func Differences(before, after string) string {
	beforeLines, afterLines := splitLines(before), splitLines(after)
	var text strings.Builder
	for _, line := range beforeLines {
		if !slices.Contains(afterLines, line) {
			text.WriteString("- " + line + "\n")
		}
	}
	for _, line := range afterLines {
		if !slices.Contains(beforeLines, line) {
			text.WriteString("+ " + line + "\n")
		}
	}
	return text.String()
}

func splitLines(text string) []string {
	return slices.DeleteFunc(strings.Split(text, "\n"), func(line string) bool { return line == "" })
}
