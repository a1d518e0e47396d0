// Package commander is the command line of marigold-router.
//
// # Usage
//
//	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
package commander

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/parser"
)

// Error is the class of all errors of this package.
var Error = errs.Class("commander")

// exitFailure is the exit code of a command that failed.
const exitFailure = 1

// streams are the output streams of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

// commands are the commands of the program.
type commands struct {
	Run     cmdRun     `cmd:"" help:"Run a router until it is told to stop."`
	Check   cmdCheck   `cmd:"" help:"Check a settings file."`
	Version cmdVersion `cmd:"" help:"Print the version of the program."`
}

// Main runs the program and returns its exit code.
func Main(arguments []string, out, failures io.Writer) int {
	var chosen commands
	program, err := kong.New(&chosen,
		kong.Name("marigold-router"),
		kong.Description("Router that takes callers' requests and guards the backend server beside it."),
		kong.Writers(out, failures),
	)
	if err != nil {
		return report(failures, err)
	}
	parsed, err := program.Parse(arguments)
	if err != nil {
		_, _ = fmt.Fprintf(failures, "marigold-router: %v\n", err)
		return parser.ExitCode
	}
	return report(failures, parsed.Run(&streams{out: out, err: failures}))
}

// report prints an error and returns the exit code.
func report(failures io.Writer, err error) int {
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintf(failures, "marigold-router: %v\n", err)
	var mistake *parser.Mistake
	if errors.As(err, &mistake) {
		return parser.ExitCode
	}
	return exitFailure
}
