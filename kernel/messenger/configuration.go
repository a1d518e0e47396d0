package messenger

import "time"

// Configuration is a whole configuration of routes and services, which an
// operator replaces as one. The one with the highest version is in force, and
// what stands under a version never changes.
type Configuration struct {
	// Version is the operator's own number, at least 1.
	Version  uint64
	Routes   []PathRoute
	Services []RoutedService
	Limits   Limits
}

// PathRoute sends requests by host and path to services. Of the routes of a
// host, the one with the longest prefix decides.
type PathRoute struct {
	// Name is unique in the configuration.
	Name string
	// Host is compared without port and case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Parts are the services that share the requests, at least one.
	Parts []RoutePart
	// Treatment says how requests of the route are treated.
	Treatment Treatment
}

// RoutePart is a service with its weight among the parts of a route.
type RoutePart struct {
	Service string
	// Weight is not negative. A part of weight 0 gets no requests unless it is
	// the only one.
	Weight float64
}

// Treatment says how one kind of work is treated, as a [Profile] does for the
// routes of a service.
type Treatment struct {
	// Idempotent says that running a request twice does no harm.
	Idempotent bool
	// Rank orders the work: requests of a lower rank go first.
	Rank int
	// Timeout is the longest that a request may take.
	Timeout time.Duration
	// Aim is the time within which an answer is worth most; 0 sets none.
	Aim time.Duration
	// Attempts is the most backend servers that one request may be sent to.
	Attempts int
}

// RoutedService describes a service of a configuration.
type RoutedService struct {
	Name string
	// Health is the path of the health check.
	Health string
	// Connections is the most connections that a backend server accepts.
	Connections int
	// Ranged says that the service is divided by ranges of numeric keys, each
	// of which one backend server holds at a time.
	Ranged bool
	// Warm is how long keys are slow that came without the handover of their
	// last holder.
	Warm time.Duration
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest header and body; 0 sets no
	// limit of its own.
	HeaderBytes int64
	BodyBytes   int64
	// HeaderTime is how long a header may take, IdleTime how long a connection
	// may be idle.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Service returns the service of that name, or nil.
func (c *Configuration) Service(name string) *RoutedService {
	if c == nil {
		return nil
	}
	for n := range c.Services {
		if c.Services[n].Name == name {
			return &c.Services[n]
		}
	}
	return nil
}
