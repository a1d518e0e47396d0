// Package commander is the command line of marigold-control. Each command is in
// a file of its own.
//
// # Usage
//
//	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
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

// Exit codes besides [parser.ExitCode], which is for wrong settings.
const (
	exitDone    = 0
	exitFailure = 1
	// exitUsage is for a wrong command line.
	exitUsage = 64
)

// output is where commands write.
type output struct {
	plain  io.Writer
	errors io.Writer
}

// commands are the commands of the program.
type commands struct {
	Run     runCommand     `cmd:"" help:"Run a control process until SIGTERM or SIGINT."`
	Check   checkCommand   `cmd:"" help:"Check a settings file and exit."`
	Version versionCommand `cmd:"" help:"Print the version and exit."`
}

// Run runs the command line and returns the exit code.
func Run(arguments []string, plain, errorsTo io.Writer) int {
	var line commands
	out := &output{plain: plain, errors: errorsTo}
	code, exited := exitDone, false
	parsed, err := kong.New(&line,
		kong.Name("marigold-control"),
		kong.Description("A replica of the control group of a marigoldhill cluster."),
		kong.Writers(plain, errorsTo),
		kong.Exit(func(c int) { code, exited = c, true }),
		kong.Bind(out),
	)
	if err != nil {
		return out.fail(err)
	}
	command, err := parsed.Parse(arguments)
	if exited {
		return code
	}
	if err != nil {
		_, _ = fmt.Fprintf(errorsTo, "marigold-control: %s (see --help)\n", err)
		return exitUsage
	}
	if err := command.Run(); err != nil {
		return out.fail(err)
	}
	return exitDone
}

// fail prints an error and returns its exit code.
func (o *output) fail(err error) int {
	_, _ = fmt.Fprintf(o.errors, "marigold-control: %s\n", err)
	var mistake *parser.Mistake
	if errors.As(err, &mistake) {
		return parser.ExitCode
	}
	return exitFailure
}
