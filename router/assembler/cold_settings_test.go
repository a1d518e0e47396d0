package assembler

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a bound that lets no request start, or more than the operators allow.
func TestColdSettings(t *testing.T) {
	tests := []struct {
		name     string
		settings ColdSettings
		rate     float64
		field    string
		starts   int
	}{
		{name: "no rate", settings: ColdSettings{Overage: 1.5, Slack: 8}},
		{name: "rounded down", settings: ColdSettings{Overage: 1.5, Slack: 8}, rate: 15, starts: 22},
		{name: "fraction", settings: ColdSettings{Overage: 1.5}, rate: 8.1, starts: 12},
		{name: "at least one", settings: ColdSettings{Overage: 1.5}, rate: 0.1, starts: 1},
		{name: "default", rate: 10, starts: 15},
		{name: "no overage", settings: ColdSettings{Overage: 1}, rate: 10, starts: 10},
		{name: "huge rate", settings: ColdSettings{Overage: 1}, rate: 1e300, starts: maxColdStarts},
		{name: "overage too small", settings: ColdSettings{Overage: 0.5}, field: "cold.overage"},
		{name: "negative slack", settings: ColdSettings{Slack: -1}, field: "cold.slack"},
	}
	for _, test := range tests {
		field, _ := test.settings.check()
		qt.Check(t, field, qt.Equals, test.field, qt.Commentf(test.name))
		if test.field == "" {
			qt.Check(t, test.settings.starts(test.rate), qt.Equals, test.starts, qt.Commentf(test.name))
		}
	}
}
