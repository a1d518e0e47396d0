// Package commander implements the command line of the processes of a cluster, with
// the commands run, check and version. Each command is in its own file.
//
// # Usage
//
//	program := commander.Program[Settings]{
//		Name: "marigold-router", Help: "...", New: build, Describe: describe,
//		StartTimeout: time.Minute, StopTimeout: time.Minute,
//	}
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

	"marigoldhill/kernel/limiter"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/parser"
)

// Error is the class of all errors of this package.
var Error = errs.Class("commander")

// exitFailure is the exit code of a command that failed. For invalid settings and
// an invalid command line it is [parser.ExitInvalidSettings].
const exitFailure = 1

// Process is a process that the command run starts and stops.
type Process interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// Failer is implemented by processes that can fail after they have started.
type Failer interface {
	// Failed returns a channel that is closed when the process has failed.
	Failed() <-chan struct{}
	// Err returns the cause of the failure.
	Err() error
}

// Reloader is implemented by processes that can apply new settings while running.
type Reloader interface {
	// Reload reads and applies the settings.
	Reload() error
}

// Description describes the process that settings configure.
type Description struct {
	// Role is the role in log lines.
	Role    string
	Name    string
	Cluster string
	Log     logger.Format
	// VM is what the process may take of its VM.
	VM limiter.Settings
}

// Program is a program with settings of type S.
type Program[S any] struct {
	// Name is the name of the program, Help its one-line description.
	Name string
	Help string
	// StartTimeout is the timeout for starting the process, StopTimeout the timeout for
	// stopping it gracefully.
	StartTimeout time.Duration
	StopTimeout  time.Duration
	// New creates the process.
	New func(settings *S, log *logger.Log) (Process, error)
	// Describe returns the description of the process that settings configure.
	Describe func(settings *S) Description
}

// streams are the output streams of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

// commands defines the commands of a program for kong.
type commands[S any] struct {
	Run     cmdRun[S]     `cmd:"" help:"Run the process until SIGTERM or SIGINT; a SIGINT during the stop ends it at once."`
	Check   cmdCheck[S]   `cmd:"" help:"Check a settings file."`
	Version cmdVersion[S] `cmd:"" help:"Print the versions of program, protocol and settings format."`
}

// Main parses and runs the command line and returns the exit code.
func (p *Program[S]) Main(arguments []string, out, errorOutput io.Writer) int {
	var grammar commands[S]
	code, exited := 0, false
	commandLine, err := kong.New(&grammar,
		kong.Name(p.Name),
		kong.Description(p.Help),
		kong.Writers(out, errorOutput),
		kong.Exit(func(c int) { code, exited = c, true }),
	)
	if err != nil {
		return p.report(errorOutput, err)
	}
	parsed, err := commandLine.Parse(arguments)
	if exited {
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintf(errorOutput, "%s: %v (see --help)\n", p.Name, err)
		return parser.ExitInvalidSettings
	}
	return p.report(errorOutput, parsed.Run(p, &streams{out: out, err: errorOutput}))
}

// report prints err, if it is not nil, and returns the exit code.
func (p *Program[S]) report(errorOutput io.Writer, err error) int {
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintf(errorOutput, "%s: %v\n", p.Name, err)
	var fileError *parser.FileError
	if errors.As(err, &fileError) {
		return parser.ExitInvalidSettings
	}
	return exitFailure
}
