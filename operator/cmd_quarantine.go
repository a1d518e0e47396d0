package main

import (
	"context"
	"net/http"
	"net/url"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/printer"
	"marigoldhill/operator/requester"
)

const pathQuarantines = "/v1/quarantines"

func cmdQuarantine() command {
	return command{name: "quarantine", help: "List and lift quarantines of requests.", action: &quarantineGroup{}}
}

// quarantineGroup holds the subcommands of quarantine.
type quarantineGroup struct {
	List quarantineList `cmd:"" help:"List the quarantined requests."`
	Lift quarantineLift `cmd:"" help:"Let a request run again."`
}

type quarantineList struct{}

// Run implements the command.
func (*quarantineList) Run(ctx context.Context, e *environment) error {
	response, err := requester.Get[[]messenger.QuarantineRow](ctx, e.requester, pathQuarantines)
	if err != nil {
		return Error.New("listing quarantines: %w", err)
	}
	return printer.Rows(e.printer, quarantineColumns(), response.Value)
}

type quarantineLift struct {
	Fingerprint string `arg:"" help:"Fingerprint of the request, from the list."`
}

// Run implements the command.
func (a *quarantineLift) Run(ctx context.Context, e *environment) error {
	path := pathQuarantines + "/" + url.PathEscape(a.Fingerprint)
	change := requester.Change{Method: http.MethodDelete, Path: path}
	return e.change(ctx, "quarantine of "+a.Fingerprint+" lifted", change)
}

func quarantineColumns() []printer.Column[messenger.QuarantineRow] {
	type row = messenger.QuarantineRow
	return []printer.Column[row]{
		{Title: "fingerprint", Cell: func(r row) string { return r.Fingerprint }},
		{Title: "service", Cell: func(r row) string { return r.Service }},
		{Title: "key", Cell: func(r row) string { return r.Key }},
		{Title: "route", Cell: func(r row) string { return r.Route }},
		{Title: "since", Cell: func(r row) string { return printer.Time(r.Since) }},
	}
}
