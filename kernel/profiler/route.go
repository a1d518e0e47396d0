package profiler

import (
	"fmt"
	"slices"
	"strings"

	"marigoldhill/kernel/messenger"
)

// methods are the HTTP methods that a route may name.
var methods = []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// checkRoutes checks each route, that no two are the same and that one takes
// what no other takes.
func checkRoutes(routes []messenger.Route) (field, reason string) {
	if len(routes) == 0 || len(routes) > MaxRoutes {
		return "routes", fmt.Sprintf("must have 1 to %d routes", MaxRoutes)
	}
	hasDefault := false
	for n, route := range routes {
		if field, reason := checkRoute(&route); reason != "" {
			return fmt.Sprintf("routes[%d].%s", n, field), reason
		}
		if hasSame(routes[:n], &route) {
			return fmt.Sprintf("routes[%d]", n), "stands twice"
		}
		hasDefault = hasDefault || route.Prefix == "" && route.Method == ""
	}
	if !hasDefault {
		return "routes", "must have one route with an empty prefix and no method"
	}
	return "", ""
}

func checkRoute(route *messenger.Route) (field, reason string) {
	switch {
	case len(route.Prefix) > MaxPrefix:
		return "prefix", fmt.Sprintf("must be at most %d bytes", MaxPrefix)
	case strings.HasPrefix(route.Prefix, "/") || strings.HasSuffix(route.Prefix, "/"):
		return "prefix", "must not start or end with a slash"
	case !slices.Contains(methods, route.Method):
		return "method", "must be one of " + strings.Join(methods[1:], ", ") + ", or left out"
	case !IsName(route.Profile):
		return "profile", NameRule
	}
	return "", ""
}

func hasSame(routes []messenger.Route, wanted *messenger.Route) bool {
	return slices.ContainsFunc(routes, func(route messenger.Route) bool {
		return route.Prefix == wanted.Prefix && route.Method == wanted.Method
	})
}
