package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in a template of deploy/ as the platform does. fields are the plain settings,
// without their tables self, network, provider and terms.
func render(template string, fields map[string]any) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(text string) string {
		match := sectionPattern.FindStringSubmatch(text)
		if value := lookup(fields, match[1]); value == nil || value == false {
			return ""
		}
		return match[2]
	})
	return valuePattern.ReplaceAllStringFunc(template, func(text string) string {
		match := valuePattern.FindStringSubmatch(text)
		value := lookup(fields, match[1])
		if value == nil {
			return ""
		}
		if match[2] == "" {
			return fmt.Sprint(value)
		}
		data, err := json.Marshal(value)
		if err != nil {
			return ""
		}
		return string(data)
	})
}

// lookup returns the value at a path such as bounds.grace_s or port_range.0, or nil.
func lookup(fields map[string]any, path string) any {
	var value any = fields
	for name := range strings.SplitSeq(path, ".") {
		switch table := value.(type) {
		case map[string]any:
			value = table[name]
		case []int:
			n, err := strconv.Atoi(name)
			if err != nil || n >= len(table) {
				return nil
			}
			value = table[n]
		default:
			return nil
		}
	}
	return value
}
