package parser_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/parser"
)

type member struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

type limits struct {
	Slots int `yaml:"slots"`
}

type common struct {
	Region string `yaml:"region"`
}

type cluster struct {
	Members []member          `yaml:"members"`
	Limits  limits            `yaml:"limits"`
	Routes  map[string]limits `yaml:"routes"`
	Common  common            `yaml:",inline"`
}

// The YAML library collects the unknown fields of a mapping in a Go map, and checks
// nested mappings before the mapping itself, so it reports an arbitrary unknown field.
// Each file is decoded often enough to detect a random choice.
func TestFirstUnknownFieldIsReported(t *testing.T) {
	const repeats = 50
	tests := []struct {
		name string
		data string
		want string
	}{
		{
			name: "two at the top level",
			data: "region: tas\ncolour: blue\nname: a\n",
			want: `a.yaml:2: colour: unknown field "colour"`,
		},
		{
			name: "three at the top level",
			data: "zone: z1\ncolour: blue\nname: a\n",
			want: `a.yaml:1: zone: unknown field "zone"`,
		},
		{
			name: "four at the top level, not in alphabetical order",
			data: "region: tas\nzone: z1\nweight: 2\ncolour: blue\nage: 3\n",
			want: `a.yaml:2: zone: unknown field "zone"`,
		},
		{
			name: "two in a nested mapping",
			data: "limits:\n  slots: 1\n  width: 1\n  depth: 2\n",
			want: `a.yaml:3: width: unknown field "width"`,
		},
		{
			name: "top level before nested mapping",
			data: "colour: blue\nlimits:\n  width: 1\n  depth: 2\n",
			want: `a.yaml:1: colour: unknown field "colour"`,
		},
		{
			name: "nested mapping before top level",
			data: "limits:\n  slots: 1\n  width: 1\ncolour: blue\n",
			want: `a.yaml:3: width: unknown field "width"`,
		},
		{
			name: "nested mappings not in the order of the struct fields",
			data: "routes:\n  first: {slots: 1, width: 1, depth: 2}\nlimits:\n  height: 1\nmembers:\n- name: b\n  port: 1\n",
			want: `a.yaml:2: width: unknown field "width"`,
		},
		{
			name: "entries of a sequence",
			data: "members:\n- name: b\n- name: c\n  port: 1\n  host: d\n- host: e\n",
			want: `a.yaml:4: port: unknown field "port"`,
		},
		{
			name: "on one line",
			data: "limits: {width: 1, depth: 2, slots: 3}\n",
			want: `a.yaml:1: width: unknown field "width"`,
		},
		{
			name: "the only field of a nested mapping",
			data: "zone: z1\nlimits:\n  depth: 2\n",
			want: `a.yaml:1: zone: unknown field "zone"`,
		},
		{
			name: "the same name twice",
			data: "limits:\n  colour: 1\ncolour: blue\n",
			want: `a.yaml:2: colour: unknown field "colour"`,
		},
		{
			name: "in an anchor",
			data: "routes:\n  a: &one {depth: 1, width: 2}\n  b: *one\nzone: z1\n",
			want: `a.yaml:2: depth: unknown field "depth"`,
		},
		{
			name: "together with a value of the wrong type",
			data: "zone: z1\nmembers:\n- port: 1\nlimits:\n  slots: many\nroutes:\n  a: {depth: 1}\n",
			want: `a.yaml:1: zone: unknown field "zone"`,
		},
	}
	decoders := []struct {
		name   string
		decode func(file string, data []byte) (*cluster, error)
	}{
		{name: "versioned file", decode: parser.Parse[cluster]},
		{name: "unversioned file", decode: parser.ParseUnversioned[cluster]},
	}
	for _, test := range tests {
		for _, decoder := range decoders {
			t.Run(strings.Join([]string{test.name, decoder.name}, " "), func(t *testing.T) {
				for range repeats {
					_, err := decoder.decode("a.yaml", []byte(test.data))
					qt.Assert(t, err, qt.Not(qt.IsNil))
					qt.Assert(t, err.Error(), qt.Equals, test.want)
				}
			})
		}
	}
}
