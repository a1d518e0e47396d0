package main

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"marigoldhill/kernel/messenger"
	"marigoldhill/operator/printer"
)

const pathServices = "/v1/services"

func cmdService() command {
	return command{name: "service", help: "List and change services.", action: &serviceGroup{}}
}

// serviceGroup holds the subcommands of service, one per file.
type serviceGroup struct {
	List  serviceList  `cmd:"" help:"List all services."`
	Show  serviceShow  `cmd:"" help:"Show one service as YAML with its revision."`
	Apply serviceApply `cmd:"" help:"Create a service from a YAML file, or change it."`
}

func servicePath(name string) string {
	return pathServices + "/" + url.PathEscape(name)
}

func serviceColumns() []printer.Column[messenger.VersionedValue[messenger.Service]] {
	type row = messenger.VersionedValue[messenger.Service]
	return []printer.Column[row]{
		{Title: "service", Cell: func(r row) string { return r.Value.Name }},
		{Title: "revision", Cell: func(r row) string { return strconv.FormatUint(r.Revision, 10) }},
		{Title: "shards", Cell: func(r row) string { return strconv.FormatUint(uint64(r.Value.Shards), 10) }},
		{Title: "unavailable", Cell: func(r row) string { return strconv.Itoa(r.Value.Unavailable) }},
		{Title: "imbalance", Cell: func(r row) string { return strconv.Itoa(r.Value.Imbalance) }},
		{Title: "churn", Cell: func(r row) string { return strconv.Itoa(r.Value.Churn) }},
		{Title: "recorders", Cell: func(r row) string { return strconv.Itoa(r.Value.Recorders) }},
		{Title: "retention", Cell: func(r row) string { return printer.Duration(r.Value.Retention) }},
		{Title: "routes", Cell: func(r row) string { return formatRoutes(r.Value.Routes) }},
	}
}

// formatRoutes formats routes as in "GET /findings=lookup, /=default".
func formatRoutes(routes []messenger.Route) string {
	texts := make([]string, len(routes))
	for i, route := range routes {
		texts[i] = strings.TrimSpace(fmt.Sprintf("%s /%s=%s", route.Method, route.Prefix, route.Profile))
	}
	return strings.Join(texts, ", ")
}
