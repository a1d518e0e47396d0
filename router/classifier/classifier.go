// Package classifier tells the calls of backend servers from the requests of clients.
// Package relayer uses it in routed mode.
//
// The load pattern that it answers: servers make calls to another service while they run
// requests, and that service is full. A call that is refused fails the run that made it,
// after the run has taken its slot and most of its time, while the refusal of a client's
// request costs nothing but the refusal.
//
// A call is an ordinary request, sent to the router beside the server that makes it. Clients
// use all routers, a service only those beside its own servers. So the requests of a route
// are calls if nearly all of them come from routers of one service, while the requests of
// other routes come from the routers of several. Where clients too use the routers of one
// service only, nothing is taken for a call.
//
// # Usage
//
//	routes := classifier.New()
//	routes.Observe(now, relay.Route, relay.Caller)
//	job.Call = routes.IsCall(relay.Route)
package classifier

import (
	"math"
	"sync"
	"time"
)

const (
	// memoryTime is the time constant with which observations lose their weight.
	memoryTime = 10 * time.Second
	// minRequests is how many requests of a route must be known, by weight.
	minRequests = 15
	// callShare is the share of a route's requests that come from the routers of one
	// service if they are calls. Clients of a router that is about to change its service
	// must not make them client requests.
	callShare = 0.98
	// clientShare is the share of the largest service below which a route is known to be
	// used by clients at the routers of several services.
	clientShare = 0.9
	// refreshInterval is the time between two evaluations of all routes, whose cost grows
	// with their number.
	refreshInterval = 200 * time.Millisecond
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 4096
)

// origin counts the requests of one route by the service of the routers that they came
// from. The counts decay with memoryTime.
type origin struct {
	byService map[string]float64
	updated   time.Duration
}

// Classifier remembers which routers the requests of each route came from. It is safe for
// concurrent use.
type Classifier struct {
	mu     sync.Mutex
	routes map[string]*origin
	// calls are the routes whose requests are calls, as of refreshed.
	calls     map[string]bool
	refreshed time.Duration
}

// New returns a Classifier without observations, which takes nothing for a call.
func New() *Classifier {
	return &Classifier{routes: make(map[string]*origin), calls: make(map[string]bool)}
}

// Observe counts a request of a route from a router of a service.
func (c *Classifier) Observe(now time.Duration, route, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.routes[route]
	if known == nil {
		if len(c.routes) >= maxRoutes {
			clear(c.routes)
		}
		known = &origin{byService: make(map[string]float64), updated: now}
		c.routes[route] = known
	}
	known.decay(now)
	known.byService[service]++
	if now-c.refreshed >= refreshInterval {
		c.refresh(now)
	}
}

// IsCall reports whether the requests of a route are calls of backend servers.
func (c *Classifier) IsCall(route string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[route]
}

// refresh evaluates all routes. The caller holds mu.
func (c *Classifier) refresh(now time.Duration) {
	c.refreshed = now
	clear(c.calls)
	hasClients := false
	for route, known := range c.routes {
		known.decay(now)
		share, sum := known.largest()
		switch {
		case sum < minRequests:
		case share >= callShare:
			c.calls[route] = true
		case share < clientShare:
			hasClients = true
		}
	}
	if !hasClients {
		clear(c.calls)
	}
}

// decay reduces the counts by the time since the last update.
func (o *origin) decay(now time.Duration) {
	remaining := math.Exp(-(now - o.updated).Seconds() / memoryTime.Seconds())
	o.updated = now
	for service := range o.byService {
		o.byService[service] *= remaining
	}
}

// largest returns the share of the service with most requests, and the sum of all.
func (o *origin) largest() (share, sum float64) {
	most := 0.0
	for _, count := range o.byService {
		sum += count
		most = max(most, count)
	}
	if sum == 0 {
		return 0, 0
	}
	return most / sum, sum
}
