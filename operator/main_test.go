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

var update = flag.Bool("update", false, "rewrite the golden files")

// execute runs the command line against the server at base. It returns the exit code
// and the output, followed by what was written to standard error.
func execute(t *testing.T, base string, arguments ...string) (int, string) {
	var stdout, stderr bytes.Buffer
	arguments = append(arguments, "--operator", base)
	code := run(t.Context(), arguments, &stdout, &stderr)
	text := stdout.String()
	if stderr.Len() > 0 {
		text += "--- side ---\n" + stderr.String()
	}
	return code, text
}

func TestGolden(t *testing.T) {
	base := new(fakeServer).start(t)
	tests := []struct {
		name      string
		arguments string
		code      int
	}{
		{"status", "status", exitOK},
		{"status-json", "status -o json", exitOK},
		{"watch", "watch --count 1", exitOK},
		{"explain", "explain findings door-17", exitOK},
		{"explain-range", "explain desk 4711", exitOK},
		{"events", "events", exitOK},
		{"profile-list", "profile list", exitOK},
		{"profile-show", "profile show lookup", exitOK},
		{"profile-missing", "profile show none", exitNotFound},
		{"profile-apply", "profile apply testdata/lookup.yaml", exitOK},
		{"profile-conflict", "profile apply testdata/lookup.yaml --revision 16", exitConflict},
		{"profile-mistake", "profile apply testdata/mistake.yaml", exitUsage},
		{"profile-diff", "profile diff testdata/lookup.yaml", exitDiffers},
		{"service-list", "service list", exitOK},
		{"service-show", "service show findings", exitOK},
		{"configuration-show", "configuration show", exitOK},
		{"configuration-apply", "configuration apply testdata/routes.yaml", exitOK},
		{"configuration-mistake", "configuration apply testdata/mistake.yaml", exitUsage},
		{"drain", "drain d1", exitOK},
		{"member-list", "member list", exitOK},
		{"quarantine-list", "quarantine list", exitOK},
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

func TestLostResponseIsRetriedWithSameIdempotencyKey(t *testing.T) {
	server := &fakeServer{lostResponses: 2}
	code, text := execute(t, server.start(t), "profile", "apply", "testdata/lookup.yaml")
	qt.Assert(t, code, qt.Equals, exitOK, qt.Commentf("%s", text))
	qt.Assert(t, server.idempotencyKeys, qt.HasLen, 3)
	qt.Assert(t, server.idempotencyKeys[0], qt.Equals, server.idempotencyKeys[2])
	qt.Assert(t, server.appliedChanges, qt.Equals, 1)
}

func TestNextBaseURLIsTried(t *testing.T) {
	code, _ := execute(t, new(fakeServer).start(t), "status", "--operator", "http://127.0.0.1:1")
	qt.Assert(t, code, qt.Equals, exitOK)
}

func TestUnreachableServerSetsExitCode(t *testing.T) {
	code, text := execute(t, "http://127.0.0.1:1", "status", "--timeout", "1ms")
	qt.Assert(t, code, qt.Equals, exitUnreachable)
	qt.Assert(t, text, qt.Contains, "no operator interface answered")
}
