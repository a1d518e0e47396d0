package classifier_test

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/router/classifier"
)

// request is a number of requests of a route from the routers of a service.
type request struct {
	route, service string
	count          int
}

func observe(routes *classifier.Classifier, from time.Duration, requests []request) time.Duration {
	now := from
	for _, r := range requests {
		for range r.count {
			now += 5 * time.Millisecond
			routes.Observe(now, r.route, r.service)
		}
	}
	now += time.Second
	routes.Observe(now, "tick", "desk")
	return now
}

// Guards against client requests that are preferred as if they were calls.
func TestIsCall(t *testing.T) {
	clients := []request{{"order", "desk", 40}, {"order", "stock", 30}, {"order", "archive", 30}}
	tests := []struct {
		name     string
		requests []request
		want     bool
	}{
		{name: "routers of one service", requests: append([]request{{"check", "desk", 60}}, clients...), want: true},
		{name: "one request of another service", requests: append([]request{{"check", "desk", 99}, {"check", "stock", 1}}, clients...), want: true},
		{name: "routers of two services", requests: append([]request{{"check", "desk", 60}, {"check", "stock", 10}}, clients...)},
		{name: "too few requests", requests: append([]request{{"check", "desk", 9}}, clients...)},
		{name: "clients use the routers of one service", requests: []request{{"order", "desk", 100}, {"check", "desk", 60}}},
		{name: "clients are not known to use several", requests: []request{{"order", "stock", 100}, {"check", "desk", 60}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			routes := classifier.New()
			observe(routes, 0, test.requests)
			qt.Check(t, routes.IsCall("check"), qt.Equals, test.want)
			qt.Check(t, routes.IsCall("order"), qt.IsFalse)
		})
	}
}

// Guards against a verdict that outlives a change: a route that clients begin to use is no
// call after some seconds.
func TestVerdictFollowsTheRequests(t *testing.T) {
	routes := classifier.New()
	requests := []request{{"order", "desk", 40}, {"order", "stock", 60}, {"check", "desk", 60}}
	now := observe(routes, 0, requests)
	qt.Assert(t, routes.IsCall("check"), qt.IsTrue)
	observe(routes, now, append(requests, request{"check", "stock", 20}))
	qt.Assert(t, routes.IsCall("check"), qt.IsFalse)
}

// A fleet of 1,000 routes that the routers of three services use.
func BenchmarkObserve(b *testing.B) {
	routes, services := make([]string, 1000), []string{"desk", "stock", "archive"}
	for n := range routes {
		routes[n] = strconv.Itoa(n)
	}
	known := classifier.New()
	now := time.Duration(0)
	for n := 0; b.Loop(); n++ {
		now += 50 * time.Microsecond
		route := routes[n%len(routes)]
		known.Observe(now, route, services[n%len(services)])
		known.IsCall(route)
	}
}
