package parser_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/parser"
)

type settings struct {
	Name    string        `yaml:"name"`
	Timeout time.Duration `yaml:"timeout"`
	Slots   int           `yaml:"slots"`
}

func (s *settings) Check() (string, string) {
	if s.Slots < 1 {
		return "slots", "must be 1 or more"
	}
	return "", ""
}

func TestParse(t *testing.T) {
	tests := []struct {
		name string
		data string
		want string
	}{
		{name: "good", data: "name: a\ntimeout: 2s\nslots: 6\n"},
		{name: "unknown field", data: "name: a\nslot: 6\n", want: `a.yaml:2: slot: unknown field "slot"`},
		{name: "wrong type", data: "name: a\nslots: many\n", want: `a.yaml:2: many: .*`},
		{name: "out of range", data: "name: a\n\nslots: 0\n", want: `a.yaml:3: slots: must be 1 or more`},
		{name: "newer version", data: "name: a\nversion: 2\nlater: 1\n", want: `a.yaml:2: version: is 2; this program reads up to 1, .*`},
		{name: "invalid YAML", data: "name: [\n", want: `a.yaml:1: .*`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := parser.Parse[settings]("a.yaml", []byte(test.data))
			if test.want != "" {
				qt.Assert(t, err, qt.ErrorMatches, test.want)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, *got, qt.Equals, settings{Name: "a", Timeout: 2 * time.Second, Slots: 6})
		})
	}
}

func FuzzBytes(f *testing.F) {
	f.Add([]byte("name: a\ntimeout: 2s\nslots: 6\n"))
	f.Add([]byte("colour: blue\nname: [a]\nzone: {a: 1}\nslots: many\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := parser.Parse[settings]("a.yaml", data)
		qt.Assert(t, (got == nil) != (err == nil), qt.IsTrue)
	})
}

// Guards against a file that occupies the process that reads it for minutes.
func TestDeeplyNestedFileIsRefused(t *testing.T) {
	for _, part := range []string{"[", "{a: ", "- ", "? ", "- {a: [", "[\n"} {
		data := []byte("version: 1\nname:\n  " + strings.Repeat(part, 100_000))
		started := time.Now()
		_, err := parser.Parse[struct{ Name any }]("f.yaml", data)
		qt.Check(t, err, qt.ErrorMatches, "f.yaml: is nested deeper than 100 levels", qt.Commentf("%q", part))
		qt.Check(t, time.Since(started) < time.Second, qt.IsTrue)
	}
}
