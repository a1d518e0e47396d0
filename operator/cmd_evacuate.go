package main

import (
	"context"
	"net/http"
	"net/url"
	"os/user"
	"strconv"
	"strings"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/printer"
	"marigoldhill/operator/requester"
)

const pathEvacuations = "/v1/evacuations"

func cmdEvacuate() command {
	return command{name: "evacuate", help: "Send nothing more to the backend servers of a failure domain.", action: &evacuateAction{}}
}

type evacuateAction struct {
	Domain string `arg:"" help:"Name of the failure domain."`
}

// Run implements the command.
func (a *evacuateAction) Run(ctx context.Context, e *environment) error {
	return e.change(ctx, "evacuation of "+a.Domain, evacuationChange(http.MethodPut, a.Domain))
}

func evacuationChange(method, domain string) requester.Change {
	return requester.Change{Method: method, Path: pathEvacuations + "/" + url.PathEscape(domain), Operator: operatorName()}
}

// operatorName returns the name of the user who runs the command, or "" if it is not
// known.
func operatorName() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	name := current.Username[:min(len(current.Username), messenger.MaxOperatorBytes)]
	return strings.ToValidUTF8(name, "")
}

func evacuationColumns() []printer.Column[messenger.EvacuationStatus] {
	type row = messenger.EvacuationStatus
	return []printer.Column[row]{
		{Title: "evacuated", Cell: func(r row) string { return r.Domain }},
		{Title: "by", Cell: func(r row) string { return r.By }},
		{Title: "since", Cell: func(r row) string { return printer.Time(r.Since) }},
		{Title: "servers", Cell: func(r row) string { return strconv.Itoa(r.Servers) }},
		{Title: "ranges", Cell: func(r row) string { return strconv.Itoa(r.Ranges) }},
		{Title: "shards", Cell: func(r row) string { return strconv.Itoa(r.Shards) }},
		{Title: "behind", Cell: func(r row) string { return strconv.Itoa(r.Behind) }},
	}
}
