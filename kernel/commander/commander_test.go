package commander_test

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/commander"
	"marigoldhill/kernel/logger"
)

type settings struct {
	Name string `yaml:"name"`
}

// failingProcess is a process that fails immediately after its start.
type failingProcess struct{ stopped *bool }

func (p failingProcess) Start(context.Context) error { return nil }

func (p failingProcess) Stop(context.Context) error {
	*p.stopped = true
	return nil
}

func (p failingProcess) Failed() <-chan struct{} {
	failed := make(chan struct{})
	close(failed)
	return failed
}

func (p failingProcess) Err() error { return errors.New("disk is full") }

func TestCommandsReturnExitCodeAndOutput(t *testing.T) {
	good := filepath.Join(t.TempDir(), "good.yaml")
	qt.Assert(t, os.WriteFile(good, []byte("name: r1\n"), 0o600), qt.IsNil)
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	qt.Assert(t, os.WriteFile(bad, []byte("nome: r1\n"), 0o600), qt.IsNil)
	tests := []struct {
		name        string
		arguments   []string
		code        int
		out         string
		errorOutput string
		stopped     bool
	}{
		{name: "check", arguments: []string{"check", good}, out: ".*good.yaml: good, router process r1 of cluster one\n"},
		{name: "invalid settings", arguments: []string{"check", bad}, code: 2, errorOutput: `marigold-x: .*bad.yaml:1: nome: unknown field "nome"\n`},
		{name: "missing settings file", arguments: []string{"check", good + "x"}, code: 1, errorOutput: `marigold-x: .*no such file or directory\n`},
		{name: "unknown command", arguments: []string{"walk"}, code: 2, errorOutput: `marigold-x: .*walk.* \(see --help\)\n`},
		{name: "version", arguments: []string{"version"}, out: "marigold-x .*, protocol 1, settings 1\n"},
		{name: "failing process", arguments: []string{"run", good}, code: 1, errorOutput: `marigold-x: commander: stopped: disk is full\n`, stopped: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			stopped := false
			program := commander.Program[settings]{
				Name: "marigold-x", Help: "A test.", StartTimeout: time.Minute, StopTimeout: time.Minute,
				New: func(*settings, *logger.Log) (commander.Process, error) { return failingProcess{&stopped}, nil },
				Describe: func(s *settings) commander.Description {
					return commander.Description{Role: "router", Name: s.Name, Cluster: "one"}
				},
			}
			var out, errorOutput bytes.Buffer
			qt.Assert(t, program.Main(test.arguments, &out, &errorOutput), qt.Equals, test.code)
			qt.Check(t, out.String(), qt.Matches, test.out)
			qt.Check(t, errorOutput.String(), qt.Matches, test.errorOutput)
			qt.Check(t, stopped, qt.Equals, test.stopped)
		})
	}
}
