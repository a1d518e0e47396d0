package main

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "write the golden files anew")

// command runs the command line against base and returns code, output and side.
func execute(t *testing.T, base string, arguments ...string) (int, string) {
	var out, side bytes.Buffer
	arguments = append(arguments, "--operator", base)
	code := run(t.Context(), arguments, &out, &side)
	text := out.String()
	if side.Len() > 0 {
		text += "--- side ---\n" + side.String()
	}
	return code, text
}

func TestGolden(t *testing.T) {
	base := new(fake).start(t)
	tests := []struct {
		name      string
		arguments string
		code      int
	}{
		{"status", "status", exitDone},
		{"status-json", "status -o json", exitDone},
		{"watch", "watch --count 1", exitDone},
		{"explain", "explain findings door-17", exitDone},
		{"explain-range", "explain desk 4711", exitDone},
		{"events", "events", exitDone},
		{"profile-list", "profile list", exitDone},
		{"profile-show", "profile show lookup", exitDone},
		{"profile-missing", "profile show none", exitMissing},
		{"profile-apply", "profile apply testdata/lookup.yaml", exitDone},
		{"profile-conflict", "profile apply testdata/lookup.yaml --revision 16", exitConflict},
		{"profile-mistake", "profile apply testdata/mistake.yaml", exitUsage},
		{"profile-diff", "profile diff testdata/lookup.yaml", exitDiffers},
		{"service-list", "service list", exitDone},
		{"service-show", "service show findings", exitDone},
		{"configuration-show", "configuration show", exitDone},
		{"configuration-apply", "configuration apply testdata/routes.yaml", exitDone},
		{"configuration-mistake", "configuration apply testdata/mistake.yaml", exitUsage},
		{"drain", "drain d1", exitDone},
		{"member-list", "member list", exitDone},
		{"quarantine-list", "quarantine list", exitDone},
		{"usage", "profile paint", exitUsage},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, got := execute(t, base, strings.Fields(test.arguments)...)
			qt.Check(t, code, qt.Equals, test.code)
			path := filepath.Join("testdata", test.name+".txt")
			if *update {
				qt.Assert(t, os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
			}
			want, err := os.ReadFile(path)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.Equals, string(want))
		})
	}
}

func TestLostAnswerIsResentUnderOneNumber(t *testing.T) {
	operator := &fake{losses: 2}
	code, text := execute(t, operator.start(t), "profile", "apply", "testdata/lookup.yaml")
	qt.Assert(t, code, qt.Equals, exitDone, qt.Commentf("%s", text))
	qt.Assert(t, operator.numbers, qt.HasLen, 3)
	qt.Assert(t, operator.numbers[0], qt.Equals, operator.numbers[2])
	qt.Assert(t, operator.changes, qt.Equals, 1)
}

func TestNextOperatorIsTried(t *testing.T) {
	code, _ := execute(t, new(fake).start(t), "status", "--operator", "http://127.0.0.1:1")
	qt.Assert(t, code, qt.Equals, exitDone)
}

func TestUnreachable(t *testing.T) {
	code, text := execute(t, "http://127.0.0.1:1", "status", "--timeout", "1ms")
	qt.Assert(t, code, qt.Equals, exitUnreachable)
	qt.Assert(t, text, qt.Contains, "no operator interface answered")
}
