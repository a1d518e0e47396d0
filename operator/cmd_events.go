package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/printer"
	"marigoldhill/operator/requester"
)

// longPollTimeout limits how long one request waits for the next event. It is below
// attemptTimeout in package requester.
const longPollTimeout = 4 * time.Second

func cmdEvents() command {
	return command{name: "events", help: "List the events of the cluster.", action: &eventsAction{}}
}

type eventsAction struct {
	After  uint64 `help:"List only events after this revision."`
	Follow bool   `help:"Keep printing new events until interrupted." short:"f"`
}

// Run implements the command.
func (a *eventsAction) Run(ctx context.Context, e *environment) error {
	events, err := readEvents(ctx, e, a.After, 0)
	if err != nil {
		return err
	}
	if err := printer.Rows(e.printer, eventColumns(), events); err != nil {
		return err
	}
	after := lastRevision(events, a.After)
	for a.Follow {
		events, err := readEvents(ctx, e, after, longPollTimeout)
		if err != nil {
			return err
		}
		if err := printEvents(e, events); err != nil {
			return err
		}
		after = lastRevision(events, after)
	}
	return nil
}

// readEvents reads the events after a revision. If there are none, it waits up to
// wait for the first one.
func readEvents(ctx context.Context, e *environment, after uint64, wait time.Duration) ([]messenger.ClusterEvent, error) {
	path := fmt.Sprintf("/v1/events?after=%d&wait=%s", after, wait)
	response, err := requester.Get[[]messenger.ClusterEvent](ctx, e.requester, path)
	if err != nil {
		return nil, Error.New("reading events: %w", err)
	}
	return response.Value, nil
}

// lastRevision returns the highest revision of events, or after if it is higher.
func lastRevision(events []messenger.ClusterEvent, after uint64) uint64 {
	for _, event := range events {
		after = max(after, event.Revision)
	}
	return after
}

// printEvents writes one event per line, without a header.
func printEvents(e *environment, events []messenger.ClusterEvent) error {
	for _, event := range events {
		if err := printEvent(e, event); err != nil {
			return err
		}
	}
	return nil
}

func printEvent(e *environment, event messenger.ClusterEvent) error {
	if e.printer.Format == printer.FormatJSON {
		return e.printer.JSON(event)
	}
	return e.printer.Text(fmt.Sprintf("%s  %d  %d  %s  %s\n",
		printer.Time(event.Time), event.Revision, event.Number, event.Subject, event.Text))
}

func eventColumns() []printer.Column[messenger.ClusterEvent] {
	type row = messenger.ClusterEvent
	return []printer.Column[row]{
		{Title: "time", Cell: func(r row) string { return printer.Time(r.Time) }},
		{Title: "revision", Cell: func(r row) string { return strconv.FormatUint(r.Revision, 10) }},
		{Title: "event", Cell: func(r row) string { return strconv.Itoa(r.Number) }},
		{Title: "subject", Cell: func(r row) string { return r.Subject }},
		{Title: "text", Cell: func(r row) string { return r.Text }},
	}
}
