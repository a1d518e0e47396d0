package main

import (
	"context"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/printer"
	"marigoldhill/operator/requester"
)

// clearScreen is the ANSI escape sequence that moves the cursor to the top left and
// clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

func cmdWatch() command {
	return command{name: "watch", help: "Show the status again and again.", action: &watchAction{}}
}

type watchAction struct {
	Interval time.Duration `help:"Time between two updates." default:"2s"`
	Count    int           `help:"Stop after this many updates; 0 continues until interrupted."`
}

// Run implements the command.
func (a *watchAction) Run(ctx context.Context, e *environment) error {
	for count := 1; ; count++ {
		response, err := requester.Get[messenger.Status](ctx, e.requester, pathStatus)
		if err != nil {
			return Error.New("reading the status: %w", err)
		}
		if err := a.show(e, response.Value); err != nil {
			return err
		}
		if count == a.Count {
			return nil
		}
		select {
		case <-time.After(a.Interval):
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *watchAction) show(e *environment, status messenger.Status) error {
	if e.printer.Format == printer.FormatJSON {
		return e.printer.JSON(status)
	}
	text := formatStatus(status) + "\n"
	if e.printer.IsTerminal {
		text = clearScreen + text
	}
	return e.printer.Text(text)
}
