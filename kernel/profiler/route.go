package profiler

import (
	"fmt"
	"slices"
	"strings"

	"marigoldhill/kernel/messenger"
)

// methods are the valid values of Route.Method.
var methods = []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// checkRoutes returns the first invalid field and the reason, or two empty strings.
// Each route must be valid, no two may have the same prefix and method, and one must
// match all requests: it has an empty prefix and no method.
func checkRoutes(routes []messenger.Route) (field, reason string) {
	if len(routes) == 0 || len(routes) > MaxRoutes {
		return "routes", fmt.Sprintf("must have 1 to %d routes", MaxRoutes)
	}
	hasDefault := false
	for n, route := range routes {
		if field, reason := checkRoute(&route); reason != "" {
			return fmt.Sprintf("routes[%d].%s", n, field), reason
		}
		if isDuplicate(routes[:n], &route) {
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
	case len(route.Prefix) > MaxPrefixBytes:
		return "prefix", fmt.Sprintf("must be at most %d bytes", MaxPrefixBytes)
	case strings.HasPrefix(route.Prefix, "/") || strings.HasSuffix(route.Prefix, "/"):
		return "prefix", "must not start or end with a slash"
	case !slices.Contains(methods, route.Method):
		return "method", "must be one of " + strings.Join(methods[1:], ", ") + ", or left out"
	case !IsValidName(route.Profile):
		return "profile", NameRule
	}
	return "", ""
}

func isDuplicate(routes []messenger.Route, candidate *messenger.Route) bool {
	return slices.ContainsFunc(routes, func(route messenger.Route) bool {
		return route.Prefix == candidate.Prefix && route.Method == candidate.Method
	})
}
