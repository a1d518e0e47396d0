package main

import (
	"context"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/printer"
	"marigoldhill/operator/requester"
)

// clearScreen moves a terminal's cursor home and clears what is below.
const clearScreen = "\x1b[H\x1b[2J"

func cmdWatch() command {
	return command{name: "watch", help: "Show the status again and again.", action: &watchAction{}}
}

type watchAction struct {
	Interval time.Duration `help:"Time between two looks." default:"2s"`
	Count    int           `help:"End after this many looks; 0 goes on until interrupted."`
}

// Run implements the command.
func (a *watchAction) Run(ctx context.Context, e *environment) error {
	for looks := 1; ; looks++ {
		got, err := requester.Get[messenger.Status](ctx, e.requester, pathStatus)
		if err != nil {
			return Error.New("reading the status: %w", err)
		}
		if err := a.show(e, got.Value); err != nil {
			return err
		}
		if looks == a.Count {
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
	text := statusText(status) + "\n"
	if e.printer.Live {
		text = clearScreen + text
	}
	return e.printer.Text(text)
}
