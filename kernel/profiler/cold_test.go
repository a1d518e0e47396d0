package profiler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/profiler"
)

// Guards against a rate for cold servers that no router can apply.
func TestRateOfColdServers(t *testing.T) {
	tests := []struct{ fields, want string }{
		{fields: "cold: 3s, coldrate: 8.1"},
		{fields: "coldrate: 15"},
		{fields: "cold: 3s"},
		{fields: "cold: -1s", want: "service findings: cold"},
		{fields: "coldrate: -1", want: "service findings: coldrate"},
		{fields: "coldrate: .nan", want: "service findings: coldrate"},
		{fields: "coldrate: .inf", want: "service findings: coldrate"},
	}
	for _, test := range tests {
		configuration, err := profiler.ParseConfiguration("c", []byte("version: 1\nservices:\n  - {name: findings, "+test.fields+"}\n"))
		if test.want != "" {
			qt.Check(t, err, qt.ErrorMatches, ".*"+test.want+".*", qt.Commentf(test.fields))
			continue
		}
		qt.Assert(t, err, qt.IsNil, qt.Commentf(test.fields))
		service := configuration.Service("findings")
		qt.Check(t, service.Cold == 3*time.Second || service.ColdRate == 15, qt.IsTrue, qt.Commentf(test.fields))
	}
}
