package parser

import "bytes"

// maxDepth is the maximum nesting of collections that is parsed. Files have less than ten
// levels; the time that the YAML library takes grows with the square of the nesting.
const maxDepth = 100

// exceedsDepth reports whether collections are nested deeper than maxDepth, by their brackets
// or by the indicators at the start of one line. Brackets in texts count as well.
func exceedsDepth(data []byte) bool {
	brackets := 0
	for line := range bytes.Lines(data) {
		if countIndicators(line) > maxDepth {
			return true
		}
		for _, char := range line {
			switch char {
			case '[', '{':
				brackets++
			case ']', '}':
				brackets = max(brackets-1, 0)
			}
			if brackets > maxDepth {
				return true
			}
		}
	}
	return false
}

// countIndicators returns how many collections begin at the start of a line, such as three
// in "- - - a".
func countIndicators(line []byte) int {
	count := 0
	for {
		line = bytes.TrimLeft(line, " ")
		if len(line) < 2 || line[0] != '-' && line[0] != '?' || line[1] != ' ' {
			return count
		}
		count++
		line = line[1:]
	}
}
