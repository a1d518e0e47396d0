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

// serviceGroup holds the subcommands of service, one file each.
type serviceGroup struct {
	List  serviceList  `cmd:"" help:"List all services."`
	Show  serviceShow  `cmd:"" help:"Show one service as YAML with its revision."`
	Apply serviceApply `cmd:"" help:"Create a service from a YAML file, or change it."`
}

func servicePath(name string) string {
	return pathServices + "/" + url.PathEscape(name)
}

func definitionColumns() []printer.Column[messenger.Service] {
	type row = messenger.Service
	return []printer.Column[row]{
		{Title: "service", Cell: func(r row) string { return r.Name }},
		{Title: "shards", Cell: func(r row) string { return strconv.FormatUint(uint64(r.Shards), 10) }},
		{Title: "unavailable", Cell: func(r row) string { return strconv.Itoa(r.Unavailable) }},
		{Title: "imbalance", Cell: func(r row) string { return strconv.Itoa(r.Imbalance) }},
		{Title: "churn", Cell: func(r row) string { return strconv.Itoa(r.Churn) }},
		{Title: "recorders", Cell: func(r row) string { return strconv.Itoa(r.Recorders) }},
		{Title: "retention", Cell: func(r row) string { return printer.Duration(r.Retention) }},
		{Title: "routes", Cell: func(r row) string { return routesText(r.Routes) }},
	}
}

// routesText writes routes as "GET findings=lookup, =default".
func routesText(routes []messenger.Route) string {
	texts := make([]string, len(routes))
	for i, route := range routes {
		texts[i] = strings.TrimSpace(fmt.Sprintf("%s /%s=%s", route.Method, route.Prefix, route.Profile))
	}
	return strings.Join(texts, ", ")
}
