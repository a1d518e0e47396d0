// Package commander is the command line that the processes of a cluster have in
// common: run, check and version. Each command is in a file of its own.
//
// # Usage
//
//	program := commander.Program[Settings]{Name: "marigold-router", Help: "...", New: build, Describe: describe}
//	os.Exit(program.Main(os.Args[1:], os.Stdout, os.Stderr))
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/parser"
)

// Error is the class of all errors of this package.
var Error = errs.Class("commander")

// exitFailure is the exit code of a command that failed. Wrong settings and a
// wrong command line give [parser.ExitCode].
const exitFailure = 1

// Process is a process that can be run.
type Process interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// Failing is a process that may find that it can't go on.
type Failing interface {
	// Failed is closed when the process can't go on.
	Failed() <-chan struct{}
	// Err says why.
	Err() error
}

// Reloading is a process that takes new settings while it runs.
type Reloading interface {
	// Reload reads the settings again.
	Reload() error
}

// Description is what settings say of a process.
type Description struct {
	// Role is its role in log lines.
	Role    string
	Name    string
	Cluster string
	Log     logger.Format
}

// Program is a program with settings of type S.
type Program[S any] struct {
	// Name is the name of the program, Help one line on it.
	Name string
	Help string
	// StartTime bounds the start of the process, StopTime its orderly stop.
	StartTime time.Duration
	StopTime  time.Duration
	// New puts the process together.
	New func(settings *S, log *logger.Log) (Process, error)
	// Describe reads a description out of settings.
	Describe func(settings *S) Description
}

// streams are the output streams of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

// commands are the commands of a program.
type commands[S any] struct {
	Run     cmdRun[S]     `cmd:"" help:"Run the process until SIGTERM or SIGINT; a second signal ends it at once."`
	Check   cmdCheck[S]   `cmd:"" help:"Check a settings file."`
	Version cmdVersion[S] `cmd:"" help:"Print the versions of program, protocol and settings format."`
}

// Main runs the command line and returns the exit code.
func (p *Program[S]) Main(arguments []string, out, failures io.Writer) int {
	var chosen commands[S]
	code, exited := 0, false
	line, err := kong.New(&chosen,
		kong.Name(p.Name),
		kong.Description(p.Help),
		kong.Writers(out, failures),
		kong.Exit(func(c int) { code, exited = c, true }),
	)
	if err != nil {
		return p.report(failures, err)
	}
	parsed, err := line.Parse(arguments)
	if exited {
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintf(failures, "%s: %v (see --help)\n", p.Name, err)
		return parser.ExitCode
	}
	return p.report(failures, parsed.Run(p, &streams{out: out, err: failures}))
}

// report prints an error and returns the exit code.
func (p *Program[S]) report(failures io.Writer, err error) int {
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintf(failures, "%s: %v\n", p.Name, err)
	var mistake *parser.Mistake
	if errors.As(err, &mistake) {
		return parser.ExitCode
	}
	return exitFailure
}
