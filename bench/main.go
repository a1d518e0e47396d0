// Command marigold-bench runs marigoldhill on one machine for trials: a cluster in one
// process, stand-in backend servers, load, and experiments with faults. Its commands
// are described in man/marigold-bench.1.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/parser"
)

// Error is the class of all errors of this command.
var Error = errs.Class("marigold-bench")

const exitFailure = 1

// command describes a subcommand.
type command struct {
	name   string
	help   string
	action any
}

// commands returns the subcommands in the order in which the help lists them.
func commands() []command {
	return []command{cmdPlayground(), cmdServe(), cmdLoad(), cmdExperiment(), cmdFit()}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx)
	stop()
	os.Exit(code)
}

// run parses the command line, runs the subcommand and returns the exit code.
func run(ctx context.Context) int {
	options := []kong.Option{
		kong.Name("marigold-bench"),
		kong.Description("Trial runs of marigoldhill on one machine."),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.UsageOnError(),
	}
	for _, command := range commands() {
		options = append(options, kong.DynamicCommand(command.name, command.help, "", command.action))
	}
	application, err := kong.New(&struct{}{}, options...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	parsed, err := application.Parse(os.Args[1:])
	if err != nil {
		application.Errorf("%s", err)
		return parser.ExitInvalidSettings
	}
	if err := parsed.Run(); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return 0
}
