package locator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"marigoldhill/kernel/messenger"
)

// matcher is one route of a service, prepared for comparing.
type matcher struct {
	// prefix has no slash at either end.
	prefix  string
	method  string
	profile string
}

// newMatchers prepares routes so that the first that matches decides.
func newMatchers(routes []messenger.Route) []matcher {
	matchers := make([]matcher, 0, len(routes))
	for _, route := range routes {
		matchers = append(matchers, matcher{
			prefix:  strings.Trim(route.Prefix, "/"),
			method:  route.Method,
			profile: route.Profile,
		})
	}
	slices.SortStableFunc(matchers, func(a, b matcher) int {
		return cmp.Or(cmp.Compare(len(b.prefix), len(a.prefix)), cmp.Compare(len(b.method), len(a.method)))
	})
	return matchers
}

// match returns the name of the profile for a request, empty when no route
// matches.
func (d *division) match(method, route string) string {
	for _, m := range d.routes {
		if (m.method == "" || m.method == method) && isWithin(m.prefix, route) {
			return m.profile
		}
	}
	return ""
}

// isWithin reports whether the whole path segments of prefix start route.
func isWithin(prefix, route string) bool {
	rest, ok := strings.CutPrefix(route, prefix)
	return ok && (prefix == "" || rest == "" || rest[0] == '/')
}

const (
	// FallbackDeadline is the deadline of requests that no profile describes.
	FallbackDeadline = 10 * time.Second
	fallbackQueue    = 16
)

func fallback() *messenger.Profile {
	return &messenger.Profile{
		Name:     "fallback",
		Class:    messenger.ClassInteractive,
		Deadline: FallbackDeadline,
		Queue:    fallbackQueue,
		Share:    1,
		Weight:   1,
	}
}
