package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/printer"
	"marigoldhill/operator/requester"
)

const pathStatus = "/v1/status"

func cmdStatus() command {
	return command{
		name:   "status",
		help:   "Show the control group, the routers with their backend servers, and the services.",
		action: &statusAction{},
	}
}

type statusAction struct{}

// Run implements the command.
func (*statusAction) Run(ctx context.Context, e *environment) error {
	response, err := requester.Get[messenger.Status](ctx, e.requester, pathStatus)
	if err != nil {
		return Error.New("reading the status: %w", err)
	}
	if e.printer.Format == printer.FormatJSON {
		return e.printer.JSON(response.Value)
	}
	return e.printer.Text(formatStatus(response.Value))
}

// formatStatus formats the status as tables.
func formatStatus(status messenger.Status) string {
	slices.SortFunc(status.Sessions, compareSessions)
	text := printer.FormatPairs(
		[2]string{"cluster", status.Cluster},
		[2]string{"leader", fmt.Sprintf("%s, term %d", orNone(status.Leader), status.Term)},
		[2]string{"revision", strconv.FormatUint(status.Revision, 10)},
		[2]string{"quarantined", strconv.Itoa(status.Quarantines)},
	) + "\n" + printer.Table(memberColumns(), status.Members) +
		"\n" + printer.Table(sessionColumns(), status.Sessions) +
		"\n" + printer.Table(serviceStatusColumns(), status.Services)
	if len(status.Evacuations) > 0 {
		text += "\n" + printer.Table(evacuationColumns(), status.Evacuations)
	}
	return text
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}

func compareSessions(a, b messenger.SessionStatus) int {
	return slices.Compare([]string{a.Service, a.Router}, []string{b.Service, b.Router})
}

func memberColumns() []printer.Column[messenger.MemberStatus] {
	type row = messenger.MemberStatus
	return []printer.Column[row]{
		{Title: "replica", Cell: func(r row) string { return r.Name }},
		{Title: "role", Cell: func(r row) string { return memberRole(r) }},
		{Title: "address", Cell: func(r row) string { return r.Address }},
		{Title: "stored", Cell: func(r row) string { return strconv.FormatUint(r.Match, 10) }},
		{Title: "silent", Cell: func(r row) string { return printer.Duration(r.Silence) }},
		{Title: "operator", Cell: func(r row) string { return r.Operator }},
	}
}

func memberRole(member messenger.MemberStatus) string {
	if member.Leader {
		return "leader"
	}
	return "follower"
}

func sessionColumns() []printer.Column[messenger.SessionStatus] {
	type row = messenger.SessionStatus
	return []printer.Column[row]{
		{Title: "router", Cell: func(r row) string { return r.Router }},
		{Title: "domain", Cell: func(r row) string { return r.Domain }},
		{Title: "server", Cell: func(r row) string { return r.Server }},
		{Title: "service", Cell: func(r row) string { return r.Service }},
		{Title: "state", Cell: func(r row) string { return sessionState(r) }},
		{Title: "shards", Cell: func(r row) string { return strconv.Itoa(r.Shards) }},
		{Title: "moving", Cell: func(r row) string { return strconv.Itoa(r.Moving) }},
		{Title: "ranges", Cell: func(r row) string { return strconv.Itoa(r.Ranges) }},
		{Title: "failing", Cell: func(r row) string { return formatPercent(r.Failing) }},
		{Title: "queue", Cell: func(r row) string { return strconv.Itoa(r.Queue) }},
		{Title: "stalled", Cell: func(r row) string { return strconv.Itoa(r.Stalled) }},
		{Title: "rate", Cell: func(r row) string { return fmt.Sprintf("%.1f", r.Rate) }},
		{Title: "revision", Cell: func(r row) string { return strconv.FormatUint(r.Revision, 10) }},
		{Title: "silent", Cell: func(r row) string { return printer.Duration(r.Silence) }},
	}
}

func sessionState(session messenger.SessionStatus) string {
	if session.Leaving {
		return string(messenger.ServerLeaving)
	}
	return string(session.State)
}

func serviceStatusColumns() []printer.Column[messenger.ServiceStatus] {
	type row = messenger.ServiceStatus
	return []printer.Column[row]{
		{Title: "service", Cell: func(r row) string { return r.Name }},
		{Title: "servers", Cell: func(r row) string { return strconv.Itoa(r.Servers) }},
		{Title: "shards", Cell: func(r row) string { return strconv.Itoa(r.Shards) }},
		{Title: "free", Cell: func(r row) string { return strconv.Itoa(r.Free) }},
		{Title: "moving", Cell: func(r row) string { return strconv.Itoa(r.Moving) }},
		{Title: "keys", Cell: func(r row) string { return strconv.Itoa(r.Keys) }},
		{Title: "imbalance", Cell: func(r row) string { return fmt.Sprintf("%.2f", r.Imbalance) }},
		{Title: "churn/h", Cell: func(r row) string { return fmt.Sprintf("%.3f", r.Churn) }},
		{Title: "unavailable worst", Cell: func(r row) string { return printer.Duration(r.UnavailableWorst) }},
		{Title: "p99", Cell: func(r row) string { return printer.Duration(r.UnavailableP99) }},
		{Title: "total", Cell: func(r row) string { return printer.Duration(r.UnavailableTotal) }},
	}
}

// formatPercent formats a fraction as a percentage without decimals.
func formatPercent(share float64) string {
	return strconv.FormatFloat(share*100, 'f', 0, 64) + "%"
}
