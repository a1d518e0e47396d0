// Command marigold is the command-line client of the operator interface. See
// man/marigold.1.md.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"
	"github.com/zeebo/errs"

	"marigoldhill/operator/printer"
	"marigoldhill/operator/requester"
)

// Error is the class of all errors of this command.
var Error = errs.Class("marigold")

// command is a subcommand. Its action is a struct that kong fills from the command
// line and runs.
type command struct {
	name   string
	help   string
	action any
}

// commands returns the subcommands in the order of the help text.
func commands() []command {
	return []command{
		cmdStatus(), cmdExplain(), cmdEvents(), cmdWatch(),
		cmdProfile(), cmdService(), cmdConfiguration(),
		cmdDrain(), cmdUndrain(), cmdEvacuate(), cmdUnevacuate(), cmdMember(), cmdQuarantine(),
		cmdCompletion(),
	}
}

// flags are the flags that all subcommands share.
type flags struct {
	Operator []string       `help:"Base URL of an operator interface; repeat it to name several." env:"MARIGOLD_OPERATOR" default:"http://127.0.0.1:7102"`
	Output   printer.Format `help:"Output format: table or json." enum:"table,json" default:"table" short:"o"`
	Timeout  time.Duration  `help:"How long to try to reach an operator interface." default:"10s"`
	Wait     time.Duration  `help:"How long to wait until a change is in force on all routers; 0 does not wait." default:"10s"`
}

// environment holds the dependencies of actions. Kong passes it to their method Run.
type environment struct {
	requester *requester.Requester
	printer   printer.Printer
	wait      time.Duration
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run parses the arguments, runs one subcommand and returns the exit code.
func run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	var flags flags
	application, err := newApplication(ctx, &flags, stdout, stderr)
	if err != nil {
		printer.Printer{Err: stderr}.PrintError(err)
		return exitFailed
	}
	kongcompletion.Register(application)
	parsed, err := application.Parse(arguments)
	if err != nil {
		printer.Printer{Err: stderr}.PrintError(err)
		return exitUsage
	}
	environment := &environment{
		requester: requester.New(flags.Operator, flags.Timeout),
		printer:   printer.Printer{Out: stdout, Err: stderr, Format: flags.Output, IsTerminal: isTerminal(stderr)},
		wait:      flags.Wait,
	}
	return environment.reportError(parsed.Run(environment))
}

// newApplication returns the parser of the command line.
func newApplication(ctx context.Context, flags *flags, stdout, stderr io.Writer) (*kong.Kong, error) {
	options := []kong.Option{
		kong.Name("marigold"),
		kong.Description("Edit profiles and watch outcomes of a marigoldhill cluster."),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Writers(stdout, stderr),
	}
	for _, command := range commands() {
		options = append(options, kong.DynamicCommand(command.name, command.help, "", command.action))
	}
	application, err := kong.New(flags, options...)
	if err != nil {
		return nil, Error.New("building the command line: %w", err)
	}
	return application, nil
}

// isTerminal reports whether writer is a character device.
func isTerminal(writer io.Writer) bool {
	file, ok := writer.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
