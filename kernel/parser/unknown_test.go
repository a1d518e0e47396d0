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

// The YAML library walks a map of the unknown fields of a mapping, and a mapping's
// nested fields before the mapping's own, so it reports any one of them. Each file
// is read often enough that a random choice shows.
func TestFirstUnknownFieldIsReported(t *testing.T) {
	const repeats = 50
	tests := []struct {
		name string
		data string
		want string
	}{
		{
			name: "two at the top",
			data: "region: tas\ncolour: blue\nname: a\n",
			want: `a.yaml:2: colour: unknown field "colour"`,
		},
		{
			name: "three at the top",
			data: "zone: z1\ncolour: blue\nname: a\n",
			want: `a.yaml:1: zone: unknown field "zone"`,
		},
		{
			name: "four at the top, the first not the first by name",
			data: "region: tas\nzone: z1\nweight: 2\ncolour: blue\nage: 3\n",
			want: `a.yaml:2: zone: unknown field "zone"`,
		},
		{
			name: "two nested",
			data: "limits:\n  slots: 1\n  width: 1\n  depth: 2\n",
			want: `a.yaml:3: width: unknown field "width"`,
		},
		{
			name: "the top before nested",
			data: "colour: blue\nlimits:\n  width: 1\n  depth: 2\n",
			want: `a.yaml:1: colour: unknown field "colour"`,
		},
		{
			name: "nested before the top",
			data: "limits:\n  slots: 1\n  width: 1\ncolour: blue\n",
			want: `a.yaml:3: width: unknown field "width"`,
		},
		{
			name: "nested fields not in the order of the type",
			data: "routes:\n  first: {slots: 1, width: 1, depth: 2}\nlimits:\n  height: 1\nmembers:\n- name: b\n  port: 1\n",
			want: `a.yaml:2: width: unknown field "width"`,
		},
		{
			name: "entries of a list",
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
			name: "beside a value of a wrong type",
			data: "zone: z1\nmembers:\n- port: 1\nlimits:\n  slots: many\nroutes:\n  a: {depth: 1}\n",
			want: `a.yaml:1: zone: unknown field "zone"`,
		},
	}
	readers := []struct {
		name string
		read func(file string, data []byte) (*cluster, error)
	}{
		{name: "with a version", read: parser.Bytes[cluster]},
		{name: "without a version", read: parser.Unversioned[cluster]},
	}
	for _, test := range tests {
		for _, reader := range readers {
			t.Run(strings.Join([]string{test.name, reader.name}, " "), func(t *testing.T) {
				for range repeats {
					_, err := reader.read("a.yaml", []byte(test.data))
					qt.Assert(t, err, qt.Not(qt.IsNil))
					qt.Assert(t, err.Error(), qt.Equals, test.want)
				}
			})
		}
	}
}
