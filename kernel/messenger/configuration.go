package messenger

import "time"

// Configuration is a complete set of routes and services, which an operator
// replaces as a whole. The configuration with the highest version is in force.
// The contents of a version never change.
type Configuration struct {
	// Version is chosen by the operator and is at least 1.
	Version  uint64          `yaml:"version"`
	Routes   []PathRoute     `yaml:"routes"`
	Services []RoutedService `yaml:"services"`
	Limits   Limits          `yaml:"limits"`
}

// PathRoute routes requests to services by host and path. Among the routes of a
// host, the one with the longest matching prefix applies.
type PathRoute struct {
	// Name is unique in the configuration.
	Name string `yaml:"name"`
	// Host is compared case-insensitively and without the port.
	Host string `yaml:"host"`
	// Prefix starts and ends with a slash.
	Prefix string `yaml:"prefix"`
	// Parts are the services that the requests are split between, at least one.
	Parts []RoutePart `yaml:"parts"`
	// Treatment applies to all requests of the route.
	Treatment Treatment `yaml:",inline"`
}

// RoutePart is a service with its weight among the parts of a route.
type RoutePart struct {
	Service string `yaml:"service"`
	// Weight is not negative. A part with weight 0 receives no requests unless it
	// is the only one.
	Weight float64 `yaml:"weight"`
}

// Treatment defines how the requests of a [PathRoute] are handled, as a [Profile]
// does for those of a [Route].
type Treatment struct {
	// Idempotent means that a request can safely run more than once.
	Idempotent bool `yaml:"idempotent"`
	// Rank is the priority: requests with a lower rank are served first.
	Rank int `yaml:"rank"`
	// Timeout is the maximum duration of a request.
	Timeout time.Duration `yaml:"timeout"`
	// Aim is the target latency; 0 means none.
	Aim time.Duration `yaml:"aim"`
	// Attempts is the maximum number of backend servers that a request is sent to.
	Attempts int `yaml:"attempts"`
}

// RoutedService describes a service of a configuration.
type RoutedService struct {
	Name string `yaml:"name"`
	// Health is the path of the health check.
	Health string `yaml:"health"`
	// Connections is the maximum number of connections that a backend server
	// accepts.
	Connections int `yaml:"connections"`
	// Ranged means that the service is partitioned into ranges of numeric keys,
	// each held by one backend server at a time.
	Ranged bool `yaml:"ranged"`
	// Warm is how long requests for a key are slow on a backend server that
	// received the key without the handover of its last holder.
	Warm time.Duration `yaml:"warm"`
	// Cold is how long a backend server stays cold after its start, at most, and
	// ColdRate how many requests per second a cold one can handle; 0 means no limit,
	// and then Cold has no effect.
	Cold     time.Duration `yaml:"cold"`
	ColdRate float64       `yaml:"coldrate"`
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of header and body; 0 means
	// that the configuration sets no limit.
	HeaderBytes int64 `yaml:"header"`
	BodyBytes   int64 `yaml:"body"`
	// HeaderTime is the maximum time to read a header, IdleTime the maximum time
	// that a connection may be idle.
	HeaderTime time.Duration `yaml:"reading"`
	IdleTime   time.Duration `yaml:"idle"`
}

// Service returns the service called name, or nil. It may be called on a nil
// Configuration.
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
