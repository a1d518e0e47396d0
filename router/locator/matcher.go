package locator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"marigoldhill/kernel/messenger"
)

// matcher is one route of a service, prepared for matching.
type matcher struct {
	// prefix has no leading or trailing slash.
	prefix  string
	method  string
	profile string
}

// newMatchers returns the matchers of routes, most specific first, so that the first
// match applies.
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

// profileName returns the name of the profile for a request, empty if no route
// matches.
func (s *serviceTable) profileName(method, route string) string {
	for _, m := range s.routes {
		if (m.method == "" || m.method == method) && hasPathPrefix(m.prefix, route) {
			return m.profile
		}
	}
	return ""
}

// hasPathPrefix reports whether route starts with the path segments of prefix.
func hasPathPrefix(prefix, route string) bool {
	rest, ok := strings.CutPrefix(route, prefix)
	return ok && (prefix == "" || rest == "" || rest[0] == '/')
}

const (
	// FallbackDeadline is the deadline of requests without a profile.
	FallbackDeadline = 10 * time.Second
	fallbackQueue    = 16
)

func fallbackProfile() *messenger.Profile {
	return &messenger.Profile{
		Name:     "fallback",
		Class:    messenger.ClassInteractive,
		Deadline: FallbackDeadline,
		Queue:    fallbackQueue,
		Share:    1,
		Weight:   1,
	}
}
