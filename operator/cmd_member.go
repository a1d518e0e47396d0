package main

import (
	"context"
	"net/http"
	"net/url"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/printer"
	"marigoldhill/operator/requester"
)

const pathMembers = "/v1/members"

func cmdMember() command {
	return command{name: "member", help: "List and change the members of the control group.", action: &memberGroup{}}
}

// memberGroup holds the subcommands of member.
type memberGroup struct {
	List   memberList   `cmd:"" help:"List the members."`
	Add    memberAdd    `cmd:"" help:"Add a member; start its process with join: true first."`
	Remove memberRemove `cmd:"" help:"Remove a member for good."`
}

type memberList struct{}

// Run implements the command.
func (*memberList) Run(ctx context.Context, e *environment) error {
	response, err := requester.Get[[]messenger.MemberStatus](ctx, e.requester, pathMembers)
	if err != nil {
		return Error.New("listing members: %w", err)
	}
	return printer.Rows(e.printer, memberColumns(), response.Value)
}

type memberAdd struct {
	Name     string `arg:"" help:"Name of the new member; it must never have been used before."`
	Address  string `arg:"" help:"Address for other processes, host:port."`
	Operator string `arg:"" help:"Base URL of its operator interface."`
}

// Run implements the command.
func (a *memberAdd) Run(ctx context.Context, e *environment) error {
	member := messenger.Member{Name: a.Name, Address: a.Address, Operator: a.Operator}
	change := requester.Change{Method: http.MethodPost, Path: pathMembers, Body: member}
	_, err := e.submit(ctx, "member "+a.Name+" added", change)
	return err
}

type memberRemove struct {
	Name string `arg:"" help:"Name of the member."`
}

// Run implements the command.
func (a *memberRemove) Run(ctx context.Context, e *environment) error {
	change := requester.Change{Method: http.MethodDelete, Path: pathMembers + "/" + url.PathEscape(a.Name)}
	_, err := e.submit(ctx, "member "+a.Name+" removed", change)
	return err
}
